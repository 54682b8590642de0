package allocator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// sendQueue bounds the messages that wait to be sent to an allocator. A VM has some ten requests a second,
// and tells a new allocator of some ten paths.
const sendQueue = 1024

// helloTimeout is how long an allocator may take to answer a new stream.
const helloTimeout = 500 * time.Millisecond

// maxMissed is how many answers in a row may be missing before an allocator is passed over.
const maxMissed = 2

var errNoHello = errors.New("it does not answer the stream")

// receiptTimeout is how long an allocator may take to confirm a request. It usually takes a millisecond, and
// callers expect a first event within some hundred milliseconds.
const receiptTimeout = 80 * time.Millisecond

// answerMargin is how much longer than the request's MaxWait its answer may take.
const answerMargin = 100 * time.Millisecond

// answerQueue is the number of answers to one request: its receipt and its result.
const answerQueue = 2

// link is a VM's stream to an allocator.
type link struct {
	name    string
	address string
	// self is set if this VM is the allocator itself. The other fields are then not used.
	self bool

	ctx    context.Context
	cancel context.CancelFunc
	out    chan clientMessage

	mu      sync.Mutex // guards the fields below
	answers map[uint64]chan serverMessage
	// misses counts the answers in a row that did not come in time.
	misses int
}

func newLink(vm VM) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{name: vm.Name, address: vm.Address, ctx: ctx, cancel: cancel, out: make(chan clientMessage, sendQueue), answers: map[uint64]chan serverMessage{}}
}

// run connects in the name of a VM, and sends and receives messages until the stream ends. Ready is called
// when the allocator has answered, failed unless the link was closed before the stream ended.
func (l *link) run(d dialer, from string, ready func(), failed func(error)) {
	defer l.close()
	stream, err := d.open(l.ctx, l.address)
	if err == nil {
		err = sendJSON(stream, clientMessage{From: from})
	}
	if err == nil {
		late := time.AfterFunc(helloTimeout, func() { failed(errNoHello) })
		go l.sendAll(stream)
		err = l.receiveAll(stream, func() {
			if late.Stop() {
				ready()
			}
		})
		late.Stop()
	}
	if err != nil && l.ctx.Err() == nil {
		failed(err)
	}
}

// sendAll sends messages until the link is closed or one cannot be sent, which ends the stream.
func (l *link) sendAll(stream messageStream) {
	for {
		select {
		case m := <-l.out:
			if sendJSON(stream, m) != nil {
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// receiveAll passes answers on until the stream ends.
func (l *link) receiveAll(stream messageStream, hello func()) error {
	for {
		var m serverMessage
		if err := receiveJSON(stream, &m); err != nil {
			return err
		}
		if m.Hello {
			hello()
			continue
		}
		l.mu.Lock()
		l.misses = 0
		answers := l.answers[m.ID]
		l.mu.Unlock()
		switch {
		case answers != nil:
			select {
			case answers <- m:
			default: // more answers than there can be
			}
		case m.Path != nil:
			l.send(clientMessage{ID: m.ID, Release: true}) // nobody waits for the path any more
		}
	}
}

// send sends a message and reports whether it was queued.
func (l *link) send(m clientMessage) bool {
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.out <- m:
		return true
	default:
		return false
	}
}

// expect returns a channel of the answers to a request.
func (l *link) expect(id uint64) <-chan serverMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers := make(chan serverMessage, answerQueue)
	l.answers[id] = answers
	return answers
}

// missed records that an answer did not come in time, and reports whether the allocator is to be passed
// over.
func (l *link) missed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misses++
	return l.misses >= maxMissed
}

// await waits for the path of a request.
func (l *link) await(ctx context.Context, answers <-chan serverMessage, maxWait time.Duration) ([]Stage, error) {
	timer := time.NewTimer(receiptTimeout)
	defer timer.Stop()
	for {
		select {
		case m := <-answers:
			switch {
			case m.Received:
				timer.Reset(maxWait + answerMargin)
			case m.Refusal != nil:
				return nil, &RefusedError{Reason: m.Refusal.Reason, Detail: m.Refusal.Detail}
			default:
				return m.Path, nil
			}
		case <-timer.C:
			return nil, ErrUnavailable
		case <-l.ctx.Done():
			return nil, ErrUnavailable
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// forget ends the wait for answers to a request.
func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.answers, id)
}

// close ends the stream and all waits.
func (l *link) close() {
	if !l.self {
		l.cancel()
	}
}
