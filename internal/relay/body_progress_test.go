package relay

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a body that is refused although it is within all limits and its request has time left, and
// against memory that a caller who has stopped sending holds until its deadline.
func TestBodyMayTakeTheTimeOfItsRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		// A piece of this many bytes comes in each second, for this long.
		bytes   int
		sending time.Duration
		timeout time.Duration
		// took is how long the body is read, whole whether it is read whole.
		took  time.Duration
		whole bool
	}{
		{"slow and steady", 4096, 15 * time.Second, 20 * time.Second, 15 * time.Second, true},
		{"stops", 4096, 3 * time.Second, 20 * time.Second, 12 * time.Second, false},
		{"next to nothing", 16, 18 * time.Second, 20 * time.Second, 10 * time.Second, false},
		{"beyond its time", 4096, 30 * time.Second, 20 * time.Second, 20 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, conn := net.Pipe()
				defer time.Sleep(2 * time.Minute) // the caller below ends
				defer conn.Close()
				began, size := time.Now(), c.bytes*int(c.sending/time.Second)
				go func() {
					defer caller.Close()
					for range c.sending / time.Second {
						if _, err := caller.Write(make([]byte, c.bytes)); err != nil {
							return
						}
						time.Sleep(time.Second)
					}
					if !c.whole {
						time.Sleep(time.Minute)
					}
				}()
				b, err := newBodyBuffer(newBodyMemory(1<<20), -1)
				if err != nil {
					t.Fatal(err)
				}
				err = b.readFrom(newBodyProgress(conn, conn.SetReadDeadline, began.Add(c.timeout)))
				if took := time.Since(began); took != c.took {
					t.Errorf("read for %s, want %s", took, c.took)
				}
				if c.whole && (err != nil || len(b.data) != size) || !c.whole && !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%d of %d bytes, %v", len(b.data), size, err)
				}
			})
		})
	}
}
