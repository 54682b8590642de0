package census

import (
	"context"
	"time"

	"geraniumcroft/internal/platform"
)

const (
	// maxReaders is the number of VMs that the feed followers ask for the list: the largest ones of the
	// fleet, which read the table in turn.
	maxReaders = 3
	// readerInterval is the age of the list at which the first reader reads the table, and
	// readerDelay how much later the next ones do, in case it does not.
	readerInterval = 5 * time.Second
	readerDelay    = time.Second
	// askReaderTimeout bounds a request to a reader, and silentReaderTTL is how long one that did not
	// answer is skipped. In the first startupTime of a process it is startingReaderTTL: where a whole
	// fleet starts, the reader may have no list yet.
	askReaderTimeout  = 500 * time.Millisecond
	silentReaderTTL   = 10 * time.Second
	startingReaderTTL = 500 * time.Millisecond
)

// reader is a VM that reads the table for others.
type reader struct {
	address string
	// silentUntil is until when the reader is skipped, as it did not answer; zero if it did.
	silentUntil time.Time
}

// setReaders sets the VMs that this one asks for the list, of all VMs in the order of size. c.mu is held.
func (c *Census) setReaders(largest []VM) {
	before := c.readers
	c.readers = nil
	for _, vm := range largest[:min(maxReaders, len(largest))] {
		if vm.Name == c.own.Name {
			return // those behind this VM have the list from it
		}
		next := reader{address: vm.Address}
		for _, known := range before {
			if known.address == vm.Address {
				next = known
			}
		}
		c.readers = append(c.readers, next)
	}
}

// fetchFromReaders asks the readers in turn for a newer list than one of a version, and reports whether
// one has answered.
func (c *Census) fetchFromReaders(ctx context.Context, version platform.Version) bool {
	c.mu.Lock()
	readers := append([]reader(nil), c.readers...)
	c.mu.Unlock()
	for _, r := range readers {
		if time.Now().Before(r.silentUntil) {
			continue
		}
		timed, cancel := context.WithTimeout(ctx, askReaderTimeout)
		change, age, ok := c.peers.FetchFrom(timed, r.address, TableName, version)
		cancel()
		if ok {
			c.takeCopy(change, age)
			return true
		}
		c.skipReader(r.address)
	}
	return false
}

// skipReader skips a reader that did not answer, or has no list, for some time.
func (c *Census) skipReader(address string) {
	ttl := silentReaderTTL
	if time.Since(c.startedAt) < startupTime {
		ttl = startingReaderTTL
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.readers {
		if c.readers[i].address == address {
			c.readers[i].silentUntil = time.Now().Add(ttl)
		}
	}
}

// readsFirst reports whether this VM is the first reader.
func (c *Census) readsFirst() bool { return c.IsAmongLargest(1) }

// readingAge returns the age of the list at which this VM, which follows the feed, reads the table
// itself. The readings of the first reader serve the others.
func (c *Census) readingAge() time.Duration {
	c.mu.Lock()
	turn := min(c.rank, maxReaders-1)
	c.mu.Unlock()
	first := readerInterval
	if c.changing() {
		first = startupInterval
	}
	return min(minInterval-maxRoundPause, first+time.Duration(turn)*readerDelay)
}
