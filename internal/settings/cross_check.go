package settings

import "net/netip"

// crossCheck checks for values that are valid alone but not together.
func (r *reader) crossCheck() {
	r.checkListeners()
	r.checkPeersAddress()
	r.checkTLS("callers", r.settings.Callers.TLS, false)
	r.checkTLS("admin", r.settings.Admin.TLS, false)
	r.checkTLS("peers", r.settings.Peers.TLS, true)
	r.checkQueues()
}

// listener is an address to listen on and the section that sets it.
type listener struct {
	section string
	address netip.AddrPort
}

func (r *reader) listeners() []listener {
	all := []listener{}
	for _, key := range r.keys {
		if key.Kind != KindAddress {
			continue
		}
		text := *key.field(r.settings).(*string)
		if address, err := netip.ParseAddrPort(text); err == nil {
			all = append(all, listener{section: key.Section, address: address})
		}
	}
	return all
}

func (r *reader) checkListeners() {
	all := r.listeners()
	for i, later := range all {
		for _, earlier := range all[:i] {
			if overlap(earlier.address, later.address) {
				r.add(later.section, "address", later.address.String()+" is taken twice, by "+earlier.section+" as well", "an address of its own for each listener")
			}
		}
	}
}

// overlap reports whether two listeners cannot both be opened. A listener on the
// unspecified address occupies its port on all addresses.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkPeersAddress rejects the unspecified address, to which peers cannot connect:
// all other VMs would take this VM for dead, with no sign of it on the VM itself.
func (r *reader) checkPeersAddress() {
	address, err := netip.ParseAddrPort(r.settings.Peers.Address)
	if err == nil && address.Addr().IsUnspecified() {
		r.add("peers", "address", "is the unspecified address, which peers cannot reach", "the IP number that peers connect to")
	}
}

func (r *reader) checkTLS(section string, t TLS, needCA bool) {
	hasFiles := t.Cert != "" || t.Key != "" || t.CA != ""
	switch {
	case t.Plain && hasFiles:
		r.add(section, "plain", "is true and TLS files are given", "plain = true, or tls_cert and tls_key")
	case t.Plain:
	case t.Cert == "":
		r.add(section, "tls_cert", "is missing", "tls_cert and tls_key, or plain = true")
	}
	if !t.Plain && t.Key == "" {
		r.add(section, "tls_key", "is missing", "tls_cert and tls_key, or plain = true")
	}
	if !t.Plain && needCA && t.CA == "" {
		r.add(section, "tls_ca", "is missing", "the authorities of peers' certificates, or plain = true")
	}
}

func (r *reader) checkQueues() {
	a := r.settings.Admission
	if a.MaxQueued > 0 && a.MaxQueuedPerWorkspace > a.MaxQueued {
		r.add("admission", "max_queued_per_workspace", "is more than max_queued", "up to max_queued")
	}
}
