package relay

import (
	"io"
	"time"
)

const (
	// bodyProgressTimeout is the time in which minBodyProgress bytes of a body have to come, or its end. A caller
	// that has stopped sending would otherwise hold memory until its deadline.
	bodyProgressTimeout = 10 * time.Second
	minBodyProgress     = 1 << 10
)

// bodyProgress reads a caller's body until the deadline of its request, as long as it makes progress. Reads fail
// with os.ErrDeadlineExceeded after that.
type bodyProgress struct {
	body            io.Reader
	setReadDeadline func(time.Time) error
	deadline        time.Time
	// since is when the last minBodyProgress bytes were complete, and bytes what came after them.
	since time.Time
	bytes int
}

func newBodyProgress(body io.Reader, setReadDeadline func(time.Time) error, deadline time.Time) *bodyProgress {
	return &bodyProgress{body: body, setReadDeadline: setReadDeadline, deadline: deadline, since: time.Now()}
}

// Read implements io.Reader.
func (p *bodyProgress) Read(b []byte) (int, error) {
	end := p.since.Add(bodyProgressTimeout)
	if p.deadline.Before(end) {
		end = p.deadline
	}
	_ = p.setReadDeadline(end) // without support for deadlines, the caller bounds the read
	n, err := p.body.Read(b)
	if p.bytes += n; p.bytes >= minBodyProgress {
		p.since, p.bytes = time.Now(), 0
	}
	return n, err
}
