package settings

// VM identifies the VM that this process runs on and holds its resources.
type VM struct {
	Name       string
	DataCentre string
	// Cores is the number of processor cores that the VM has, which may be a fraction; 0
	// if unknown.
	Cores float64
	// MemoryMB is the memory in MiB beyond which the process is killed. MaxHandles is the
	// number of handles that it may have open. 0 means unknown.
	MemoryMB   int
	MaxHandles int
	// MaxPressure is the part of the time with overdue timers above which the VM is short of processor time, 0
	// for no limit.
	MaxPressure float64
	// FirstStart says that the whole system starts for the first time, so that all its VMs
	// start together.
	FirstStart bool
}
