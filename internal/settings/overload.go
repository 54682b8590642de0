package settings

// The values of Overload.Mode.
const (
	OverloadAuto = "auto"
	OverloadOff  = "off"
)

// Overload holds the settings of overload control: how the priorities of requests decide
// which of them replicas serve when there is not room for all.
type Overload struct {
	// Mode is "auto" or "off". With "auto", priorities decide where the profiles of a
	// model's service differ in priority; with "off" they never do.
	Mode string
	// Reserve is the part of a replica's slots and memory that is kept from the least urgent
	// priority for the more urgent ones. Those between leave equal steps of it.
	Reserve float64
	// LateReserve is the part that is kept from requests which can no longer meet their
	// objective, for those which can.
	LateReserve float64
	// MinServed is a fraction of the most served profile's served part. A profile whose
	// served part is below it may use what the most urgent priority may use.
	MinServed float64
}
