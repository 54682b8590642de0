package entry

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/relay"
)

// decodeRow reads the rows of these tests: "service,born,held,state".
func decodeRow(id string, row []byte) (relay.Replica, error) {
	fields := strings.Split(string(row), ",")
	if len(fields) != 4 {
		return relay.Replica{}, &relay.EntryError{Field: "the entry", Found: string(row), Want: "four fields"}
	}
	born, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		born = incarnation.BornUnreadable
	}
	held, err := strconv.Atoi(fields[2])
	if err != nil {
		return relay.Replica{}, &relay.EntryError{Field: "held", Found: fields[2], Want: "a number"}
	}
	return relay.Replica{Service: fields[0], Replica: layers.Replica{
		ID: id, Born: born, Address: id, Held: config.LayerRange{To: held}, Draining: fields[3] == "draining",
	}}, nil
}

// played is a listing with a clock and what it told.
type played struct {
	*listing
	now       time.Time
	revision  uint64
	rows      map[string][]byte
	restarted []incarnation.Key
	logs      *observer.ObservedLogs
}

var listingStart = time.UnixMilli(1_800_000_000_000)

func newPlayed() *played {
	core, logs := observer.New(zap.InfoLevel)
	p := &played{now: listingStart, rows: map[string][]byte{}, logs: logs}
	p.listing = newListing(decodeRow, zap.New(core), func(r relay.Replica) { p.restarted = append(p.restarted, r.Key()) })
	return p
}

// bornAt is a start so many seconds after the first.
func bornAt(seconds int) int64 {
	return listingStart.Add(time.Duration(seconds) * time.Second).UnixMilli()
}

// write writes the row of replica "r" and lets the listing take the table.
func (p *played) write(born int64, held int, state string) {
	p.writeRow("r", fmt.Sprintf("engines,%d,%d,%s", born, held, state), false)
}

func (p *played) writeRow(id, row string, settling bool) {
	p.revision++
	p.rows[id] = []byte(row)
	p.take(p.rows, p.revision, settling, p.now)
}

func (p *played) pass(d time.Duration) { p.now = p.now.Add(d) }

// replica returns what is present of "r".
func (p *played) replica() (relay.Replica, bool) {
	all := p.present()
	i := slices.IndexFunc(all, func(r relay.Replica) bool { return r.ID == "r" })
	if i < 0 {
		return relay.Replica{}, false
	}
	return all[i], true
}

func (p *played) wants(t *testing.T, born int64, held int, draining bool) {
	t.Helper()
	r, ok := p.replica()
	if !ok || r.Born != born || r.Held.To != held || r.Draining != draining {
		t.Errorf("%+v, %t; want born %d, held 0-%d, draining %t", r, ok, born, held, draining)
	}
}

// A replica dies and starts again within one heartbeat, so that its entry never vanishes. The
// entry of the new incarnation is the first news; connections kept to the old one are of no
// use, and what the old one held is gone.
func TestRestartWithinOneHeartbeat(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	p.pass(3 * time.Second)
	p.write(bornAt(2), 0, "ready")
	p.wants(t, bornAt(2), 0, false)
	if want := []incarnation.Key{{ID: "r", Born: bornAt(2)}}; !slices.Equal(p.restarted, want) {
		t.Errorf("told of %v", p.restarted)
	}
}

