package settings

import (
	"cmp"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9._-]{0,62}$`)

// setValue parses text as the key's type, checks its range and stores the value in s.
// It returns the problem, or an empty string.
func (k Key) setValue(s *Settings, text string) string {
	switch field := k.field(s).(type) {
	case *string:
		return k.setString(field, text)
	case *[]string:
		return setAddresses(field, text)
	case *bool:
		return setBool(field, text)
	case *int:
		return setNumber(k, field, text, strconv.Atoi)
	case *int64:
		return setNumber(k, field, text, parseInt64)
	case *float64:
		return setNumber(k, field, text, parseFloat)
	case *time.Duration:
		return setNumber(k, field, text, time.ParseDuration)
	}
	panic("settings: key " + k.Section + "." + k.Name + " fills a field of an unknown type")
}

func (k Key) setString(field *string, text string) string {
	problem := k.stringProblem(text)
	if problem == "" {
		*field = text
	}
	return problem
}

func (k Key) stringProblem(text string) string {
	switch {
	case text == "":
		return "is empty"
	case k.Kind == KindName && !namePattern.MatchString(text):
		return quoted(text) + " is not a name"
	case k.Kind == KindChoice && !slices.Contains(k.Choices, text):
		return quoted(text) + " is not known"
	case k.Kind == KindAddress:
		return addressProblem(text, 0)
	case k.Kind == KindURL:
		return urlProblem(text)
	}
	return ""
}

// addressProblem returns what is wrong with an IP:port, whose port must be minPort or
// higher, or an empty string.
func addressProblem(text string, minPort uint16) string {
	address, err := netip.ParseAddrPort(text)
	if err == nil {
		if address.Port() < minPort {
			return quoted(text) + " has no port"
		}
		return ""
	}
	host, _, found := strings.Cut(text, ":")
	if found && isHostName(host) {
		return quoted(text) + " has a DNS name where an IP number belongs"
	}
	return quoted(text) + " is not an address"
}

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_.-]*[A-Za-z0-9_.])?$`)

func isHostName(host string) bool {
	_, err := netip.ParseAddr(host)
	return err != nil && hostPattern.MatchString(host) && strings.ContainsFunc(host, isLetter)
}

func isLetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' }

func urlProblem(text string) string {
	parsed, err := url.Parse(text)
	switch {
	case err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https":
		return "is not a URL"
	case parsed.User != nil:
		return "holds a user or password"
	case parsed.RawQuery != "" || parsed.Fragment != "":
		return "holds a query or fragment"
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		return quoted(parsed.Host) + " has a DNS name where an IP number belongs"
	}
	return ""
}

func setAddresses(field *[]string, text string) string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		address := strings.TrimSpace(part)
		if address == "" && text == "" {
			continue
		}
		if problem := addressProblem(address, 1); problem != "" {
			return problem
		}
		if slices.Contains(list, address) {
			return quoted(address) + " is taken twice"
		}
		list = append(list, address)
	}
	*field = list
	return ""
}

func setBool(field *bool, text string) string {
	if text != "true" && text != "false" {
		return quoted(text) + " is not true or false"
	}
	*field = text == "true"
	return ""
}

// setNumber parses a number or duration and stores it if it is in the key's range. It
// rejects NaN, which is not equal to itself.
func setNumber[T cmp.Ordered](k Key, field *T, text string, parse func(string) (T, error)) string {
	value, err := parse(text)
	if err != nil || value != value {
		return quoted(text) + " is not " + k.Kind.allowed()
	}
	low, high := mustParse(k.Min, parse), mustParse(k.Max, parse)
	if value < low || value > high {
		return quoted(text) + " is out of range"
	}
	*field = value
	return ""
}

// mustParse parses a bound from the table of keys and panics if it is invalid.
func mustParse[T any](text string, parse func(string) (T, error)) T {
	value, err := parse(text)
	if err != nil {
		panic("settings: bad bound " + text)
	}
	return value
}

func parseInt64(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func quoted(text string) string { return strconv.Quote(text) }
