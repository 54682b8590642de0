package transport

// boundedReader reads from the network within the connection's timeouts and read limit. The
// deadline is set at each read and so covers only the wait for bytes: a slow consumer does
// not make the connection count as silent.
type boundedReader struct{ *Conn }

// Read implements io.Reader.
func (b boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if err := b.reserveHead(); err != nil {
		return 0, err
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	if err := b.raw.SetReadDeadline(b.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := b.raw.Read(p)
	b.remaining -= int64(n)
	return n, err
}
