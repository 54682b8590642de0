package settings

// Admin is the operators' listener.
type Admin struct {
	Address    string
	TokensFile string
	TLS        TLS
}
