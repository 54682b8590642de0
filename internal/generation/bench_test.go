package generation

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/plan"
)

// instantClient is an engine.Client whose last stages send tokens as fast as they are
// read. Its other stages are idle until they are closed.
type instantClient struct {
	engine.Client
	// breakAt, if not 0, is the number of tokens after which the first epoch's last stage
	// breaks.
	breakAt int
	// hold, if not nil, blocks each stream before its first token until it is closed.
	hold chan struct{}
}

type instantStream struct {
	client *instantClient
	open   engine.StageOpen
	next   int
	trace  []engine.Execution
	closed chan struct{}
	once   sync.Once
}

func (c *instantClient) Open(_ context.Context, _ string, open engine.StageOpen) (engine.Stream, error) {
	s := &instantStream{client: c, open: open, next: len(open.Committed), closed: make(chan struct{})}
	for _, hop := range open.Hops {
		s.trace = append(s.trace, engine.Execution{Target: hop.Target, Epoch: open.Epoch, Layers: hop.Layers})
	}
	return s, nil
}

func (c *instantClient) Cancel(context.Context, string, string, uint32) error { return nil }

func (s *instantStream) Recv() (engine.Event, error) {
	event := engine.Event{Kind: engine.EventToken, RequestID: s.open.RequestID, Epoch: s.open.Epoch}
	switch {
	case s.open.Index < len(s.open.Hops)-1:
		<-s.closed
		return event, &engine.StreamError{Cause: errFakeClosed}
	case s.client.hold != nil:
		<-s.client.hold
	}
	switch {
	case s.open.Epoch == 1 && s.client.breakAt > 0 && s.next == s.client.breakAt:
		return event, &engine.StreamError{Cause: errFakeReset}
	case s.next == s.open.MaxTokens:
		event.Kind, event.Finish = engine.EventDone, finishLength
		return event, nil
	}
	event.Position, event.Text, event.Trace = s.next, "token ", s.trace
	s.next++
	return event, nil
}

func (s *instantStream) Close() { s.once.Do(func() { close(s.closed) }) }

type fixedPlacement []plan.Stage

func (p fixedPlacement) Stages() []plan.Stage              { return p }
func (p fixedPlacement) Release(map[string]balance.Result) {}

func fixedStages(count int) fixedPlacement {
	var stages fixedPlacement
	for i := range count {
		layers := config.LayerRange{From: i * 4, To: i*4 + 4}
		name := fmt.Sprintf("e%d", i)
		stages = append(stages, plan.Stage{Target: &config.Target{Name: name, Address: name, Layers: layers}, Layers: layers})
	}
	return stages
}

type countingSink int

func (s *countingSink) Token(int, string) error {
	*s++
	return nil
}

func benchJob(stages fixedPlacement, tokens int) Job {
	return Job{RequestID: "q", MaxTokens: tokens, FirstPlacement: stages, Prompt: []string{"p"}, NextPlacement: func(context.Context, []string) (Placement, error) { return stages, nil }}
}

// BenchmarkTokens measures the cost of one token over 3 stages, without the client's.
func BenchmarkTokens(b *testing.B) {
	runner := New(&instantClient{}, Settings{}, nil)
	var sink countingSink
	b.ReportAllocs()
	_, err := runner.Run(context.Background(), benchJob(fixedStages(3), b.N), &sink)
	if err != nil || int(sink) != b.N {
		b.Fatalf("%d tokens, %v", sink, err)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkRun measures the cost of a whole run of 355 tokens over 3 stages. In the case
// with a failure, the last stage breaks in the middle and is replaced.
func BenchmarkRun(b *testing.B) {
	for name, breakAt := range map[string]int{"steady": 0, "failure": 170} {
		b.Run(name, func(b *testing.B) {
			var recovered time.Duration
			runner := New(&instantClient{breakAt: breakAt}, Settings{OnRecovered: func(took time.Duration) { recovered += took }}, nil)
			stages := fixedStages(3)
			b.ReportAllocs()
			for b.Loop() {
				var sink countingSink
				if _, err := runner.Run(context.Background(), benchJob(stages, 355), &sink); err != nil {
					b.Fatal(err)
				}
			}
			runner.Wait()
			if breakAt > 0 {
				b.ReportMetric(float64(recovered.Nanoseconds())/float64(b.N), "ns/recovery")
			}
		})
	}
}

// BenchmarkStreamMemory measures the memory of an open stream over 3 stages, without the
// client's buffers: heap and stacks of 2,000 runs that wait for a token.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 2000
	for b.Loop() {
		client := &instantClient{hold: make(chan struct{})}
		runner := New(client, Settings{}, nil)
		before := memoryInUse()
		var runs sync.WaitGroup
		for range streams {
			job := benchJob(fixedStages(3), 1)
			job.Preempt = make(chan struct{})
			runs.Go(func() { _, _ = runner.Run(context.Background(), job, new(countingSink)) })
		}
		for runner.Stats().Running < streams {
			runtime.Gosched()
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		close(client.hold)
		runs.Wait()
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
