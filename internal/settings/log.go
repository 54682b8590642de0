package settings

// Log says what is logged.
type Log struct {
	Level  string
	Format string
}
