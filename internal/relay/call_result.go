package relay

import "net/http"

// callResult is a replica's complete response.
type callResult struct {
	status int
	header http.Header
	body   *bodyBuffer
}

// release gives the memory of the body back. The result may be nil.
func (r *callResult) release() {
	if r != nil {
		r.body.release()
	}
}

// releaseResult gives the memory of a response back. Calls may wait for that of a large one.
func (h *Handler) releaseResult(r *callResult) {
	large := answerKind(int64(cap(r.body.data))) == largeAnswer
	r.release()
	if large {
		h.Admission.WakeAll()
	}
}
