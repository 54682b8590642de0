package servicesim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"geraniumcroft/internal/harness/standin/faultnet"
)

const (
	headerRequestID      = "Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerNotRun         = "Geraniumcroft-Not-Run"
	maxBody              = 16 << 20
)

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/load":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Load())
	case r.Method == http.MethodPost && r.URL.Path == "/faults":
		s.serveFaults(w, r)
	case r.Method == http.MethodPost:
		s.serveCall(w, r)
	default:
		http.NotFound(w, r)
	}
}

// planCall counts a received call and consumes the faults that apply to it.
func (s *Service) planCall() callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	f := &s.faults
	p := callPlan{duration: s.options.ServiceTime}
	if f.Slowdown > 0 {
		p.duration = time.Duration(float64(p.duration) * f.Slowdown)
	}
	p.notRun = f.Leaving || take(&f.DeclareNotRun)
	if p.notRun {
		return p
	}
	p.dieBefore, f.DieBefore = f.DieBefore, false
	p.dieAfter, f.DieAfter = f.DieAfter, false
	p.loseResponse = take(&f.LoseResponses)
	p.truncate = take(&f.TruncateResponses)
	p.fail = take(&f.Fail)
	p.wrongID = take(&f.WrongIDs)
	p.silence = take(&f.SilenceOnCall)
	return p
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	p := s.planCall()
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if p.notRun {
		w.Header().Set(headerNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.dieBefore {
		s.Die()
		return
	}
	execution := Execution{RequestID: id, IdempotencyKey: r.Header.Get(headerIdempotencyKey), Path: r.URL.Path, Body: string(body)}
	if !s.execute(r.Context(), p.duration, execution) {
		return
	}
	s.respond(w, r, p, body)
}

// execute waits for a slot and then for the service time, and records the execution.
// It reports whether the call was executed. A call whose connection is closed before
// it has a slot is not executed; a call that has a slot is executed even if its
// caller no longer waits, unless the service dies.
func (s *Service) execute(ctx context.Context, duration time.Duration, execution Execution) bool {
	s.count(0, 1)
	select {
	case s.slots <- struct{}{}:
		s.count(1, -1)
	case <-ctx.Done():
		s.count(0, -1)
		return false
	}
	defer func() {
		<-s.slots
		s.count(-1, 0)
	}()
	if duration > 0 {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		<-timer.C
	}
	return s.record(execution)
}

// count adds to the numbers of active and queued calls and wakes AwaitIdle.
func (s *Service) count(active, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += active
	s.queued += queued
	s.recordLoad()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// record records an execution. It returns false if the service is dead.
func (s *Service) record(execution Execution) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return false
	}
	if len(s.executions) == maxExecutions {
		s.executions = s.executions[1:]
	}
	s.executions = append(s.executions, execution)
	s.total++
	return true
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, p callPlan, body []byte) {
	conn := faultnet.ConnOf(r.Context())
	switch {
	case p.dieAfter:
		s.Die()
		return
	case p.loseResponse:
		conn.Reset()
		return
	case p.silence:
		conn.GoSilent()
	}
	if p.wrongID {
		w.Header().Set(headerRequestID, "another-request")
	}
	answer, _ := json.Marshal(map[string]string{"executed": r.Header.Get(headerRequestID), "echo": string(body)}) // strings always marshal
	w.Header().Set("Content-Type", "application/json")
	if p.truncate {
		truncate(w, conn, answer)
		return
	}
	if p.fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(answer)
}

// truncate sends the first half of a response and closes the connection.
func truncate(w http.ResponseWriter, conn *faultnet.Conn, answer []byte) {
	w.Header().Set("Content-Length", "1000000")
	_, _ = w.Write(answer[:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	_ = conn.Close()
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var request faultRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err == nil && len(request.Set) > 0 {
		s.SetFaults(func(f *Faults) { err = json.Unmarshal(request.Set, f) })
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.Silence {
		s.goSilent(faultnet.ConnOf(r.Context()))
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	if request.Die {
		s.Die() // also resets the connection of this request
	}
}
