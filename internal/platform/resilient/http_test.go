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

// A commit over HTTP succeeds despite each injected fault: the response is lost after the
// write, the write is delayed, or the open connection goes silent while new ones work.
// Reading the rows back and sending the same transaction again resolves each of them.
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
			setFaults(t, server, order)
			if err := client.Commit(t.Context(), create("t", "a")); err != nil {
				t.Fatal(err)
			}
			rows, err := client.Get(t.Context(), "a")
			if err != nil || rows[0].TxnID != "t" {
				t.Fatalf("row %+v, %v", rows, err)
			}
			if client.Dump().Resolved != 1 {
				t.Fatalf("the fault had no effect: %+v", client.Dump())
			}
		})
	}
}

func setFaults(t *testing.T, server *platformsim.Server, order platformsim.Order) {
	t.Helper()
	body, err := json.Marshal(order)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(server.URL()+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("set faults: status %d", response.StatusCode)
	}
}
