package settings

import "time"

// Platform says where the platform's services are and what this VM may ask of them.
type Platform struct {
	Table   string
	Objects string
	VMList  string
	// TLSCA is the file of authorities that sign the services' certificates.
	TLSCA           string
	WritesPerSecond float64
	ReadsPerSecond  float64
	Timeout         time.Duration
}
