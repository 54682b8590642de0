package httpservice

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/harness/standin/servicesim"
	"geraniumcroft/internal/transport"
)

// BenchmarkCall makes sequential calls over loopback, each on a new connection or all on
// an idle one. It includes the time of the service.
func BenchmarkCall(b *testing.B) {
	for _, fresh := range []bool{true, false} {
		b.Run(fmt.Sprintf("fresh=%t", fresh), func(b *testing.B) {
			s := servicesim.New(servicesim.Options{})
			if err := s.Start("127.0.0.1:0"); err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			pool := transport.NewPool(transport.Settings{}, nil)
			defer pool.Close()
			client := New(pool, Settings{MaxIdleTime: time.Minute})
			defer client.Close()
			b.ReportAllocs()
			for b.Loop() {
				conn, err := client.Connect(context.Background(), s.Addr(), fresh)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Do(context.Background(), testCall); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
