package census

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

const (
	// minInterval is the least time between two writes of a VM's row. The interval is
	// intervalPerVM times the number of VMs where that is longer: 128 s at 320 VMs, 394 s at 985.
	minInterval   = 8 * time.Second
	intervalPerVM = 400 * time.Millisecond
	// expiryRounds is the number of intervals after which a VM whose row is unchanged is no longer
	// counted. It allows for two lost writes.
	expiryRounds = 3
	// startupInterval is the time between two reads of the list while VMs are being added.
	startupInterval = 2 * time.Second
	// startupTime is the first time of a process, in which a whole fleet may be starting.
	startupTime = 10 * time.Second
	// refreshInterval is the time between two requests to peers for the list.
	refreshInterval = time.Second
	// firstInterval is the same in the first startupTime of a process.
	firstInterval = 300 * time.Millisecond
	// maxRoundPause is the longest time between two rounds.
	maxRoundPause = refreshInterval * 3 / 2
	// staleAge is the age of the list at which a VM that copies it reads the table itself: the
	// VMs that read it may all have failed.
	staleAge = 30 * time.Second
	// startRows is how many rows a starting VM reads first. A fleet with fewer VMs is then known
	// completely; of a larger one these are the largest VMs.
	startRows = 32
	// maxVMs bounds the rows that are read.
	maxVMs = 20_000
	// maxRowAge is the age at which the row of a VM that no longer exists is deleted, in a fleet of up
	// to 3,000 VMs.
	maxRowAge = 2 * time.Hour
	// startTimeout bounds the first call. Peers of the settings are asked if it fails.
	startTimeout = time.Second
	// roundTimeout bounds the calls of one round.
	roundTimeout = minInterval / 2
)

// Peers fetches the copies that other VMs have of the list.
type Peers interface {
	// FetchOne returns one peer's copy if it is newer than a version, and the time since the
	// table was known to hold it.
	FetchOne(ctx context.Context, table string, after platform.Version) (platform.TableChange, time.Duration, bool)
	// FetchFrom does the same with the peer at an address.
	FetchFrom(ctx context.Context, address, table string, after platform.Version) (platform.TableChange, time.Duration, bool)
}

// Options configure a Census.
type Options struct {
	Table platform.Table
	Own   VM
	// Peers may be nil if no VM has peers.
	Peers Peers
	// FirstStart says that the whole fleet starts for the first time, so that no VM has a row yet.
	FirstStart bool
	// Eras has the eras of the table that this VM has heard of. It may be nil.
	Eras *platform.Eras
	// OnChange is called with each new list.
	OnChange func([]VM)
	Logger   *zap.Logger
}

// Census keeps the list of VMs and this VM's row in it. It is safe for concurrent use.
type Census struct {
	table    platform.Table
	eras     *platform.Eras
	own      VM
	peers    Peers
	onChange func([]VM)
	logger   *zap.Logger
	// registration is the state of this VM's row. Only Run uses it.
	registration registration
	startedAt    time.Time
	firstStart   bool
	// patience, from 0 to 1, is drawn for each reading of the table by a VM that copies the list. Only
	// Run uses it.
	patience float64

	mu  sync.Mutex // guards the fields below
	vms []VM
	// snapshot is the newest complete list, nil if there is none.
	snapshot *snapshot
	observed map[string]observation
	// followsFeed says whether this VM is one of FeedFollowersOf(vms), and relays whether it
	// is another one of FollowersOf(vms). They are cached because each query of a peer needs them,
	// and sorting 195 VMs takes 57 us.
	followsFeed, relays bool
	// hasRelays says whether this VM's data centre has followers that do not follow the feed.
	hasRelays bool
	// relayCount is the number of VMs in the fleet that relay.
	relayCount int
	// rank is this VM's position in the order of size, and readers are the VMs before it that it asks
	// for the list if it follows the feed.
	rank    int
	readers []reader
	// loaded says that rows or a peer's copy were read.
	loaded bool
	// changedAt is when another complete list replaced the one before.
	changedAt time.Time
	// listed says that the complete list has this VM, listedAt since when; it is zero if the list has not.
	// listedBefore says that the row in the list is that of an earlier process of this VM.
	listed       bool
	listedAt     time.Time
	listedBefore bool
	// rowDoubtful says that the table has come back from an older copy, which may lack this VM's row.
	// era is the era that it began then.
	rowDoubtful bool
	era         uint64
}

// New returns a census that lists only this VM. Run passes each new list to OnChange.
func New(o Options) *Census {
	c := &Census{
		table: o.Table, eras: o.Eras, own: o.Own, peers: o.Peers, onChange: o.OnChange, logger: o.Logger,
		observed: map[string]observation{}, vms: []VM{o.Own}, followsFeed: true, startedAt: time.Now(), firstStart: o.FirstStart, patience: rand.Float64(),
	}
	if o.Eras != nil {
		o.Eras.OnRaise(c.onEraRaised)
	}
	return c
}

// VMs returns the VMs that are counted, including this one. The caller must not modify them.
func (c *Census) VMs() []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

// Loaded reports whether any part of the list was ever read. Until then this VM counts only itself.
func (c *Census) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// Complete reports whether VMs returns the whole list. Until then it may be only the largest VMs.
func (c *Census) Complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot != nil
}

// Counted reports whether this VM and the others count each other: the complete list has this VM, and either
// the row of an earlier process of this VM was in the first such list, or the table had this list minInterval
// after the VM was listed. An earlier list may lack VMs that registered at the same time as this one.
func (c *Census) Counted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed && (c.listedBefore || c.snapshot.confirmedAt.Sub(c.listedAt) >= minInterval)
}

// steadyInterval returns the time between two writes of the row of a VM that is registered. It
// grows with the fleet, so that all VMs together make at most five calls a second.
func (c *Census) steadyInterval() time.Duration { return intervalFor(len(c.VMs())) }

func intervalFor(vms int) time.Duration {
	return max(minInterval, time.Duration(vms)*intervalPerVM)
}

// setVMs sets the list to this VM and the given ones. c.mu is held.
func (c *Census) setVMs(listed []VM) {
	vms := make([]VM, 1, len(listed)+1)
	vms[0] = c.own
	c.listed = false
	for _, vm := range listed {
		if vm.Name != c.own.Name {
			vms = append(vms, vm)
			continue
		}
		c.listed = c.snapshot != nil
	}
	switch {
	case !c.listed:
		c.listedAt, c.listedBefore = time.Time{}, false
	case c.listedAt.IsZero():
		c.listedAt, c.listedBefore = time.Now(), !c.registration.written
	}
	if len(vms) != len(c.vms) {
		c.logger.Info("VMs counted", zap.Int("vms", len(vms)), zap.Int("before", len(c.vms)))
	}
	c.vms, c.loaded = vms, true
	largest := sortedBySize(vms)
	c.rank = slices.IndexFunc(largest, func(vm VM) bool { return vm.Name == c.own.Name })
	c.setReaders(largest)
	allFeedFollowers, allFollowers := FeedFollowersOf(vms), FollowersOf(vms)
	c.relayCount = countVMs(allFollowers) - countVMs(allFeedFollowers)
	feedFollowers, followers := allFeedFollowers[c.own.DataCentre], allFollowers[c.own.DataCentre]
	c.followsFeed = c.includesSelf(feedFollowers)
	c.relays = !c.followsFeed && c.includesSelf(followers)
	c.hasRelays = len(followers) > len(feedFollowers)
}
