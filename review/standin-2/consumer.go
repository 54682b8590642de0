package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names in the desired state of the cases.
const (
	host         = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	deskService  = "permisos"
	confirmRoute = "/puxa403/"
	checkRoute   = "/cufi504/"
)

// desiredState returns the operator's desired state with the routes of a plain service.
func desiredState(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 800, "target_latency_ms": 100, "priority": 2,
			"backends": []any{map[string]any{"service": deskService, "weight": 100}}, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-confirm", confirmRoute, "non_idempotent", 1), route("r-check", checkRoute, "idempotent", 2)},
		"services": []any{map[string]any{"name": deskService, "health_path": "/health", "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []any{apiKey}}},
	}
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// attempt is one consumer attempt as its consumer saw it.
type attempt struct {
	id       string
	at       time.Time
	vm       string
	status   int // 0 if the channel ended without a whole answer
	sign     string
	body     string
	err      error
	answered time.Time
}

// consumer sends attempts to one VM over kept channels.
type consumer struct {
	vm     *vm
	client *http.Client
	record *record

	mu       sync.Mutex
	attempts []*attempt
}

func newConsumer(v *vm, rec *record) *consumer {
	return &consumer{vm: v, record: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// send sends one attempt with the key of the desired state and waits for its end.
func (c *consumer) send(method, path, body string, limit time.Duration) *attempt {
	return c.sendWithKey(method, path, body, apiKey, limit)
}

// sendWithKey is send with another key.
func (c *consumer) sendWithKey(method, path, body, key string, limit time.Duration) *attempt {
	a := &attempt{id: newID(), at: time.Now(), vm: c.vm.name}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.vm.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Api-Key", key)
	c.record.line("consumer sends %s %s %s to %s", a.id, method, path, c.vm.name)
	resp, err := c.client.Do(req)
	if err == nil {
		var read []byte
		read, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.sign, a.body = resp.StatusCode, resp.Header.Get("Response-Signature"), string(read)
		}
	}
	a.err, a.answered = err, time.Now()
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		c.record.line("%s has no answer within its time limit", a.id)
	case err != nil:
		c.record.line("%s ends without a whole answer: %v", a.id, err)
	default:
		c.record.line("%s gets %d, signature %q", a.id, a.status, a.sign)
	}
	return a
}
