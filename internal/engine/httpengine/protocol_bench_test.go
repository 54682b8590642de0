package httpengine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

// tokenServer serves streams with net/http over HTTP/1.1 or HTTP/2. It sends each item of a
// stream's channel as one token.
type tokenServer struct {
	*httptest.Server
	streams chan chan []byte
}

func newTokenServer(b *testing.B, http2 bool) *tokenServer {
	s := &tokenServer{streams: make(chan chan []byte, 1<<12)}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.Config.Protocols = protocols(http2)
	s.Start()
	b.Cleanup(s.Close)
	return s
}

func protocols(http2 bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(!http2)
	p.SetUnencryptedHTTP2(http2)
	return p
}

func (s *tokenServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	flush := http.NewResponseController(w)
	_, _ = io.WriteString(w, readyLine)
	_ = flush.Flush()
	lines := make(chan []byte, 64)
	s.streams <- lines
	for line := range lines {
		_, _ = w.Write(line)
		_ = flush.Flush()
	}
}

// opener opens a stream and returns a function that receives its next token.
type opener func(b *testing.B, address string) func() (engine.Event, error)

// openSeparate opens streams as the router does, each on a connection of its own.
func openSeparate(dial transport.DialFunc) opener {
	pool := transport.NewPool(transport.Settings{}, dial)
	client := New(pool, Settings{SilenceTimeout: time.Minute})
	return func(b *testing.B, address string) func() (engine.Event, error) {
		stream, err := client.Open(context.Background(), address, testOpen)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(stream.Close)
		_, _ = stream.Recv()
		return stream.Recv
	}
}

// openMultiplexed opens streams over HTTP/2, all on one connection.
func openMultiplexed(dial transport.DialFunc) opener {
	rt := &http.Transport{DialContext: dial, Protocols: protocols(true)}
	return func(b *testing.B, address string) func() (engine.Event, error) {
		resp, err := (&http.Client{Transport: rt}).Post("http://"+address+"/v1/stages", contentTypeJSON, strings.NewReader("{}"))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = resp.Body.Close() })
		in := bufio.NewReaderSize(resp.Body, 1024)
		var d decoder
		_, _ = in.ReadSlice('\n')
		return func() (engine.Event, error) {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return engine.Event{}, err
			}
			return d.decode(line)
		}
	}
}

func forEachProtocol(b *testing.B, dial transport.DialFunc, run func(b *testing.B, server *tokenServer, open opener)) {
	b.Run("protocol=http1", func(b *testing.B) { run(b, newTokenServer(b, false), openSeparate(dial)) })
	b.Run("protocol=http2", func(b *testing.B) { run(b, newTokenServer(b, true), openMultiplexed(dial)) })
}

// BenchmarkProtocolTokens compares one connection per stream with HTTP/2 streams on one
// connection. It reports tokens per second and memory, with both ends in this process.
func BenchmarkProtocolTokens(b *testing.B) {
	const streams = 200
	forEachProtocol(b, transport.NewDialer(transport.Settings{}), func(b *testing.B, server *tokenServer, open opener) {
		line, _ := json.Marshal(tokenEvent())
		line = append(line, '\n')
		rounds := b.N/streams + 1
		before := memory()
		var readers sync.WaitGroup
		var lines []chan []byte
		for range streams {
			receive := open(b, server.Listener.Addr().String())
			lines = append(lines, <-server.streams)
			readers.Go(func() {
				for range rounds {
					if _, err := receive(); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		held := memory() - before
		b.ResetTimer()
		for range rounds {
			for _, to := range lines {
				to <- line
			}
		}
		readers.Wait()
		b.StopTimer()
		b.ReportMetric(float64(rounds*streams)/b.Elapsed().Seconds(), "tokens/s")
		b.ReportMetric(float64(held)/streams, "B/stream")
		for _, to := range lines {
			close(to)
		}
	})
}

// lossyConn delays one in readsPerLoss reads, on average, as TCP does when a segment is
// lost: no later data on the same connection is delivered before its retransmission.
type lossyConn struct {
	net.Conn
	random *rand.Rand
	losses *atomic.Int64
}

const (
	readsPerLoss    = 100
	retransmitDelay = 200 * time.Millisecond
	lateThreshold   = 100 * time.Millisecond
	tokenPeriod     = 66 * time.Millisecond
)

func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.random.IntN(readsPerLoss) == 0 {
		c.losses.Add(1)
		time.Sleep(retransmitDelay)
	}
	return n, err
}

func lossyDialer(losses *atomic.Int64) transport.DialFunc {
	dial := transport.NewDialer(transport.Settings{})
	var mu sync.Mutex
	seed := uint64(0)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		seed++
		return &lossyConn{Conn: conn, random: rand.New(rand.NewPCG(seed, 1)), losses: losses}, err
	}
}

// BenchmarkHeadOfLine reports how many tokens arrive more than 100 ms late per lost
// segment, on 64 streams with a token every 66 ms.
func BenchmarkHeadOfLine(b *testing.B) {
	const streams, rounds = 64, 100
	var losses atomic.Int64
	forEachProtocol(b, lossyDialer(&losses), func(b *testing.B, server *tokenServer, open opener) {
		for range b.N {
			losses.Store(0)
			late := 0
			var mu sync.Mutex
			var readers sync.WaitGroup
			var lines []chan []byte
			start := time.Now()
			for range streams {
				receive := open(b, server.Listener.Addr().String())
				lines = append(lines, <-server.streams)
				readers.Go(func() {
					for range rounds {
						event, err := receive()
						if err != nil {
							b.Error(err)
							return
						}
						if time.Since(start)-time.Duration(event.Position) > lateThreshold {
							mu.Lock()
							late++
							mu.Unlock()
						}
					}
				})
			}
			for round := range rounds {
				for _, to := range lines {
					event := tokenEvent()
					event.Position = int(time.Since(start))
					line, _ := json.Marshal(event)
					to <- append(line, '\n')
				}
				time.Sleep(time.Until(start.Add(time.Duration(round) * tokenPeriod)))
			}
			readers.Wait()
			for _, to := range lines {
				close(to)
			}
			b.ReportMetric(float64(losses.Load()), "losses")
			b.ReportMetric(float64(late)/max(1, float64(losses.Load())), "late/loss")
		}
	})
}
