package settings

// Kind is the type of a key's value.
type Kind uint8

// The types of values. KindName is a short identifier, KindFile a path and
// KindAddresses a comma-separated list of addresses.
const (
	KindName Kind = iota
	KindFile
	KindAddress
	KindAddresses
	KindURL
	KindBool
	KindChoice
	KindInt
	KindBytes
	KindFloat
	KindDuration
)

// allowed describes the values of the kind.
func (k Kind) allowed() string {
	switch k {
	case KindName:
		return "a name of 1 to 63 of a-z, 0-9, '.', '_' and '-', that starts with a letter"
	case KindFile:
		return "the path of a file"
	case KindAddress:
		return "IP:port by number, such as 192.0.2.1:8080"
	case KindAddresses:
		return "a list of IP:port by number, separated by commas"
	case KindURL:
		return "http:// or https:// with an IP number, such as http://192.0.2.9:7000"
	case KindBool:
		return "true or false"
	case KindChoice:
		return "one of"
	case KindInt:
		return "a whole number"
	case KindBytes:
		return "a whole number of bytes"
	case KindFloat:
		return "a number"
	case KindDuration:
		return "a duration such as 250ms or 2s"
	}
	return ""
}
