package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"geraniumcroft/internal/outcome"
)

// Guards against a VM that takes requests on open connections for which it has no processor time: they would be
// served late, and those that it serves already as well.
func TestRequestsAreRefusedWhileTheProcessorIsSaturated(t *testing.T) {
	h := &Handler{Options: Options{ConfigSource: agedSource(0), Saturated: func() bool { return true }}, shortages: newShortages()}
	answer := httptest.NewRecorder()
	failure := h.accept(&request{}, answer, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
	if failure == nil || failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonOverloaded || failure.RetryAfter <= 0 {
		t.Errorf("%+v", failure)
	}
	if answer.Header().Get("Connection") != "close" {
		t.Error("the caller keeps the connection to this VM")
	}
}
