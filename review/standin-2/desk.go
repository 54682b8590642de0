package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// desk is a plain replica: an application service with 6 slots whose requests take some 15 ms.
type desk struct {
	id, service, address, zone string
	record                     *record
	storeAddress               string
	server                     *http.Server
	conns                      sync.Map
	work                       time.Duration
	born                       int64
	onArrival                  func(d *desk, id string)

	mu       sync.Mutex // guards the fields below
	sequence int
	state    string
	gone     bool
}

func newDesk(id, service, zone, storeAddress string, rec *record) (*desk, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ownIP(100), "0"))
	if err != nil {
		return nil, err
	}
	d := &desk{id: id, service: service, zone: zone, address: listener.Addr().String(), record: rec, storeAddress: storeAddress, state: "ready", work: 40 * time.Millisecond, born: time.Now().UnixMilli()}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve), ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			d.conns.Delete(c)
			return
		}
		d.conns.Store(c, true)
	}}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (d *desk) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != d.id {
		w.Header().Set("Instance-Id", d.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	d.record.line("%s runs %s %s (from %s)", d.id, id, r.URL.Path, strings.Split(r.RemoteAddr, ":")[0])
	if d.onArrival != nil {
		d.onArrival(d, id)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(d.work)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "signed-by-"+d.id)
	w.Header().Set("Server-Load", "1,0,6")
	_, _ = fmt.Fprintf(w, "answer of %s to %s", d.id, id)
}

// entry returns the row that the replica writes next.
func (d *desk) entry() (row []byte, sequence int, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	value, err := json.Marshal(map[string]any{
		"service": d.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": 6, "state": d.state,
		"cold_left_ms": 0, "sequence": d.sequence, "born": d.born,
	})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{"puts": []storeRow{{Table: "servers", Key: d.id, Value: value}}, "precondition": []storeRow{}, "remove": []storeRow{}})
	if err != nil {
		panic(err)
	}
	return body, d.sequence, d.state
}

// write writes the entry by a call of its own, and reports whether the store acknowledged it.
func (d *desk) write(through string) bool {
	body, sequence, state := d.entry()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+through+"/api/rows-tx", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.record.line("%s: no answer of the store to the heartbeat with sequence %d (%s)", d.id, sequence, state)
		return false
	}
	_ = resp.Body.Close()
	d.record.line("%s: the store has acknowledged the heartbeat with sequence %d (%s): %d", d.id, sequence, state, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// postRows writes rows as one transaction.
func postRows(store string, rows ...storeRow) error {
	body, err := json.Marshal(map[string]any{"puts": rows, "precondition": []storeRow{}, "remove": []storeRow{}})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+store+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// removeEntry removes the entry.
func (d *desk) removeEntry() {
	body, _ := json.Marshal(map[string]any{"puts": []storeRow{}, "precondition": []storeRow{}, "remove": []storeRow{{Table: "servers", Key: d.id}}})
	resp, err := http.Post("http://"+d.storeAddress+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
		d.record.line("%s: entry removed", d.id)
	}
}

func (d *desk) setState(state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = state
}

// beat writes the entry at each heartbeat until the context ends.
func (d *desk) beat(ctx context.Context) {
	for {
		d.write(d.storeAddress)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// exit ends the replica: its listener is closed and its connections break.
func (d *desk) exit() {
	d.mu.Lock()
	d.gone = true
	d.mu.Unlock()
	d.record.line("%s exits", d.id)
	d.conns.Range(func(c, _ any) bool {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return true
	})
	_ = d.server.Close()
}
