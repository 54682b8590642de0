package api

import (
	"cmp"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"geraniumcroft/internal/outcome"
)

// exchange is one request and its answer.
type exchange struct {
	*handler
	r       *http.Request
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	arrival time.Time
	// profile is known once the body or path has been read.
	profile string
	// param gives a parameter of the path.
	param func(string) string
	// broken answers when a bug broke the request off; a stream that is open sets
	// its own.
	broken func(*outcome.Failure)
}

// exchange returns the iris handler that answers by f.
func (h *handler) exchange(f func(*exchange)) iris.Handler {
	return func(c iris.Context) {
		x := h.begin(c)
		defer x.recoverPanic()
		if failure := cmp.Or(x.checkConnection(), x.checkHead()); failure != nil {
			x.refuse(failure)
			return
		}
		f(x)
	}
}

func (h *handler) begin(c iris.Context) *exchange {
	x := &exchange{
		handler: h,
		r:       c.Request(),
		w:       c.ResponseWriter(),
		control: http.NewResponseController(c.ResponseWriter().Naive()),
		id:      uuid.Must(uuid.NewV7()).String(),
		arrival: time.Now(),
		param:   c.Params().Get,
	}
	x.broken = x.fail
	x.w.Header().Set(HeaderRequestID, x.id)
	x.w.Header().Set("Cache-Control", "no-store")
	x.leaveConnection()
	return x
}

// leaveConnection asks the caller to open a new connection while this VM is not
// ready: on a kept one its next request would reach this VM whatever the balancer
// has learned.
func (x *exchange) leaveConnection() {
	if !x.router.Ready() {
		x.w.Header().Set("Connection", "close")
	}
}

// recoverPanic answers unknown when a bug broke the request off: nobody can tell
// what had run by then.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.options.Logger.Error("request panicked", zap.String("requestId", x.id), zap.Any("cause", cause), zap.Stack("stack"))
	x.broken(outcome.Uncertain(outcome.ReasonInternal, "The router failed while it worked on the request."))
}

// boundWrite gives the next write to the caller a deadline. Without it a caller
// that stops reading would hold its stream, and the engines' slots, for good.
func (x *exchange) boundWrite() {
	// Not all writers can, such as a test's recorder.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.options.WriteTimeout))
}
