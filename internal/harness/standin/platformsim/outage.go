package platformsim

// Outage is a way in which the platform is down.
type Outage string

// The kinds of outage.
const (
	// OutageNone: the platform is up.
	OutageNone Outage = ""
	// OutageRefuse: connections are refused.
	OutageRefuse Outage = "refuse"
	// OutageUnavailable: each request is answered 503 without effect.
	OutageUnavailable Outage = "503"
	// OutageHang: requests are taken and never answered, without effect.
	OutageHang Outage = "hang"
)
