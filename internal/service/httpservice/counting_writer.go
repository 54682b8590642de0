package httpservice

import "io"

// countingWriter counts the bytes that the connection has taken.
type countingWriter struct {
	to   io.Writer
	sent int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.sent += n
	return n, err
}
