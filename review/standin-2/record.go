package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, began: time.Now()}, err
}

// line writes a line with the time since the start of the record.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// summary writes a line to the record and to the standard output.
func (r *record) summary(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// copyLines writes the lines of another process to the record until it ends.
func (r *record) copyLines(from io.Reader) {
	for lines := bufio.NewScanner(from); lines.Scan(); {
		r.line("%s", lines.Text())
	}
}

func (r *record) close() { _ = r.out.Close() }
