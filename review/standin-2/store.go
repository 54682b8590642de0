package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is one row of the platform's store.
type storeRow struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"schema_version"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeAnswer is the body of the store's answers about rows.
type storeAnswer struct {
	Rows     []storeRow `json:"rows"`
	HasMore  bool       `json:"has_more"`
	Revision uint64     `json:"schema_version"`
	TimeMS   int64      `json:"server_time_ms"`
}

// maxPageRows is the number of rows that one answer holds at most.
const maxPageRows = 500

// store is the platform's store, in memory. It has no faults of its own: a case delays calls on their way.
type store struct {
	server  *http.Server
	address string
	started time.Time

	mu       sync.Mutex // guards the fields below
	rows     map[string]storeRow
	revision uint64
	history  []storeRow
	changed  chan struct{} // closed and replaced at each write
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row with an empty part, as the operator does.
func (s *store) put(table, key string, value any) { s.putPart(table, "", key, value) }

// putPart writes a row.
func (s *store) putPart(table, part, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storeRow{{Table: table, Part: part, Key: key, Value: body}})
}

func rowKey(r storeRow) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// write applies rows as one transaction. s.mu is held.
func (s *store) write(rows []storeRow) {
	s.revision++
	for _, row := range rows {
		row.Revision = s.revision
		s.history = append(s.history, row)
		if row.Deleted {
			delete(s.rows, rowKey(row))
			continue
		}
		s.rows[rowKey(row)] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(storeAnswer{Rows: rows, HasMore: more, Revision: s.revision, TimeMS: time.Since(s.started).Milliseconds() + 1})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []storeRow `json:"precondition"`
		Puts         []storeRow `json:"puts"`
		Remove       []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []storeRow
	satisfied := true
	for _, c := range t.Precondition {
		row := s.rows[rowKey(c)]
		satisfied = satisfied && row.Revision == c.Revision
		if row.Revision > 0 {
			present = append(present, row)
		}
	}
	if !satisfied {
		s.reply(w, http.StatusPreconditionFailed, present, false)
		return
	}
	for i := range t.Remove {
		t.Remove[i].Deleted = true
	}
	s.write(append(t.Puts, t.Remove...))
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Revision > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reply(w, http.StatusOK, nil, false)
			return
		}
	}
}
