package quarantine

import "slices"

// Identity is what a crash of a replica may be due to: the whole content of a request, or a part of its
// prompt that other requests have too.
type Identity struct {
	Digest Digest
	// Part is the id of the part of the prompt. It is empty for the whole content.
	Part string
	// Position is that of the part in the prompt, from 1. It is 0 for the whole content.
	Position int
}

// RequestIdentity returns the identity of the whole content of a request.
func RequestIdentity(d Digest) Identity { return Identity{Digest: d} }

// PartIdentities returns the identities of the parts of a prompt for a service, in order and without
// duplicates. The workspace is not part of them: a part that crashes replicas does so for everybody.
func PartIdentities(service string, parts []string) []Identity {
	var ids []Identity
	for i, part := range parts {
		if !slices.Contains(parts[:i], part) {
			ids = append(ids, Identity{Digest: digest([]string{"prompt part", service, part}, nil), Part: part, Position: i + 1})
		}
	}
	return ids
}

// moreSpecific reports whether fewer requests are expected to have id than other. Prompts begin with what
// most requests share.
func (id Identity) moreSpecific(other Identity) bool {
	if (id.Part == "") != (other.Part == "") {
		return id.Part == ""
	}
	return id.Position > other.Position
}
