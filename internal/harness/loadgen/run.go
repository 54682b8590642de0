package loadgen

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/sleep"
)

// Run sends the load, waits for all responses and returns the report. When ctx ends, no
// more requests are sent and the requests in flight are cancelled.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	return run(ctx, &o, newRecorder(&o)), nil
}

func run(ctx context.Context, o *Options, recorder *recorder) *Report {
	s := newSender(o)
	defer s.close()
	slots := make(chan struct{}, o.MaxInFlight)
	var requests sync.WaitGroup
	start := time.Now()
	schedule := NewSchedule(o)
	for a, ok := schedule.Next(); ok && sleep.For(ctx, time.Until(start.Add(a.At))); a, ok = schedule.Next() {
		select {
		case slots <- struct{}{}:
		default:
			recorder.notSent()
			continue
		}
		requests.Go(func() {
			defer func() { <-slots }()
			recorder.add(s.send(ctx, a, start.Add(a.At)))
		})
	}
	sending := time.Since(start)
	requests.Wait()
	return recorder.report(start, sending, time.Since(start))
}
