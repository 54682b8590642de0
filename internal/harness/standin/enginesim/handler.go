package enginesim

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumcroft/internal/engine"
)

const (
	stagesPath  = "/v1/stages"
	maxBodySize = 16 << 20
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == stagesPath:
		e.serveStage(w, r)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, stagesPath+"/"):
		e.serveCancel(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/load":
		answer(w, http.StatusOK, e.Load())
	case r.Method == http.MethodGet && r.URL.Path == "/v1/cache-events":
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		answer(w, http.StatusOK, e.CacheEvents(after))
	case r.Method == http.MethodGet && r.URL.Path == "/v1/state":
		answer(w, http.StatusOK, e.State())
	case r.Method == http.MethodPost && r.URL.Path == "/v1/orders":
		e.serveOrder(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/faults":
		e.serveFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveStage(w http.ResponseWriter, r *http.Request) {
	var open engine.StageOpen
	if !read(w, r, &open) {
		return
	}
	st, refused := e.openStage(open)
	if refused != nil {
		answer(w, refused.status, refused)
		return
	}
	defer e.closeStage(st)
	e.relay(w, r, st)
}

// relay writes the events of a stage until the stage ends or the connection closes.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, st *stage) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	heartbeat := time.NewTimer(e.options.Heartbeat)
	defer heartbeat.Stop()
	var events []engine.Event
	var buf []byte
	for {
		var ended bool
		events, ended = st.out.drain(events)
		buf = buf[:0]
		for i := range events {
			buf = appendEvent(buf, &events[i])
		}
		if len(buf) > 0 && !e.muted() {
			if _, err := w.Write(buf); err != nil {
				return
			}
			if err := flush.Flush(); err != nil {
				return
			}
		}
		if ended {
			return
		}
		heartbeat.Reset(e.options.Heartbeat)
		select {
		case <-st.out.ready:
		case <-heartbeat.C:
			st.out.push(st.event(engine.EventHeartbeat))
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) muted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Mute
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 32)
	if err != nil {
		answer(w, http.StatusBadRequest, &refusal{Code: "bad-request", Message: "no epoch"})
		return
	}
	e.cancel(strings.TrimPrefix(r.URL.Path, stagesPath+"/"), uint32(epoch))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !read(w, r, &order) {
		return
	}
	if refused := e.applyOrder(order); refused != nil {
		answer(w, refused.status, refused)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, &refusal{Code: "bad-request", Message: err.Error()})
	}
	return err == nil
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
