package baseline

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an answer without tokens that is a failure by its status and complete by its outcome.
func TestAnswerWithoutTokensIsCompleteOrAFailure(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		status   int
		complete bool
	}{
		"complete": {nil, http.StatusOK, true},
		"failed":   {errors.New("no target"), http.StatusBadGateway, false},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			(&responseStream{id: "id", w: recorder, control: http.NewResponseController(recorder)}).finish(c.err)
			told := recorder.Header().Get(headerOutcome) + recorder.Body.String()
			if recorder.Code != c.status || strings.Contains(told, outcomeComplete) != c.complete {
				t.Errorf("status %d, %q", recorder.Code, told)
			}
		})
	}
}
