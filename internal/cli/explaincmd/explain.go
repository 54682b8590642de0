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

// maxLineBytes bounds the length of a log line in bytes.
const maxLineBytes = 4 << 20

// line is a log line about the request.
type line struct {
	at     time.Time
	vm     string
	event  string
	fields map[string]json.RawMessage
}

// commonFields are the names of fields that are printed before the others and without their
// names, or not at all.
var commonFields = []string{"level", "time", "at", "msg", "vm", "requestId"}

// explain prints the lines about a request from all logs, in order of time. It reports whether
// there were any.
func explain(out io.Writer, requestID string, logs ...io.Reader) (bool, error) {
	var lines []line
	for _, log := range logs {
		found, err := readLines(requestID, log)
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

// readLines returns the lines about a request in a log. It skips any text before the first brace
// of a line, such as a prefix that a log collector adds.
func readLines(requestID string, log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
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

// parse decodes a log line. It reports false for a line of another program, or without a time.
func parse(text []byte) (line, bool) {
	l := line{fields: map[string]json.RawMessage{}}
	if json.Unmarshal(text, &l.fields) != nil {
		return line{}, false
	}
	l.vm, l.event = l.text("vm"), l.text("msg")
	// Decisions are logged only after the request has failed; "at" is the time of the decision.
	for _, name := range []string{"at", "time"} {
		if at, err := time.Parse(time.RFC3339Nano, l.text(name)); err == nil {
			l.at = at
			return l, true
		}
	}
	return line{}, false
}

// text returns the value of a string field, or "" if there is no such field.
func (l line) text(name string) string {
	var text string
	if json.Unmarshal(l.fields[name], &text) != nil {
		return ""
	}
	return text
}

// String returns the time, the VM, the event and the other fields in order of their names.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.vm, l.event)
	var names []string
	for name := range l.fields {
		if !slices.Contains(commonFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.fields[name])
	}
	return b.String()
}
