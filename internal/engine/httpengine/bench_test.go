package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

func BenchmarkDecode(b *testing.B) {
	line, _ := json.Marshal(tokenEvent())
	b.Run("codec=encoding-json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var event engine.Event
			if err := json.Unmarshal(line, &event); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("codec=jlexer", func(b *testing.B) {
		b.ReportAllocs()
		var d decoder
		for b.Loop() {
			if _, err := d.decode(line); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// tcpEngine answers every request with a ready stream and sends its connections to conns.
// It has no goroutine per connection, so that the benchmarks measure the client.
type tcpEngine struct {
	listener net.Listener
	conns    chan net.Conn
}

func newTCPEngine(b *testing.B) *tcpEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := &tcpEngine{listener: listener, conns: make(chan net.Conn, 1<<16)}
	b.Cleanup(func() { _ = listener.Close() })
	go e.serve()
	return e
}

func (e *tcpEngine) serve() {
	buf := make([]byte, 64<<10)
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		if _, err := conn.Read(buf); err != nil {
			continue
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = conn.Write(chunk([]byte(readyLine)))
		e.conns <- conn
	}
}

// chunk returns data as one chunk of a chunked body.
func chunk(data []byte) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data)
}

// BenchmarkTokens receives tokens on 64 streams over loopback. An operation is one token
// and includes the sender's time, so the client alone is faster. With perWrite=1 each token
// is a separate write, packet and read, as with 66 ms between the tokens of a stream. Run
// with -cpu 1 for the rate per core.
func BenchmarkTokens(b *testing.B) {
	for _, perWrite := range []int{1, 16} {
		b.Run(fmt.Sprintf("perWrite=%d", perWrite), func(b *testing.B) { benchmarkTokens(b, perWrite) })
	}
}

func benchmarkTokens(b *testing.B, perWrite int) {
	const streams = 64
	server := newTCPEngine(b)
	pool := transport.NewPool(transport.Settings{}, nil)
	defer pool.Close()
	client := New(pool, Settings{SilenceTimeout: time.Minute})
	line, _ := json.Marshal(tokenEvent())
	line = append(line, '\n')
	payload := bytes.Repeat(chunk(line), perWrite)
	rounds := b.N/streams/perWrite + 1
	var conns []net.Conn
	var readers sync.WaitGroup
	for range streams {
		stream, err := client.Open(context.Background(), server.listener.Addr().String(), testOpen)
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, <-server.conns)
		readers.Go(func() {
			defer stream.Close()
			for range rounds*perWrite + 1 {
				if _, err := stream.Recv(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range rounds {
		for _, conn := range conns {
			_, _ = conn.Write(payload)
		}
	}
	readers.Wait()
	b.StopTimer()
	b.ReportMetric(float64(rounds*perWrite*streams)/b.Elapsed().Seconds(), "tokens/s")
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// BenchmarkOpen measures sequential requests: opening and closing a stream on a new
// connection, and a control call on a kept-alive connection.
func BenchmarkOpen(b *testing.B) {
	b.Run("connection=new", func(b *testing.B) {
		server := newTCPEngine(b)
		pool := transport.NewPool(transport.Settings{}, nil)
		client := New(pool, Settings{})
		for b.Loop() {
			stream, err := client.Open(context.Background(), server.listener.Addr().String(), testOpen)
			if err != nil {
				b.Fatal(err)
			}
			stream.Close()
			_ = (<-server.conns).Close()
		}
	})
	b.Run("connection=kept", func(b *testing.B) {
		server := newKeepAliveEngine(b)
		pool := transport.NewPool(transport.Settings{}, nil)
		client := New(pool, Settings{})
		for b.Loop() {
			if _, err := client.State(context.Background(), server.Addr().String()); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// newKeepAliveEngine returns the listener of an engine that answers requests on one
// connection.
func newKeepAliveEngine(b *testing.B) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 64<<10)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}()
	return listener
}

// BenchmarkOpenStreams reports the memory that an open stream needs in this process: heap
// and goroutine stacks, including the server's end of the connection but not the kernel's
// socket buffers.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	server := newTCPEngine(b)
	pool := transport.NewPool(transport.Settings{}, nil)
	defer pool.Close()
	client := New(pool, Settings{SilenceTimeout: time.Minute})
	for b.Loop() {
		before := memory()
		var open []engine.Stream
		var conns []net.Conn
		var reading sync.WaitGroup
		for range streams {
			stream, err := client.Open(context.Background(), server.listener.Addr().String(), testOpen)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = stream.Recv()
			reading.Go(func() { _, _ = stream.Recv() })
			open = append(open, stream)
			conns = append(conns, <-server.conns)
		}
		b.ReportMetric(float64(memory()-before)/streams, "B/stream")
		for i := range open {
			open[i].Close()
			_ = conns[i].Close()
		}
		reading.Wait()
	}
}

// memory returns the bytes of heap and stacks in use after garbage collection.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
