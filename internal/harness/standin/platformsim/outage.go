package platformsim

// Outage is the kind of outage of the platform.
type Outage string

// The kinds of outage.
const (
	// OutageNone means that the platform is up.
	OutageNone Outage = ""
	// OutageRefuse refuses connections.
	OutageRefuse Outage = "refuse"
	// OutageUnavailable answers each request with status 503. It has no effect.
	OutageUnavailable Outage = "503"
	// OutageHang accepts requests and never answers them. They have no effect.
	OutageHang Outage = "hang"
)
