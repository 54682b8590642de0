package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"
)

const (
	// benchEvents events of benchEventBytes each are a stream of a draft.
	benchEvents     = 88
	benchEventBytes = 40
)

// stream sends the events of a draft once it has read a line.
func stream(conn *net.TCPConn) {
	event := bytes.Repeat([]byte("x"), benchEventBytes)
	lines := bufio.NewReader(conn)
	for {
		if _, err := lines.ReadString('\n'); err != nil {
			return
		}
		for range benchEvents {
			if _, err := conn.Write(event); err != nil {
				return
			}
			time.Sleep(time.Millisecond) // so that the events are not sent together
		}
	}
}

// startConnectPeer starts the other transport: a peer that serves the HTTP method CONNECT, with a TCP
// connection of its own for each one to a replica.
func startConnectPeer(b *testing.B) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: maxWait, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		replica, err := direct()(r.Context(), "tcp", r.Host)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.WriteHeader(http.StatusOK)
		caller, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.CopyBuffer(struct{ io.Writer }{replica}, struct{ io.Reader }{caller}, make([]byte, chunkBytes))
			_ = replica.Close()
		}()
		_, _ = io.CopyBuffer(struct{ io.Writer }{caller}, struct{ io.Reader }{replica}, make([]byte, chunkBytes))
		_ = caller.Close()
	})}
	go func() { _ = server.Serve(lis) }()
	b.Cleanup(func() { _ = server.Close() })
	return lis.Addr().String()
}

// dialConnect opens a connection through a peer of startConnectPeer.
func dialConnect(b *testing.B, peer, replica string) net.Conn {
	conn, err := direct()(context.Background(), "tcp", peer)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.WriteString(conn, "CONNECT "+replica+" HTTP/1.1\r\nHost: "+replica+"\r\n\r\n"); err != nil {
		b.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect}); err != nil {
		b.Fatal(err)
	}
	return conn
}

// BenchmarkTransports measures, for each event that goes through a peer, the processor time of both
// VMs together, without and with each transport, and the memory of an open connection.
func BenchmarkTransports(b *testing.B) {
	for name, dial := range map[string]func(b *testing.B) func(replica string) net.Conn{
		"direct": func(b *testing.B) func(string) net.Conn {
			return func(replica string) net.Conn {
				conn, err := direct()(b.Context(), "tcp", replica)
				if err != nil {
					b.Fatal(err)
				}
				return conn
			}
		},
		"gRPC": func(b *testing.B) func(string) net.Conn {
			client := startClient(b, startPeer(b, direct()))
			return func(replica string) net.Conn { return dialThrough(b, client, replica) }
		},
		"CONNECT": func(b *testing.B) func(string) net.Conn {
			peer := startConnectPeer(b)
			return func(replica string) net.Conn { return dialConnect(b, peer, replica) }
		},
	} {
		b.Run(name, func(b *testing.B) { benchTransport(b, dial(b)) })
	}
}

func benchTransport(b *testing.B, dial func(replica string) net.Conn) {
	const streams = 64
	replica := startReplica(b, stream)
	before := heap()
	var conns []net.Conn
	for range streams {
		conns = append(conns, dial(replica))
	}
	memory := heap() - before
	b.ResetTimer()
	started := processorTime()
	for range b.N {
		done := make(chan struct{}, streams)
		for _, conn := range conns {
			go func() {
				_, _ = io.WriteString(conn, "go\n")
				_, _ = io.ReadFull(conn, make([]byte, benchEvents*benchEventBytes))
				done <- struct{}{}
			}()
		}
		for range conns {
			<-done
		}
	}
	used := processorTime() - started
	b.ReportMetric(float64(memory)/streams, "B/connection")
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*streams*benchEvents), "cpu-ns/event")
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// heap returns the memory in use, stacks included.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // never fails for the process itself
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
