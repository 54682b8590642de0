package watch

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/transport"
)

// countedConn counts the bytes that a connection transfers in both directions, without TCP
// and IP headers.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// discardSink is a Sink that keeps nothing.
type discardSink struct{}

func (discardSink) Report(string, engine.LoadReport)       {}
func (discardSink) CacheCursor(string) (uint64, bool)      { return 0, false }
func (discardSink) CacheEvents(string, engine.CacheEvents) {}
func (discardSink) CacheView(string, engine.CacheEvents)   {}

// processorTime returns the user and system CPU time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newEngines starts simulated engines, each with its own listener, and returns a
// configuration with them as targets.
func newEngines(b *testing.B, count int) *config.Snapshot {
	b.Helper()
	model := &config.Model{Name: "grid", Layers: 24, Versions: []string{"1"}}
	s := config.NewSnapshot()
	for i := range count {
		name := fmt.Sprintf("engine-%03d", i)
		sim := enginesim.New(enginesim.Options{Name: name, Model: model, Version: "1", Layers: config.LayerRange{To: 24}})
		server := httptest.NewServer(sim)
		b.Cleanup(server.Close)
		s.Targets[name] = &config.Target{Name: name, Kind: config.KindEngine, Address: server.Listener.Addr().String()}
	}
	return s
}

// BenchmarkReading measures the cost of reading an engine's load and cache events once: bytes
// in both directions, and processor time including that of the simulated engine. A round
// costs this for each watched target.
func BenchmarkReading(b *testing.B) {
	const engines = 60
	source := config.NewStaticSource(newEngines(b, engines))
	var bytes atomic.Uint64
	settings := transport.Settings{}.WithDefaults()
	dial := transport.NewDialer(settings)
	pool := transport.NewPool(settings, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, &bytes}, nil
	})
	b.Cleanup(pool.Close)
	w := New(Options{
		ConfigSource: source, Engines: httpengine.New(pool, httpengine.Settings{}), Sink: discardSink{}, Interval: 100 * time.Millisecond,
	})
	w.round(context.Background()) // opens the connections
	w.readings.Wait()
	bytes.Store(0)
	before := processorTime()
	b.ReportAllocs()
	for b.Loop() {
		w.round(context.Background())
		w.readings.Wait()
	}
	readings := float64(b.N * engines)
	b.ReportMetric(float64(bytes.Load())/readings, "bytes/reading")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/readings, "processor-us/reading")
}
