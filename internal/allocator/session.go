package allocator

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"geraniumcroft/internal/layers"
)

// maxPaths bounds the paths and waiting requests of one VM.
const maxPaths = 4096

// session is the stream of one VM.
type session struct {
	server *Server
	stream grpc.ServerStream
	from   string
	work   sync.WaitGroup

	sending sync.Mutex // held while a message is sent

	mu    sync.Mutex // guards the fields below
	paths map[uint64]*allocation
	ended bool
}

// allocation is a path of a VM, or its request for one.
type allocation struct {
	// cancel ends the wait.
	cancel context.CancelFunc
	// reservation is nil while the request waits.
	reservation *layers.Reservation
}

func newSession(server *Server, stream grpc.ServerStream) *session {
	return &session{server: server, stream: stream, paths: map[uint64]*allocation{}}
}

// run handles the VM's messages until the stream ends.
func (s *session) run() error {
	s.send(serverMessage{Hello: true})
	for {
		var m clientMessage
		if err := receiveJSON(s.stream, &m); err != nil {
			return err
		}
		if m.From != "" {
			s.from = m.From
		}
		switch {
		case m.Release:
			s.release(m.ID, m.Served)
		case m.Rejection != nil:
			s.server.reserver.RecordRejection(*m.Rejection)
		case m.Hold != nil:
			s.hold(m.ID, *m.Hold)
		case m.Request != nil:
			s.request(m.ID, *m.Request)
		}
	}
}

// request answers that the request was received, and waits for a path in the background.
func (s *session) request(id uint64, r Request) {
	ctx, cancel := context.WithCancel(s.stream.Context())
	if !s.add(id, &allocation{cancel: cancel}) {
		cancel()
		s.send(serverMessage{ID: id, Refusal: &refusal{Detail: "the VM has too many paths"}})
		return
	}
	s.send(serverMessage{ID: id, Received: true})
	s.work.Go(func() {
		defer cancel()
		reservation, err := s.reserve(ctx, r)
		s.answer(id, reservation, err)
	})
}

// reserve reserves a path. A panic fails this request alone.
func (s *session) reserve(ctx context.Context, r Request) (reservation *layers.Reservation, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			s.server.logger.Error("reservation of a path panicked", zap.String("requestId", r.RequestID), zap.Any("panic", panicked), zap.ByteString("stack", debug.Stack()))
			reservation, err = nil, errors.New("the reservation panicked")
		}
	}()
	return s.server.reserver.Reserve(ctx, r)
}

// answer sends the result of a request, unless that was withdrawn.
func (s *session) answer(id uint64, reservation *layers.Reservation, err error) {
	var refused *RefusedError
	switch {
	case err == nil && !s.set(id, reservation):
		reservation.Release(false)
	case err == nil:
		s.send(serverMessage{ID: id, Path: StagesOf(reservation.Path())})
	case errors.As(err, &refused):
		s.remove(id)
		s.send(serverMessage{ID: id, Refusal: &refusal{Reason: refused.Reason, Detail: refused.Detail}})
	default:
		s.remove(id)
		s.send(serverMessage{ID: id, Refusal: &refusal{Detail: err.Error()}})
	}
}

// hold accounts for a path that the VM has in use.
func (s *session) hold(id uint64, h Hold) {
	reservation, err := s.server.reserver.Adopt(h)
	if err != nil {
		s.server.logger.Debug("path of a VM not accounted for", zap.String("from", s.from), zap.Error(err))
		return
	}
	if !s.add(id, &allocation{cancel: func() {}, reservation: reservation}) {
		reservation.Release(false)
	}
}

// release ends the use of a path or the wait for one.
func (s *session) release(id uint64, ok bool) {
	a := s.remove(id)
	if a == nil {
		return
	}
	a.cancel()
	if a.reservation != nil {
		a.reservation.Release(ok)
	}
}

// forget ends the accounting for a path that may still be in use.
func (s *session) forget(id uint64) {
	a := s.remove(id)
	if a == nil {
		return
	}
	a.cancel()
	if a.reservation != nil {
		a.reservation.Forget()
	}
}

// add adds an allocation and reports whether the VM may have one more.
func (s *session) add(id uint64, a *allocation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.paths[id] != nil || len(s.paths) >= maxPaths {
		return false
	}
	s.paths[id] = a
	s.server.held.Add(1)
	return true
}

// set sets the reservation of a request, and reports whether that still waits for it.
func (s *session) set(id uint64, reservation *layers.Reservation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.paths[id]
	if a == nil || s.ended {
		return false
	}
	a.reservation = reservation
	return true
}

// remove removes and returns an allocation, nil if there is none.
func (s *session) remove(id uint64) *allocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.paths[id]
	if a != nil {
		delete(s.paths, id)
		s.server.held.Add(-1)
	}
	return a
}

// send sends a message. The stream's end shows an error.
func (s *session) send(m serverMessage) {
	s.sending.Lock()
	defer s.sending.Unlock()
	if err := sendJSON(s.stream, m); err != nil {
		s.server.logger.Debug("answer to a VM not sent", zap.String("from", s.from), zap.Error(err))
	}
}

// end ends the accounting for all paths of the VM. Its requests may have ended with it, or go on with
// another allocator; the reports of the replicas show them.
func (s *session) end() {
	s.mu.Lock()
	s.ended = true
	var ids []uint64
	for id := range s.paths {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.forget(id)
	}
	s.work.Wait()
	if len(ids) > 0 {
		s.server.logger.Info("session of a VM ended", zap.String("from", s.from), zap.Int("paths", len(ids)))
	}
}
