package settings

// place is a key's position in the file.
type place struct {
	section string
	key     string
	line    int
}
