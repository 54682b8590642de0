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
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
)

// atRevision returns the version of a revision in the store's only era.
func atRevision(revision uint64) platform.Version { return platform.Version{Revision: revision} }

// decodeRow decodes the rows of these tests: "service,born,held,state" or "service,born,held,state,heartbeat".
func decodeRow(id string, row []byte) (relay.Replica, error) {
	fields := strings.Split(string(row), ",")
	if len(fields) == 4 {
		fields = append(fields, "1")
	}
	if len(fields) != 5 {
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
	heartbeat, err := strconv.ParseUint(fields[4], 10, 64)
	if err != nil {
		return relay.Replica{}, &relay.EntryError{Field: "heartbeat", Found: fields[4], Want: "a number"}
	}
	return relay.Replica{Service: fields[0], Heartbeat: heartbeat, Replica: layers.Replica{
		ID: id, Born: born, Address: id, Held: config.LayerRange{To: held}, Draining: fields[3] == "draining",
	}}, nil
}

// replicaSetTest is a replica set with a table, a clock, and the restarts and log lines that it
// has reported.
type replicaSetTest struct {
	*replicaSet
	now       time.Time
	era       uint64
	revision  uint64
	rows      map[string][]byte
	restarted []incarnation.Key
	logs      *observer.ObservedLogs
}

var testStart = time.UnixMilli(1_800_000_000_000)

func newReplicaSetTest() *replicaSetTest {
	core, logs := observer.New(zap.InfoLevel)
	p := &replicaSetTest{now: testStart, rows: map[string][]byte{}, logs: logs}
	p.replicaSet = newReplicaSet(decodeRow, zap.New(core), func(r relay.Replica) { p.restarted = append(p.restarted, r.Key()) })
	return p
}

// bornAt returns a start some seconds after testStart.
func bornAt(seconds int) int64 {
	return testStart.Add(time.Duration(seconds) * time.Second).UnixMilli()
}

// write writes the row of replica "r" and updates the set from the table.
func (p *replicaSetTest) write(born int64, held int, state string) {
	p.writeRow("r", fmt.Sprintf("engines,%d,%d,%s", born, held, state), false)
}

func (p *replicaSetTest) writeRow(id, row string, settling bool) {
	p.revision++
	p.rows[id] = []byte(row)
	p.update(p.rows, platform.Version{Era: p.era, Revision: p.revision}, settling, p.now)
}

func (p *replicaSetTest) advance(d time.Duration) { p.now = p.now.Add(d) }

// replica returns the current state of "r".
func (p *replicaSetTest) replica() (relay.Replica, bool) {
	all := p.current()
	i := slices.IndexFunc(all, func(r relay.Replica) bool { return r.ID == "r" })
	if i < 0 {
		return relay.Replica{}, false
	}
	return all[i], true
}

func (p *replicaSetTest) expect(t *testing.T, born int64, held int, draining bool) {
	t.Helper()
	r, ok := p.replica()
	if !ok || r.Born != born || r.Held.To != held || r.Draining != draining {
		t.Errorf("%+v, %t; want born %d, held 0-%d, draining %t", r, ok, born, held, draining)
	}
}

// A replica dies and restarts within one heartbeat, so its entry never vanishes. The entry of the
// new incarnation is the first sign of it: idle connections to the old one are useless, and the
// layers that the old one held are lost.
func TestRestartWithinOneHeartbeat(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.advance(3 * time.Second)
	p.write(bornAt(2), 0, "ready")
	p.expect(t, bornAt(2), 0, false)
	if want := []incarnation.Key{{ID: "r", Born: bornAt(2)}}; !slices.Equal(p.restarted, want) {
		t.Errorf("restarts %v", p.restarted)
	}
}

// A replica restarts during a store outage. Its report shows it at once: until the next entry,
// requests would be sent for layers that it has lost.
func TestReportDuringStoreOutageShowsRestart(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.advance(3 * time.Second)
	observed, changed := p.observeReport(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	if !changed || observed.Superseded {
		t.Errorf("%+v, changed %t", observed, changed)
	}
	p.expect(t, bornAt(2), 0, false)
	p.advance(time.Second)
	if observed, changed := p.observeReport(incarnation.Key{ID: "r", Born: bornAt(0)}, p.now); changed || !observed.Superseded {
		t.Errorf("report of the earlier incarnation: %+v, changed %t", observed, changed)
	}
	p.expect(t, bornAt(2), 0, false)
	p.advance(5 * time.Second)
	p.write(bornAt(2), 7, "ready")
	p.expect(t, bornAt(2), 7, false)
}

// The last write of a dead replica takes effect after its successor's first one, and its row stays
// until the successor's next heartbeat. The layers and the state in that row must not be used.
func TestLateEntryOfAnEarlierIncarnation(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.advance(3 * time.Second)
	p.write(bornAt(2), 5, "ready")
	p.write(bornAt(0), 10, "draining")
	p.expect(t, bornAt(2), 5, false)
	p.advance(time.Second)
	p.dropExpired(false, p.now)
	p.expect(t, bornAt(2), 5, false)
	p.write(bornAt(2), 6, "ready")
	p.advance(time.Minute)
	p.dropExpired(false, p.now)
	p.expect(t, bornAt(2), 6, false)
}

// The first sign of a replica is a report of the new incarnation; then comes an entry that a late
// write of the earlier incarnation has overwritten. Its layers are those of the earlier one.
func TestLateEntryAfterReport(t *testing.T) {
	p := newReplicaSetTest()
	p.observeReport(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.write(bornAt(0), 10, "ready")
	p.expect(t, bornAt(2), 0, false)
}

// The clock of a replica was set back before it restarted, so its start is before that of its
// predecessor. The replica must not be lost: once nothing has come from the later incarnation for
// seconds while the entry stands, the earlier start is accepted.
func TestReplicaWithClockSetBackIsKept(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.advance(20 * time.Second)
	p.write(bornAt(-60), 0, "ready")
	p.expect(t, bornAt(0), 10, false)
	for range 6 {
		p.advance(time.Second)
		p.dropExpired(false, p.now)
	}
	p.expect(t, bornAt(-60), 0, false)
}

func TestTwoRestartsInARow(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.advance(5 * time.Second)
	p.observeReport(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.observeReport(incarnation.Key{ID: "r", Born: bornAt(4)}, p.now)
	p.write(bornAt(2), 8, "ready")
	p.expect(t, bornAt(4), 0, false)
	p.write(bornAt(4), 3, "ready")
	p.expect(t, bornAt(4), 3, false)
}

// A draining replica dies and restarts. It counts as draining until its own entry says that it is
// ready.
func TestDrainEndsWithTheIncarnation(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "draining")
	p.advance(3 * time.Second)
	p.observeReport(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.expect(t, bornAt(2), 0, true)
	p.write(bornAt(2), 0, "ready")
	p.expect(t, bornAt(2), 0, false)
}

// An entry expires during a store outage, and its replica, which is kept as vanished, restarts in
// the meantime.
func TestVanishedReplicaRestarts(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	delete(p.rows, "r")
	p.update(p.rows, atRevision(2), true, p.now)
	p.expect(t, bornAt(0), 10, false)
	p.observeReport(incarnation.Key{ID: "r", Born: bornAt(2)}, p.now)
	p.expect(t, bornAt(2), 0, false)
	p.dropExpired(false, p.now)
	if r, ok := p.replica(); ok {
		t.Errorf("after the outage: %+v", r)
	}
}

// A start that is missing or not a number is logged once for each kind of fault, and the replica
// stays listed.
func TestReplicaWithUnusableStartIsKept(t *testing.T) {
	p := newReplicaSetTest()
	for _, row := range []string{"engines,none,1,ready", "engines,none,2,ready", "engines,0,3,ready", "engines,0,4,ready"} {
		p.writeRow("r", row, false)
	}
	p.expect(t, 0, 4, false)
	p.observeReport(incarnation.Key{ID: "r", Born: bornAt(0)}, p.now)
	p.expect(t, bornAt(0), 4, false)
	if n := p.logs.FilterMessage("start of a replica not as it should be").Len(); n != 2 {
		t.Errorf("%d lines, want one for each of two faults", n)
	}
}

// Another writer's row replaces a replica's entry for a while. In that time the replica is not used
// and the others are; it is used again with its own next row. The log has one line for each of the
// two changes, however often the table changes.
func TestEntryBecomesUnusableAndUsableAgain(t *testing.T) {
	p := newReplicaSetTest()
	p.writeRow("other", "engines,0,9,ready", false)
	p.write(bornAt(0), 10, "ready")
	for range 3 {
		p.writeRow("r", "garbage", false)
	}
	if _, ok := p.replica(); ok {
		t.Error("the replica is used")
	}
	if len(p.current()) != 1 {
		t.Errorf("current: %+v", p.current())
	}
	if reasons := p.unusable.dump(); len(reasons) != 1 || !strings.Contains(reasons["r"], "garbage") {
		t.Errorf("dump: %v", reasons)
	}
	p.write(bornAt(0), 10, "ready")
	p.expect(t, bornAt(0), 10, false)
	for message, want := range map[string]int{"entry names no replica to use": 1, "entry is usable again, or gone": 1} {
		if n := p.logs.FilterMessage(message).Len(); n != want {
			t.Errorf("%d lines %q", n, message)
		}
	}
	if p.unusable.total != 1 || len(p.unusable.reasons) != 0 {
		t.Errorf("total %d, now %v", p.unusable.total, p.unusable.reasons)
	}
}

// During a store outage a row that a VM gets from a peer becomes unusable. The replica must not be
// kept as vanished, as there is a row under its id.
func TestUnusableEntryIsNotKeptDuringOutage(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.writeRow("r", "garbage", true)
	if r, ok := p.replica(); ok {
		t.Errorf("the replica is used: %+v", r)
	}
}

// Guards against a log that fills up because a writer fills the table with invalid rows.
func TestManyUnusableEntriesAreLoggedInPart(t *testing.T) {
	p := newReplicaSetTest()
	for i := range 1000 {
		p.rows[fmt.Sprint("row-", i)] = []byte("garbage")
	}
	for range 3 {
		p.update(p.rows, atRevision(1), false, p.now)
	}
	if n := p.logs.Len(); n > maxUnusableLines+1 {
		t.Errorf("%d lines", n)
	}
	if n := len(p.unusable.dump()); n > maxUnusableLines {
		t.Errorf("%d in the dump", n)
	}
}

// Guards against well-formed entries that the configuration can't use. A range beyond the model's
// layers crashed the process that placed layers, on one VM after the other.
func TestEntryThatTheConfigurationHasNoUseFor(t *testing.T) {
	spec := &layers.Spec{Layers: 20, Accelerators: map[string]layers.Accelerator{"big": {MemoryMB: 36000}}}
	c := relay.NewConfig(1, nil, nil, map[string]*relay.Service{"engines": {Name: "engines", Model: spec}, "desk": {Name: "desk"}}, relay.Limits{})
	for name, r := range map[string]relay.Replica{
		"service": {Service: "nobody's"},
		"kind":    {Service: "engines", Replica: layers.Replica{Kind: "unheard of"}},
		"layers":  {Service: "engines", Replica: layers.Replica{Kind: "big", Held: config.LayerRange{To: 5000}}},
		"":        {Service: "engines", Replica: layers.Replica{Kind: "big", Held: config.LayerRange{From: 10, To: 20}}},
	} {
		err := checkEntry(c, r)
		if (err == nil) != (name == "") || err != nil && err.Field != name {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := checkEntry(c, relay.Replica{Service: "desk"}); err != nil {
		t.Errorf("a plain replica: %v", err)
	}
}

// Guards against a log line for each replica on each VM: with 320 VMs and 600 replicas these were
// 192,000 lines before the first request. Each VM logs one line for each change of the list, which
// names replicas and stays short, while replicas start, load layers, drain and leave.
func TestListOfReplicasTakesOneLineAChange(t *testing.T) {
	const (
		vms      = 320
		replicas = 600
		// maxLine is the longest line in bytes that log collectors do not split.
		maxLine = 4096
	)
	fleet := make([]*replicaSetTest, vms)
	for i := range fleet {
		fleet[i] = newReplicaSetTest()
	}
	changes := 0
	changeTable := func(write func(rows map[string][]byte)) {
		changes++
		for _, p := range fleet {
			write(p.rows)
			p.update(p.rows, atRevision(uint64(changes)), false, p.now)
			p.update(p.rows, atRevision(uint64(changes)), false, p.now) // the same table again is not logged
		}
	}
	entryOf := func(held int, state string) []byte {
		return fmt.Appendf(nil, "engines,%d,%d,%s", bornAt(0), held, state)
	}
	id := func(i int) string { return fmt.Sprintf("i-%010d", i) }
	changeTable(func(rows map[string][]byte) {
		for i := range replicas {
			rows[id(i)] = entryOf(0, "ready")
		}
	})
	changeTable(func(rows map[string][]byte) {
		for i := range replicas {
			rows[id(i)] = entryOf(12, "ready")
		}
	})
	changeTable(func(rows map[string][]byte) {
		rows[id(0)] = entryOf(12, "draining")
		rows[id(1)] = fmt.Appendf(nil, "engines,%d,0,ready", bornAt(2))
		delete(rows, id(2))
	})
	lines := 0
	for _, p := range fleet {
		lines += p.logs.Len()
	}
	if want := vms * (changes + 1); lines != want { // one more: a replica has restarted
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
