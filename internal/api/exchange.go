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

// exchange is one HTTP request and its response.
type exchange struct {
	*handler
	r         *http.Request
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	arrival   time.Time
	// profile is empty until the path or body that names it has been read.
	profile string
	// pathParam returns a path parameter by name.
	pathParam func(string) string
	// onPanic sends the failure after a panic. It is writeProblem, and a stream
	// replaces it.
	onPanic func(*outcome.Failure)
}

// handle returns an iris handler that checks the connection limit and the head's
// size, then calls serve.
func (h *handler) handle(serve func(*exchange)) iris.Handler {
	return func(c iris.Context) {
		x := h.newExchange(c)
		defer x.recoverPanic()
		if failure := cmp.Or(x.checkConnectionLimit(), x.checkHeadSize()); failure != nil {
			x.refuse(failure)
			return
		}
		serve(x)
	}
}

// newExchange assigns the request ID and sets the headers that all responses have.
func (h *handler) newExchange(c iris.Context) *exchange {
	x := &exchange{
		handler:   h,
		r:         c.Request(),
		w:         c.ResponseWriter(),
		control:   http.NewResponseController(c.ResponseWriter().Naive()),
		requestID: uuid.Must(uuid.NewV7()).String(),
		arrival:   time.Now(),
		pathParam: c.Params().Get,
	}
	x.onPanic = x.writeProblem
	x.w.Header().Set(HeaderRequestID, x.requestID)
	x.w.Header().Set("Cache-Control", "no-store")
	x.closeIfNotReady()
	return x
}

// closeIfNotReady closes the connection after this response if this VM is not
// ready. On a kept-alive connection the caller's next request would reach this VM
// even after the balancer has stopped sending requests here.
func (x *exchange) closeIfNotReady() {
	if !x.router.Ready() {
		x.w.Header().Set("Connection", "close")
	}
}

// recoverPanic answers with the outcome unknown after a panic, since the request
// may have run by then.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.options.Logger.Error("request panicked", zap.String("requestId", x.requestID), zap.Any("cause", cause), zap.Stack("stack"))
	x.onPanic(outcome.Uncertain(outcome.ReasonInternal, "The router failed while it worked on the request."))
}

// setWriteDeadline gives the next write to the caller a deadline. Without one, a
// caller that stops reading would hold its stream and the engines' slots forever.
func (x *exchange) setWriteDeadline() {
	// Some writers don't support deadlines, such as httptest.ResponseRecorder.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.options.WriteTimeout))
}
