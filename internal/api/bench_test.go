package api

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"geraniumcroft/internal/router"
)

// BenchmarkStreamToken sends tokens over loopback connections to callers that read
// them. It reports tokens per second of the process's CPU time, which includes the
// callers.
func BenchmarkStreamToken(b *testing.B) {
	for _, streams := range []int{1, 64} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) { benchmarkStreams(b, streams) })
	}
}

func benchmarkStreams(b *testing.B, streams int) {
	tokensPerStream := b.N/streams + 1
	f := &fakeRouter{generate: func(_ context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		for i := range tokensPerStream {
			if err := sink.Token(i, "transformer "); err != nil {
				return router.GenerateResult{}, err
			}
		}
		return router.GenerateResult{Tokens: tokensPerStream, Finish: "stop"}, nil
	}}
	server := httptest.NewServer(NewHandler(f, Options{}))
	defer server.Close()
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuSeconds()
	done := make(chan error, streams)
	for range streams {
		go func() { done <- readStream(server.URL + pathChat) }()
	}
	for range streams {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(streams*tokensPerStream)/(cpuSeconds()-before), "tokens/core-s")
}

// readStream opens a stream and reads it to its end.
func readStream(url string) error {
	body := strings.NewReader(`{"model":"d","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	response, err := http.Post(url, "application/json", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// cpuSeconds returns the user and system CPU time of the process.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// discardWriter is a ResponseWriter without a connection, so that a benchmark
// measures only this program's work per token.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Flush()                      {}

// BenchmarkTokenWithoutNetwork measures a token from the sink to the ResponseWriter.
func BenchmarkTokenWithoutNetwork(b *testing.B) {
	for name, text := range map[string]string{"plain": "transformer ", "escaped": "a \"b\"\n"} {
		b.Run(name, func(b *testing.B) {
			f := &fakeRouter{generate: func(_ context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
				for i := range b.N {
					_ = sink.Token(i, text)
				}
				return router.GenerateResult{Finish: "stop"}, nil
			}}
			handler := NewHandler(f, Options{})
			r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"d","stream":true,"messages":[{"role":"user","content":"x"}]}`))
			b.ReportAllocs()
			b.ResetTimer()
			handler.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		})
	}
}

// BenchmarkOpenStreamMemory holds streams open after their first token and reports
// the memory of each, which includes the caller's end of the connection.
func BenchmarkOpenStreamMemory(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		b.ReportMetric(openStreamBytes(b, streams), "B/stream")
	}
}

func openStreamBytes(b *testing.B, streams int) float64 {
	release := make(chan struct{})
	f := &fakeRouter{generate: func(_ context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		err := sink.Token(0, "transformer ")
		<-release
		return router.GenerateResult{Tokens: 1, Finish: "stop"}, err
	}}
	server := NewServer("127.0.0.1:0", f, Options{})
	address, err := server.Start()
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	defer close(release)
	before := memoryInUse()
	conns := make([]net.Conn, streams)
	for i := range conns {
		conns[i] = openStream(b, address.String())
		defer conns[i].Close()
	}
	return float64(memoryInUse()-before) / float64(streams)
}

// openStream sends a request for a stream and waits for the start of the response.
func openStream(b *testing.B, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(streamBody), streamBody)
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		b.Fatal(err)
	}
	return conn
}

// memoryInUse returns the bytes in heap and stack spans after a collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
