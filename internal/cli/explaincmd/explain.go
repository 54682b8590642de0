package explaincmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a line of a log.
const maxLine = 4 << 20

// line is one line about the request.
type line struct {
	at     time.Time
	vm     string
	event  string
	fields map[string]json.RawMessage
}

// ordinary fields are printed apart from the others, or not at all.
var ordinary = []string{"level", "time", "at", "msg", "vm", "requestId"}

// story prints all lines about a request in the order of time, across VMs. It reports
// whether there were any.
func story(out io.Writer, requestID string, logs ...io.Reader) (bool, error) {
	var lines []line
	for _, log := range logs {
		found, err := linesOf(requestID, log)
		if err != nil {
			return false, err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return false, err
		}
	}
	return len(lines) > 0, nil
}

// linesOf reads a log. What stands before a line's first brace, as a collector may put
// it there, is passed over.
func linesOf(requestID string, log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(requestID)) {
			continue
		}
		if l, ok := parse(text[start:]); ok && l.text("requestId") == requestID {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parse(text []byte) (line, bool) {
	l := line{fields: map[string]json.RawMessage{}}
	if json.Unmarshal(text, &l.fields) != nil {
		return line{}, false // another program's line
	}
	l.vm, l.event = l.text("vm"), l.text("msg")
	// Decisions are written when the request has failed; "at" is when they were taken.
	for _, name := range []string{"at", "time"} {
		if at, err := time.Parse(time.RFC3339Nano, l.text(name)); err == nil {
			l.at = at
			return l, true
		}
	}
	return line{}, false
}

func (l line) text(name string) string {
	var text string
	if json.Unmarshal(l.fields[name], &text) != nil {
		return ""
	}
	return text
}

// String returns the time, the VM, the event and its fields by name.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.vm, l.event)
	var names []string
	for name := range l.fields {
		if !slices.Contains(ordinary, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.fields[name])
	}
	return b.String()
}
