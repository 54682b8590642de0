package settings

// position is the position of a key in the settings file. Lines count from 1.
type position struct {
	section string
	key     string
	line    int
}
