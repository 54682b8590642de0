package config

import "net/netip"

const allowedAddresses = "IP:port with a port from 1 to 65535; names are not resolved"

// ParseAddress parses an IP:port address and returns its canonical form. It reports
// false for a host name, port 0, an IP with a zone, and an unspecified or multicast IP.
func ParseAddress(address string) (string, bool) {
	parsed, ok := parseAddrPort(address)
	if !ok {
		return "", false
	}
	return parsed.String(), true
}

// parseAddrPort is ParseAddress with a typed result. IPv4-mapped IPv6 addresses
// become IPv4 addresses.
func parseAddrPort(address string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return netip.AddrPort{}, false
	}
	ip := parsed.Addr().Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, parsed.Port()), true
}
