package experiment

import (
	"fmt"
	"sync/atomic"

	"geraniumcroft/internal/harness/callclient"
)

// counter counts events of several goroutines.
type counter struct{ atomic.Int64 }

// requireComplete returns err, or an error if the outcome of the answer is not complete.
func requireComplete(err error, a callclient.Answer) error {
	if err == nil && a.Outcome != outcomeComplete {
		return fmt.Errorf("outcome %q, status %d: %s", a.Outcome, a.Status, a.Body)
	}
	return err
}
