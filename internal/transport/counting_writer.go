package transport

import "io"

// countingWriter counts the bytes that the underlying writer accepted.
type countingWriter struct {
	out     io.Writer
	written int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.out.Write(p)
	w.written += n
	return n, err
}
