package settings

// VM says who this process is.
type VM struct {
	Name       string
	DataCentre string
	// Cores is the part of a processor core that the VM has, 0 if it is not known.
	Cores float64
	// MemoryMB is the memory after which the process is ended, in MiB, and MaxHandles how many
	// handles it may have open; 0 if they are not known.
	MemoryMB   int
	MaxHandles int
}
