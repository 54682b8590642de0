package transport

import "io"

// countingWriter counts the bytes that the connection has taken.
type countingWriter struct {
	to    io.Writer
	taken int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.taken += n
	return n, err
}
