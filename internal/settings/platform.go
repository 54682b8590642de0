package settings

import "time"

// Platform holds the addresses of the platform's services and the bounds on their use.
type Platform struct {
	Table   string
	Objects string
	VMList  string
	// TLSCA is the file of the authorities that sign the services' certificates.
	TLSCA string
	// WritesPerSecond and ReadsPerSecond are the whole fleet's budgets of table
	// operations, of which this VM takes its share.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Timeout bounds one operation.
	Timeout time.Duration
}
