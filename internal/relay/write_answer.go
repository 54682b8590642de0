package relay

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// answerChunk is the part of an answer that its caller has to read within answerChunkTimeout: one that does not
	// read holds the memory of the answer.
	answerChunk        = 64 << 10
	answerChunkTimeout = 30 * time.Second
)

// writeAnswer sends a complete answer. A caller that has disconnected does not read it.
func writeAnswer(w http.ResponseWriter, status int, body []byte) {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	for chunk := range slices.Chunk(body, answerChunk) {
		_ = control.SetWriteDeadline(time.Now().Add(answerChunkTimeout)) // without support for deadlines, the kernel bounds it
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
