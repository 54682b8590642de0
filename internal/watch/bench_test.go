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

// countedConn counts the bytes that a connection carries both ways, without the
// headers of TCP and IP.
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

// discard is a Sink that keeps nothing.
type discard struct{}

func (discard) Report(string, engine.LoadReport)       {}
func (discard) CacheCursor(string) (uint64, bool)      { return 0, false }
func (discard) CacheEvents(string, engine.CacheEvents) {}
func (discard) CacheView(string, engine.CacheEvents)   {}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newEngines returns a snapshot of engines, each with a listener of its own.
func newEngines(b *testing.B, count int) *config.Snapshot {
	b.Helper()
	model := &config.Model{Name: "grid", Layers: 24, Versions: []string{"1"}}
	s := config.NewSnapshot()
	for i := range count {
		name := fmt.Sprintf("engine-%03d", i)
		stand := enginesim.New(enginesim.Options{Name: name, Model: model, Version: "1", Layers: config.LayerRange{To: 24}})
		server := httptest.NewServer(stand)
		b.Cleanup(server.Close)
		s.Targets[name] = &config.Target{Name: name, Kind: config.KindEngine, Address: server.Listener.Addr().String()}
	}
	return s
}

// BenchmarkReading gives what one reading of an engine, its load and its cache
// events, costs in bytes both ways and in processor time with the engine's end in
// it. A round of this VM costs as many of them as it watches targets.
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
		ConfigSource: source, Engines: httpengine.New(pool, httpengine.Settings{}), Sink: discard{}, Interval: 100 * time.Millisecond,
	})
	w.round(context.Background()) // connects
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
