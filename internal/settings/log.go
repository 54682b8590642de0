package settings

// Log holds the settings of the log.
type Log struct {
	Level  string
	Format string
}
