package resilient_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform/httpplatform"
	"geraniumcroft/internal/platform/resilient"
)

// The writer's commit succeeds over HTTP through each failure ordered: the answer is
// lost after the write, the write is late, or the connection that was open goes silent
// while new ones work. Reading back and sending the same transaction again settles it.
func TestCommitOverHTTPSurvivesFaults(t *testing.T) {
	orders := map[string]platformsim.Order{
		"answer lost":       {LoseAnswers: 1},
		"write late":        {DelayCommits: 1, DelayBy: durationOf(time.Minute)},
		"connection silent": {SilenceOpen: true},
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			server, err := platformsim.Start("")
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			raw := httpplatform.New(httpplatform.Settings{BaseURL: server.URL(), AttemptTimeout: 200 * time.Millisecond})
			defer raw.Close()
			client := resilient.New(raw, raw, raw, resilient.Settings{Timeout: 30 * time.Second})
			defer client.Close()
			if _, err := client.Get(t.Context(), "a"); err != nil {
				t.Fatal(err)
			}
			put(t, server, order)
			if err := client.Commit(t.Context(), create("t", "a")); err != nil {
				t.Fatal(err)
			}
			rows, err := client.Get(t.Context(), "a")
			if err != nil || rows[0].TxnID != "t" {
				t.Fatalf("row %+v, %v", rows, err)
			}
			if client.Dump().Resolved != 1 {
				t.Fatalf("the fault did not show: %+v", client.Dump())
			}
		})
	}
}

func put(t *testing.T, server *platformsim.Server, order platformsim.Order) {
	t.Helper()
	body, err := json.Marshal(order)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.Post(server.URL()+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Fatalf("order of faults: status %d", answer.StatusCode)
	}
}
