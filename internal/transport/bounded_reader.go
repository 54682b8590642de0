package transport

// boundedReader reads from the network within the connection's bounds. Only a wait for
// bytes is timed: a consumer that is slow to read is not a silent connection.
type boundedReader struct{ *Conn }

// Read implements io.Reader.
func (b boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	if err := b.raw.SetReadDeadline(b.deadline()); err != nil {
		return 0, err
	}
	n, err := b.raw.Read(p)
	b.left -= int64(n)
	return n, err
}
