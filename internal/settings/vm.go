package settings

// VM says who this process is.
type VM struct {
	Name       string
	DataCentre string
	// Cores is the part of a processor core that the VM has, 0 if it is not known.
	Cores float64
}
