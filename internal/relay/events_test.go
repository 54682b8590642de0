package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func readEvents(stream string) (ids, raw []string, err error) {
	reader := newEventReader(strings.NewReader(stream))
	for {
		e, err := reader.next()
		if err != nil {
			return ids, raw, err
		}
		ids = append(ids, e.ID)
		raw = append(raw, string(e.Raw))
	}
}

func TestStreamIsSplitIntoWholeEvents(t *testing.T) {
	stream := "id: 1\ndata: a\n\nweight-versions: 2\nid:2\r\ndata: b\r\n\r\n: comment\n\n"
	ids, raw, err := readEvents(stream)
	if !errors.Is(err, io.EOF) || strings.Join(ids, ",") != "1,2," || strings.Join(raw, "") != stream {
		t.Errorf("ids %q, raw %q, %v", ids, raw, err)
	}
}

// Guards against forwarding an incomplete event of a replica that breaks off: the replica that
// resumes the stream sends that event again.
func TestPartOfAnEventIsNotReturned(t *testing.T) {
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\ndata", "id: 1\ndata: a\n\nid: 2\ndata: b\n"} {
		ids, _, err := readEvents(stream)
		if len(ids) != 1 || isStreamEnd(err) {
			t.Errorf("%q: ids %q, %v", stream, ids, err)
		}
	}
}

func TestLongEventsAreWhole(t *testing.T) {
	long := "id: 7\ndata: " + strings.Repeat("x", 10000) + "\n\n"
	_, raw, _ := readEvents(long)
	if len(raw) != 1 || raw[0] != long {
		t.Errorf("%d events", len(raw))
	}
	if _, _, err := readEvents("data: " + strings.Repeat("x", maxEventBytes+1)); isStreamEnd(err) {
		t.Errorf("event above the size limit: %v", err)
	}
}
