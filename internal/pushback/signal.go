package pushback

// Signal is what one answer of a replica says of the requests that it takes.
type Signal struct {
	// Limit is none in an answer that names none, which ends an earlier one.
	Limit Limit
	// Unreadable is why a part of the answer's head could not be read, nil if all could. That part
	// then says nothing.
	Unreadable error
}
