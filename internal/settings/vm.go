package settings

// VM says who this process is.
type VM struct {
	Name       string
	DataCentre string
}
