package config

import "regexp"

const (
	maxNameLength = 63
	allowedNames  = "1 to 63 letters, digits, '.', '_' and '-', starting with a letter or digit"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidName reports whether name is a valid name of an entity. Names are parts of
// URLs, row keys and metric labels, so they hold only characters that need no escaping
// in any of these.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

func (f *findings) name(name, path string) {
	switch {
	case name == "":
		f.add(path, "is empty", allowedNames)
	case !ValidName(name):
		f.add(path, "is not a valid name", allowedNames)
	}
}

func (f *findings) optionalName(name, path string) {
	if name != "" {
		f.name(name, path)
	}
}
