package httpengine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

// A holder may lose its lease while its order waits for a connection. The order's check runs
// once there is a connection. If it fails, the body is not sent, and the engine reads no
// complete order.
func TestOrderIsNotSentWhenItsCheckFails(t *testing.T) {
	errLost := errors.New("lease lost")
	whole := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil {
			whole <- string(body)
		}
	}))
	pool := transport.NewPool(transport.Settings{}, nil)
	client := New(pool, Settings{})
	address := strings.TrimPrefix(server.URL, "http://")
	order := func(id string, check func() error) error {
		return client.Order(engine.WithOrderCheck(context.Background(), check), address, engine.Order{ID: id})
	}
	if err := order("first", func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if err := order("second", func() error { return errLost }); !errors.Is(err, errLost) {
		t.Errorf("order ended with %v", err)
	}
	pool.Close()
	server.Close() // waits for the handlers
	close(whole)
	for body := range whole {
		if !strings.Contains(body, `"first"`) {
			t.Errorf("the engine read the complete order %s", body)
		}
	}
}
