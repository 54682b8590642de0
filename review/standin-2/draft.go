package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// draft is one stream as its consumer saw it.
type draft struct {
	id     string
	status int
	events int
	// inOrder says that the events were 1, 2, 3 and so on. complete says that the answer ended in order.
	inOrder, complete bool
}

// draft sends a request for a stream and reads it to its end.
func (c *consumer) draft(limit time.Duration) draft {
	d := draft{id: newID(), inOrder: true}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vm.callers+draftRoute+"2f", strings.NewReader("prompt "+d.id))
	if err != nil {
		panic(err)
	}
	req.Host = host
	for name, value := range map[string]string{
		"Request-Id": d.id, "Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10), "Api-Key": apiKey, "Model": "m0",
		"Token-Count": "760,200", "Prompt-Prefix": "5c1e07a2:40," + d.id[:8] + ":720",
	} {
		req.Header.Set(name, value)
	}
	c.record.line("consumer sends %s POST %s to %s", d.id, draftRoute, c.vm.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.record.line("%s ends without an answer: %v", d.id, err)
		return d
	}
	defer func() { _ = resp.Body.Close() }()
	d.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			d.events++
			d.inOrder = d.inOrder && id == strconv.Itoa(d.events)
		}
	}
	d.complete = lines.Err() == nil
	c.record.line("%s gets %d with %d events; complete: %t", d.id, d.status, d.events, d.complete)
	return d
}

// draftLog holds the streams of a case.
type draftLog struct {
	mu     sync.Mutex
	drafts []draft
}

func (l *draftLog) add(d draft) {
	l.mu.Lock()
	l.drafts = append(l.drafts, d)
	l.mu.Unlock()
	if d.status != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
}

// judge reports whether a stream ended as complete before its last event, or had its events out of order.
func (l *draftLog) judge(rec *record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, brokenOff, short, disorder, refused := 0, 0, 0, 0, 0
	for _, d := range l.drafts {
		switch {
		case d.status != http.StatusOK:
			refused++
		case !d.inOrder:
			disorder++
		case !d.complete:
			brokenOff++
		case d.events < streamEvents:
			short++
			rec.line("short: %s ended as complete after event %d of %d", d.id, d.events, streamEvents)
		default:
			whole++
		}
	}
	rec.summary("%d streams: %d whole, %d ended as complete before their last event, %d broken off, %d out of order, %d without a stream", len(l.drafts), whole, short, brokenOff, disorder, refused)
	return short+disorder > 0
}

// putEntry writes a replica's entry.
func putEntry(store, id string, entry map[string]any) {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	if err := postRows(store, storeRow{Table: "servers", Key: id, Value: value}); err != nil && !errors.Is(err, context.Canceled) {
		time.Sleep(100 * time.Millisecond)
	}
}
