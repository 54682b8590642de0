package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/transport"
)

// hangUpWait is how long a new connection to a plain replica is watched. A process that ends may still
// have a connection accepted, and resets it then.
const hangUpWait = 20 * time.Millisecond

// unframedEndError reports an answer with neither a length nor chunks that ended with its connection, and
// not certainly in whole: a replica that crashes ends its connections in order too.
type unframedEndError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *unframedEndError) Error() string {
	return fmt.Sprintf("answer without a length from %s may have been cut off: %s", e.Address, e.Reason)
}

// unframed reports whether only the end of the connection tells the end of the response's body.
func (x *exchange) unframed() bool {
	return x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 && x.resp.Body != http.NoBody
}

// checkUnframedStream returns an error unless a stream that has ended with its connection is whole: it had an
// event, and the incarnation of its replica still answers.
func (g *generation) checkUnframedStream(x *exchange, first layers.Replica) error {
	if x.unframed() && g.events.Load() == 0 {
		return &unframedEndError{Address: first.Address, Reason: "no event came"}
	}
	return g.checkUnframedBody(x, first)
}

// checkUnframedBody returns an error unless the body of an engine's answer that has ended with its connection
// is whole: the incarnation of the engine still answers.
func (g *generation) checkUnframedBody(x *exchange, first layers.Replica) error {
	if !x.unframed() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := g.h.Engines.Report(ctx, first.Address) // a cached one may be older than the end
	switch {
	case err != nil:
		return &unframedEndError{Address: first.Address, Reason: "its replica does not answer: " + err.Error()}
	case (incarnation.Key{ID: first.ID, Born: report.Born}).Succeeds(first.Key()):
		return &unframedEndError{Address: first.Address, Reason: "its replica has started again"}
	}
	return nil
}

// checkUnframedCall returns an error unless the answer to a call that has ended with its connection is whole:
// its replica still takes connections.
func (h *Handler) checkUnframedCall(x *exchange, to target) error {
	if !x.unframed() {
		return nil
	}
	if h.Incarnations != nil && h.Incarnations.Newest(to.incarnation.ID).Succeeds(to.incarnation) {
		return &unframedEndError{Address: to.address, Reason: "its replica has started again"}
	}
	conn, err := h.connect(context.Background(), to.address)
	if err != nil {
		return &unframedEndError{Address: to.address, Reason: "its replica takes no connection: " + err.Error()}
	}
	defer conn.Close()
	conn.SetIOTimeout(hangUpWait)
	if _, err := conn.ReadHead(x.resp.Request, maxResponseBytes); err != nil && !transport.IsTimeout(err) {
		return &unframedEndError{Address: to.address, Reason: "its replica hangs up: " + err.Error()}
	}
	return nil
}
