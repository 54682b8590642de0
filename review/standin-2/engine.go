package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Sizes of the model and of its streams.
const (
	modelService = "redactor"
	draftRoute   = "/lohu930/"
	modelLayers  = 20
	streamEvents = 86
	eventGap     = 25 * time.Millisecond
	loadTime     = 300 * time.Millisecond
)

// engineState is what an engine holds.
type engineState struct {
	mu       sync.Mutex
	from, to int
	sequence int
	born     int64
}

func (s *engineState) layers() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.to <= s.from {
		return nil
	}
	return map[string]int{"from": s.from, "to": s.to, "version": 1}
}

// runEngine is a model replica in a process of its own, which the case kills. Its streams have neither a length nor
// chunks: they end with their channel.
func runEngine(address, id, store, zone string) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &engineState{born: time.Now().UnixMilli()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", func(w http.ResponseWriter, _ *http.Request) {
		held := s.layers()
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}, "layers": held}}, "layers": held, "kind": "h100", "born": s.born,
			"busy": false, "sequence": s.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 2000000, "handles": 0, "pace": 1.0, "stalled": []any{},
		})
	})
	mux.HandleFunc("POST /api/order", func(w http.ResponseWriter, r *http.Request) { s.order(w, r, id) })
	mux.HandleFunc("POST "+draftRoute, func(w http.ResponseWriter, r *http.Request) { serveStream(w, r, id) })
	go func() {
		for n := 1; ; n++ {
			held := s.layers()
			putEntry(store, id, map[string]any{
				"service": modelService, "address": address, "zone": zone, "version": "v1", "slots": 192, "state": "ready", "cold_left_ms": 0, "sequence": n, "born": s.born,
				"kind": "h100", "stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "layers": held,
			})
			time.Sleep(heartbeat)
		}
	}()
	_ = http.Serve(listener, mux)
	return 0
}

// order carries a place order out.
func (s *engineState) order(w http.ResponseWriter, r *http.Request, id string) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"to"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusNotFound) // no request of that id is moved here
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Precondition != nil && *o.Precondition != s.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.sequence++
	s.from, s.to = 0, 0
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.from, s.to = o.From, o.To
	})
	w.WriteHeader(http.StatusAccepted)
}

// serveStream sends the events after the last one that the consumer has.
func serveStream(w http.ResponseWriter, r *http.Request, id string) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request := r.Header.Get("Request-Id")
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed-by-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n", request, id); err != nil {
		return
	}
	fmt.Printf("%s runs %s from event %d\n", id, request, last+1)
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// engine is the process of a model replica.
type engine struct {
	id, address, zone string
	process           *exec.Cmd
}

// startEngine starts a model replica. What it runs goes to the record.
func (e *env) startEngine(id, address, zone string) (*engine, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	en := &engine{id: id, address: address, zone: zone, process: exec.Command(self, "engine", address, id, e.store.address, zone)}
	out, err := en.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := en.process.Start(); err != nil {
		return nil, err
	}
	e.engines = append(e.engines, en)
	go e.record.copyLines(out)
	return en, nil
}

// kill ends the replica's process at once.
func (en *engine) kill() {
	if en.process.ProcessState == nil {
		_ = en.process.Process.Signal(syscall.SIGKILL)
		_ = en.process.Wait()
	}
}

// modelState returns a desired state with a route of resumable streams.
func modelState(version int) map[string]any {
	state := desiredState(version)
	state["routes"] = append(state["routes"].([]any), map[string]any{
		"name": "r-draft", "host": host, "prefix": draftRoute, "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 500, "priority": 1,
		"backends": []any{map[string]any{"service": modelService, "weight": 100}}, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 200,
	})
	state["services"] = append(state["services"].([]any), map[string]any{"name": modelService, "health_path": "/health", "max_conns": 1128, "engine": map[string]any{
		"slots": 192, "kv_token_bytes": 590000, "layers": modelLayers, "layer_mb": 1750, "activation_bytes": 29500, "link_mbps": 480000, "pipe_mbps": 11000,
		"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000, "pairs_per_m": 0.166, "chunk": 512, "stride": 2, "report_lag_ms": 200,
		"models": []any{map[string]any{"name": "m0", "load_s": 0.3}}, "delays": []any{map[string]any{"delay_ms": 0.25}},
		"usual": map[string]any{"prompt": 770, "answer": 172}, "kinds": []any{map[string]any{"name": "h100", "mb": 72000, "pace": 1.4, "read_x": 1}},
	}})
	return state
}

// runUnframedCrash plays the case: a model replica crashes while it runs streams that end with their channel.
func runUnframedCrash(e *env) (broken bool, err error) {
	e.store.put("op", "config", modelState(5))
	vms, err := e.startVMs(3, []string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	var engines []*engine
	addresses, err := freeAddresses(ownIP(103), 6)
	if err != nil {
		return false, err
	}
	for i, address := range addresses {
		en, err := e.startEngine(fmt.Sprintf("m-%d", i+1), address, []string{"lima-surco", "lima-callao", "lima-ate"}[i%3])
		if err != nil {
			return false, err
		}
		engines = append(engines, en)
	}
	if err := waitReady(vms, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the layers are placed and reported
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drafts := &draftLog{}
	var sending sync.WaitGroup
	for _, v := range vms {
		c := newConsumer(v, e.record)
		for range 12 {
			sending.Go(func() {
				for ctx.Err() == nil {
					drafts.add(c.draft(20 * time.Second))
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	if e.trouble {
		e.record.summary("%s crashes", engines[0].id)
		engines[0].kill()
	}
	time.Sleep(4500 * time.Millisecond)
	if e.trouble {
		if _, err := e.startEngine("m-7", engines[0].address, engines[0].zone); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	cancel()
	sending.Wait()
	return drafts.judge(e.record), nil
}
