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

// The operator sees no order of a holder that lost its lease while it waited for a
// connection. The lease is checked again once the connection stands, and the order's
// bytes are held back: the engine reads no whole order.
func TestOrderIsHeldBackOnceTheConnectionStands(t *testing.T) {
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
	order := func(id string, gate func() error) error {
		return client.Order(engine.WithOrderCheck(context.Background(), gate), address, engine.Order{ID: id})
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
			t.Errorf("the engine read the whole order %s", body)
		}
	}
}
