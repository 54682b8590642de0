package relay

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// Guards against a VM that reads all bodies at once after the loss of the others, exceeds its memory and loses
// the streams that it has in hand.
func TestBodiesBeyondTheMemoryAreRefusedAtOnce(t *testing.T) {
	const callers, size, limit = 93, 4 << 20, 42 << 20
	for name, declared := range map[string]int64{"declared length": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := New(Options{Admission: admission.New(admission.Settings{}, invariant.Strict()), Balancer: balance.New(balance.Settings{}, invariant.Strict()), BodyMemory: limit, Logger: zap.NewNop()})
				var mu sync.Mutex
				var refused, held int
				var reading sync.WaitGroup
				var writers []*io.PipeWriter
				for range callers {
					body, writer := io.Pipe()
					writers = append(writers, writer)
					r := httptest.NewRequest(http.MethodPost, "/", body)
					r.ContentLength = declared
					reading.Go(func() {
						q := &request{config: &Config{}, deadline: time.Now().Add(callerTimeout)}
						failure := h.readBody(q, httptest.NewRecorder(), r)
						_ = body.CloseWithError(errors.New("not read any more"))
						mu.Lock()
						defer mu.Unlock()
						if failure != nil {
							refused++
							if failure.Reason != outcome.ReasonOverloaded || failure.Outcome != outcome.NotRun || failure.RetryAfter <= 0 {
								t.Errorf("refused with %+v", failure)
							}
							q.releaseBody()
							return
						}
						held++
					})
				}
				synctest.Wait()
				if declared > 0 && refused != callers-limit/size {
					t.Errorf("%d requests refused before their bodies came, want %d", refused, callers-limit/size)
				}
				for range size / bodyChunk {
					for _, writer := range writers {
						_, _ = writer.Write(make([]byte, bodyChunk)) // that of a refused request is closed
					}
					synctest.Wait()
					if used := h.bodies.used.Load(); used > limit {
						t.Fatalf("%d bytes of bodies, %d allowed", used, limit)
					}
				}
				for _, writer := range writers {
					_ = writer.Close()
				}
				reading.Wait()
				if held == 0 || held > limit/size || held+refused != callers {
					t.Errorf("%d bodies held, %d refused", held, refused)
				}
				t.Logf("%d bodies held, %d refused", held, refused)
			})
		})
	}
}

// Guards against bodies that are cut off or changed by the buffer, and against memory that is not given back.
func TestBodyBufferHoldsTheBody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 3*bodyChunk).Draw(rt, "body")
		declared := int64(len(body))
		if rapid.Bool().Draw(rt, "chunked") {
			declared = -1
		}
		memory := newBodyMemory(1 << 20)
		b, err := newBodyBuffer(memory, declared)
		if err == nil {
			err = b.readFrom(io.MultiReader(bytes.NewReader(body), strings.NewReader("")))
		}
		if err != nil || !bytes.Equal(b.data, body) || memory.used.Load() != int64(cap(b.data)) {
			rt.Fatalf("%d bytes of %d, %d reserved, %v", len(b.data), len(body), memory.used.Load(), err)
		}
		b.release()
		if used := memory.used.Load(); used != 0 {
			rt.Fatalf("%d bytes are still reserved", used)
		}
	})
}
