package experiment

import (
	"fmt"
	"sync/atomic"

	"geraniumcroft/internal/harness/callclient"
)

type counter struct{ atomic.Int64 }

// orIncomplete returns an error unless the caller got the whole answer.
func orIncomplete(err error, a callclient.Answer) error {
	if err == nil && a.Outcome != outcomeComplete {
		return fmt.Errorf("outcome %q, status %d: %s", a.Outcome, a.Status, a.Body)
	}
	return err
}