// A replica starts again while the store is away. Its report tells at once; nobody waits for
// its entry, by which requests would go to layers that it lost.
func TestRestartWhileTheStoreIsAway(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	p.pass(3 * time.Second)
	heard, changed := p.heardOf(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	if !changed || heard.Superseded {
		t.Errorf("%+v, changed %t", heard, changed)
	}
	p.wants(t, bornAt(2), 0, false)
	p.pass(time.Second)
	if heard, changed := p.heardOf(incarnation.Key{ID: "r", Born: bornAt(0)}, p.now); changed || !heard.Superseded {
		t.Errorf("an old report after a new one: %+v, changed %t", heard, changed)
	}
	p.wants(t, bornAt(2), 0, false)
	p.pass(5 * time.Second)
	p.write(bornAt(2), 7, "ready")
	p.wants(t, bornAt(2), 7, false)
}

// A dead replica's last write is carried out after its successor's, and stands there until
// the successor's next heartbeat. Its layers and its state are nobody's.
func TestLateEntryOfAnEarlierIncarnation(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	p.pass(3 * time.Second)
	p.write(bornAt(2), 5, "ready")
	p.write(bornAt(0), 10, "draining")
	p.wants(t, bornAt(2), 5, false)
	p.pass(time.Second)
	p.settle(false, p.now)
	p.wants(t, bornAt(2), 5, false)
	p.write(bornAt(2), 6, "ready")
	p.pass(time.Minute)
	p.settle(false, p.now)
	p.wants(t, bornAt(2), 6, false)
}

// The first word of a replica is its successor's report, or an entry that a late write has
// overwritten: what the entry says of layers is the earlier incarnation's.
func TestLateEntryBehindAReport(t *testing.T) {
	p := newPlayed()
	p.heardOf(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.write(bornAt(0), 10, "ready")
	p.wants(t, bornAt(2), 0, false)
}

// A replica's clock was set back before it started again, so its start lies before its
// predecessor's. It must not be lost: once the later one has been silent for seconds while
// the entry stands, it is believed.
func TestClockThatWasSetBackLosesNoReplica(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	p.pass(20 * time.Second)
	p.write(bornAt(-60), 0, "ready")
	p.wants(t, bornAt(0), 10, false)
	for range 6 {
		p.pass(time.Second)
		p.settle(false, p.now)
	}
	p.wants(t, bornAt(-60), 0, false)
}

func TestTwoRestartsInARow(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	p.pass(5 * time.Second)
	p.heardOf(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.heardOf(incarnation.Key{ID: "r", Born: bornAt(4)}, p.now)
	p.write(bornAt(2), 8, "ready")
	p.wants(t, bornAt(4), 0, false)
	p.write(bornAt(4), 3, "ready")
	p.wants(t, bornAt(4), 3, false)
}

// A draining replica dies and starts again. Until its own entry says that it is ready it gets
// nothing; then it does, whatever its predecessor was about to do.
func TestDrainEndsWithTheIncarnation(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "draining")
	p.pass(3 * time.Second)
	p.heardOf(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.wants(t, bornAt(2), 0, true)
	p.write(bornAt(2), 0, "ready")
	p.wants(t, bornAt(2), 0, false)
}

// An entry runs out during an outage of the store, and its replica, which may come back,
// has started again meanwhile.
func TestVanishedReplicaThatStartedAgain(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	delete(p.rows, "r")
	p.take(p.rows, 2, true, p.now)
	p.wants(t, bornAt(0), 10, false)
	p.heardOf(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.wants(t, bornAt(2), 0, false)
	p.settle(false, p.now)
	if r, ok := p.replica(); ok {
		t.Errorf("after the outage: %+v", r)
	}
}

// A start that is missing or no number is told of once and loses no replica.
func TestUnusableStartLosesNoReplica(t *testing.T) {
	p := newPlayed()
	for _, row := range []string{"engines,none,1,ready", "engines,none,2,ready", "engines,0,3,ready", "engines,0,4,ready"} {
		p.writeRow("r", row, false)
	}
	p.wants(t, 0, 4, false)
	p.heardOf(incarnation.Key{ID: "r", Born: bornAt(0)}, p.now)
	p.wants(t, bornAt(0), 4, false)
	if n := p.logs.FilterMessage("start of a replica not as it should be").Len(); n != 2 {
		t.Errorf("%d lines, one for each of two faults", n)
	}
}

// Another writer's row stands under a replica's id for a while. The replica is not used
// meanwhile, the others are, and it is back with its own next row. The log has one line for
// each turn, however often the table changes.
func TestEntryTurnsUnusableAndBack(t *testing.T) {
	p := newPlayed()
	p.writeRow("other", "engines,0,9,ready", false)
	p.write(bornAt(0), 10, "ready")
	for range 3 {
		p.writeRow("r", "garbage", false)
	}
	if _, ok := p.replica(); ok {
		t.Error("it is used")
	}
	if len(p.present()) != 1 {
		t.Errorf("present: %+v", p.present())
	}
	if why := p.unusable.dump(); len(why) != 1 || !strings.Contains(why["r"], "garbage") {
		t.Errorf("dump: %v", why)
	}
	p.write(bornAt(0), 10, "ready")
	p.wants(t, bornAt(0), 10, false)
	for message, want := range map[string]int{"entry names no replica to use": 1, "entry is usable again, or gone": 1} {
		if n := p.logs.FilterMessage(message).Len(); n != want {
			t.Errorf("%d lines %q", n, message)
		}
	}
	if p.unusable.turned != 1 || len(p.unusable.why) != 0 {
		t.Errorf("turned %d, now %v", p.unusable.turned, p.unusable.why)
	}
}

// While the store is away a row turns unusable for a VM that learns it from a peer. The
// replica does not count as vanished: what stands under its id speaks for it.
func TestUnusableEntryDoesNotComeBackByAnOutage(t *testing.T) {
	p := newPlayed()
	p.write(bornAt(0), 10, "ready")
	p.writeRow("r", "garbage", true)
	if r, ok := p.replica(); ok {
		t.Errorf("it is used: %+v", r)
	}
}

// A writer fills the table with rows that are none. The log does not follow.
func TestManyUnusableEntriesFillNoLog(t *testing.T) {
	p := newPlayed()
	for i := range 1000 {
		p.rows[fmt.Sprint("row-", i)] = []byte("garbage")
	}
	for range 3 {
		p.take(p.rows, 1, false, p.now)
	}
	if n := p.logs.Len(); n > maxUnusableLines+1 {
		t.Errorf("%d lines", n)
	}
	if n := len(p.unusable.dump()); n > maxUnusableLines {
		t.Errorf("%d in the dump", n)
	}
}

// An entry may have the right form and still name no replica that this configuration can use.
// A range beyond the model's layers ended the process that placed them, on one VM after the
// other.
func TestEntryThatTheConfigurationHasNoUseFor(t *testing.T) {
	spec := &layers.Spec{Layers: 20, Accelerators: map[string]layers.Accelerator{"big": {MemoryMB: 36000}}}
	c := relay.NewConfig(1, nil, nil, map[string]*relay.Service{"engines": {Name: "engines", Model: spec}, "desk": {Name: "desk"}}, relay.Limits{})
	for name, r := range map[string]relay.Replica{
		"service": {Service: "nobody's"},
		"kind":    {Service: "engines", Replica: layers.Replica{Kind: "unheard of"}},
		"layers":  {Service: "engines", Replica: layers.Replica{Kind: "big", Held: config.LayerRange{To: 5000}}},
		"":        {Service: "engines", Replica: layers.Replica{Kind: "big", Held: config.LayerRange{From: 10, To: 20}}},
	} {
		err := fits(c, r)
		if (err == nil) != (name == "") || err != nil && err.Field != name {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := fits(c, relay.Replica{Service: "desk"}); err != nil {
		t.Errorf("a plain replica: %v", err)
	}
}

// A fleet of 320 VMs starts before 600 replicas, some of which then load layers, drain and
// leave. A line for each replica on each VM was 192,000 lines before the first request; what
// the list did has to be told by one line a change and VM, which names replicas and stays short.
func TestListOfReplicasTakesOneLineAChange(t *testing.T) {
	const (
		vms      = 320
		replicas = 600
		// maxLine is what collectors of logs take in one piece.
		maxLine = 4096
	)
	fleet := make([]*played, vms)
	for i := range fleet {
		fleet[i] = newPlayed()
	}
	changes := 0
	change := func(write func(rows map[string][]byte)) {
		changes++
		for _, p := range fleet {
			write(p.rows)
			p.take(p.rows, uint64(changes), false, p.now)
			p.take(p.rows, uint64(changes), false, p.now) // the same table again says nothing
		}
	}
	entryOf := func(held int, state string) []byte {
		return fmt.Appendf(nil, "engines,%d,%d,%s", bornAt(0), held, state)
	}
	id := func(i int) string { return fmt.Sprintf("i-%010d", i) }
	change(func(rows map[string][]byte) {
		for i := range replicas {
			rows[id(i)] = entryOf(0, "ready")
		}
	})
	change(func(rows map[string][]byte) {
		for i := range replicas {
			rows[id(i)] = entryOf(12, "ready")
		}
	})
	change(func(rows map[string][]byte) {
		rows[id(0)] = entryOf(12, "draining")
		rows[id(1)] = fmt.Appendf(nil, "engines,%d,0,ready", bornAt(2))
		delete(rows, id(2))
	})
	lines := 0
	for _, p := range fleet {
		lines += p.logs.Len()
	}
	if want := vms * (changes + 1); lines != want { // one more: a replica has started again
		t.Errorf("%d lines for %d changes on %d VMs, want %d", lines, changes, vms, want)
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"})
	for _, line := range fleet[0].logs.All() {
		text, err := encoder.EncodeEntry(line.Entry, line.Context)
		if err != nil || text.Len() > maxLine {
			t.Errorf("%d bytes, %v: %s", text.Len(), err, text)
		}
	}
	last := fleet[0].logs.FilterMessage("list of replicas changed").All()[changes-1].ContextMap()
	for kind, want := range map[string]int{"came": 1, "draining": 1, "gone": 1} {
		if named, _ := last[kind].([]any); len(named) != want {
			t.Errorf("%s: %v", kind, last[kind])
		}
	}
}
