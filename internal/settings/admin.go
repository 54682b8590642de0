package settings

// Admin holds the settings of the operators' listener.
type Admin struct {
	Address    string
	TokensFile string
	TLS        TLS
}
