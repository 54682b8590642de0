package causes

import (
	"bytes"
	"encoding/json"
	"time"
)

// Event is the end of one request, as a VM logs it.
type Event struct {
	At         time.Time
	VM         string
	RequestID  string
	Profile    string
	Took       time.Duration
	Complete   bool
	Outcome    string
	Reason     string
	Detail     string
	Generation bool
	Waited     time.Duration
	FirstEvent time.Duration
	// LongestPause is the longest time between two events, and PauseEnded what ended it.
	LongestPause time.Duration
	PauseEnded   string
	Sends        int
	// Objective and Gap are the profile's bounds on the time to the answer or first event
	// and on the pause between two events, 0 if the profile states none.
	Objective time.Duration
	Gap       time.Duration
}

// Arrival returns the time at which the request arrived.
func (e Event) Arrival() time.Time { return e.At.Add(-e.Took) }

// The messages of the log lines that are read.
const (
	messageComplete = "request complete"
	messageFailed   = "request failed"
	messageStarted  = "started"
)

// line holds the fields of a log line that are used.
type line struct {
	Time         time.Time `json:"time"`
	Message      string    `json:"msg"`
	VM           string    `json:"vm"`
	DataCentre   string    `json:"dataCentre"`
	RequestID    string    `json:"requestId"`
	Profile      string    `json:"profile"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Detail       string    `json:"detail"`
	Path         string    `json:"path"`
	PauseEnded   string    `json:"pauseEnded"`
	Sends        int       `json:"sends"`
	Took         duration  `json:"took"`
	Waited       duration  `json:"waited"`
	FirstEvent   duration  `json:"firstEvent"`
	LongestPause duration  `json:"longestPause"`
	Objective    duration  `json:"objective"`
	Gap          duration  `json:"gap"`
}

// duration is a time.Duration whose text form is that of time.ParseDuration, such as 12.5ms.
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// parse decodes a log line. It skips any text before the first brace, such as a prefix that a
// log collector adds. It reports false for lines that are not about the end of a request or
// the start of a VM, and for lines of other programs.
func parse(text []byte) (line, bool) {
	if !bytes.Contains(text, []byte(messageComplete)) && !bytes.Contains(text, []byte(messageFailed)) && !bytes.Contains(text, []byte(messageStarted)) {
		return line{}, false
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var l line
	if json.Unmarshal(text[start:], &l) != nil {
		return line{}, false
	}
	return l, l.Message == messageComplete || l.Message == messageFailed || l.Message == messageStarted
}

func (l line) event() Event {
	return Event{
		At: l.Time, VM: l.VM, RequestID: l.RequestID, Profile: l.Profile, Took: time.Duration(l.Took),
		Complete: l.Message == messageComplete, Outcome: l.Outcome, Reason: l.Reason, Detail: l.Detail,
		Generation: l.Path != "", Waited: time.Duration(l.Waited), FirstEvent: time.Duration(l.FirstEvent),
		LongestPause: time.Duration(l.LongestPause), PauseEnded: l.PauseEnded, Sends: l.Sends,
		Objective: time.Duration(l.Objective), Gap: time.Duration(l.Gap),
	}
}
