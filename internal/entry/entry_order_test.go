package entry

import (
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/incarnation"
)

// writeHeartbeat writes the entry of "r" with the count of its heartbeats, and returns its row.
func (p *replicaSetTest) writeHeartbeat(held int, state string, heartbeat int) string {
	row := fmt.Sprintf("engines,%d,%d,%s,%d", bornAt(0), held, state, heartbeat)
	p.writeRow("r", row, false)
	return row
}

// remove deletes the entry of "r".
func (p *replicaSetTest) remove(settling bool) {
	delete(p.rows, "r")
	p.writeRow("other", "engines,0,9,ready", settling)
}

func (p *replicaSetTest) expectUnused(t *testing.T) {
	t.Helper()
	if r, ok := p.replica(); ok {
		t.Errorf("the replica is used: %+v", r)
	}
}

// Guards against a draining replica that is ready again by a heartbeat that the store performed late.
func TestLateHeartbeatDoesNotEndDraining(t *testing.T) {
	for _, born := range []int64{incarnation.BornMissing, bornAt(0)} {
		for _, heartbeat := range []int{4, 5, 6} { // the count may be missing from what a writer keeps
			p := newReplicaSetTest()
			write := func(state string, heartbeat int) {
				p.writeRow("r", fmt.Sprintf("engines,%d,10,%s,%d", born, state, heartbeat), false)
			}
			write("ready", 3)
			write("draining", 5)
			write("ready", heartbeat)
			p.expect(t, born, 10, true)
			p.advance(time.Minute)
			p.dropExpired(false, p.now)
			p.expect(t, born, 10, true)
			p.write(bornAt(9), 0, "ready")
			p.expect(t, bornAt(9), 0, false)
		}
	}
}

// Guards against layers that a replica has given up and that a late heartbeat names, and against a count that
// is never taken for true again.
func TestEarlierHeartbeatCountsOnlyIfItStands(t *testing.T) {
	p := newReplicaSetTest()
	p.writeHeartbeat(10, "ready", 3)
	p.writeHeartbeat(4, "ready", 6)
	p.writeHeartbeat(10, "ready", 5)
	p.expect(t, bornAt(0), 4, false)
	p.writeHeartbeat(4, "ready", 7)
	p.writeHeartbeat(10, "ready", 2)
	p.expect(t, bornAt(0), 4, false)
	p.advance(restoredEntryTTL)
	if !p.dropExpired(false, p.now) {
		t.Error("nothing has changed")
	}
	p.expect(t, bornAt(0), 10, false)
}

// Guards against a replica that has left and is used again because of a late write of it or of an earlier
// incarnation, and against one that is not used though it is back.
func TestEntryAfterDeparture(t *testing.T) {
	p := newReplicaSetTest()
	p.writeHeartbeat(10, "ready", 3)
	p.remove(false)
	p.advance(time.Second)
	p.writeHeartbeat(10, "ready", 4)
	p.expectUnused(t)
	p.write(bornAt(-3), 7, "ready")
	p.expectUnused(t)
	p.advance(restoredEntryTTL - time.Second)
	p.writeHeartbeat(10, "ready", 5)
	p.dropExpired(false, p.now)
	p.expectUnused(t)
	p.advance(time.Second)
	p.dropExpired(false, p.now)
	p.expect(t, bornAt(0), 10, false)

	unnamed := newReplicaSetTest()
	unnamed.write(incarnation.BornMissing, 10, "ready")
	unnamed.remove(false)
	unnamed.write(incarnation.BornMissing, 10, "ready")
	unnamed.expectUnused(t)
}

// Guards against a later incarnation, or a replica that is back after a long partition, that has to wait
// because late writes are held back.
func TestReplicaThatIsBackIsUsedAtOnce(t *testing.T) {
	later := newReplicaSetTest()
	later.writeHeartbeat(10, "ready", 3)
	later.remove(false)
	later.writeHeartbeat(10, "ready", 4)
	later.write(bornAt(1), 0, "ready")
	later.expect(t, bornAt(1), 0, false)

	partitioned := newReplicaSetTest()
	partitioned.writeHeartbeat(10, "ready", 3)
	partitioned.remove(false)
	partitioned.advance(maxWriteDelay)
	partitioned.writeHeartbeat(10, "ready", 9)
	partitioned.expect(t, bornAt(0), 10, false)

	expired := newReplicaSetTest()
	expired.writeHeartbeat(10, "ready", 3)
	expired.remove(true)
	expired.dropExpired(false, expired.now)
	expired.expectUnused(t)
	expired.writeHeartbeat(10, "ready", 9)
	expired.expect(t, bornAt(0), 10, false)
}

// Guards against what a replica has said being lost because its start becomes known, by a report or an entry.
func TestStartThatBecomesKnownIsNoRestart(t *testing.T) {
	for name, learn := range map[string]func(p *replicaSetTest){
		"report": func(p *replicaSetTest) { p.observeReport(incarnation.Key{ID: "r", Born: bornAt(0)}, p.now) },
		"entry":  func(p *replicaSetTest) { p.write(bornAt(0), 10, "ready") },
	} {
		p := newReplicaSetTest()
		var known []incarnation.Key
		p.onStartKnown = func(_, now incarnation.Key) { known = append(known, now) }
		p.write(incarnation.BornMissing, 10, "ready")
		learn(p)
		if len(known) != 1 || known[0].Born != bornAt(0) || len(p.restarted) > 0 {
			t.Errorf("%s: started known %v, restarted %v", name, known, p.restarted)
		}
	}
}

// Guards against an entry of another writer, under the key of a replica that has left, that names it again.
func TestEntryWithoutTheStartThatWasNamedIsNotUsed(t *testing.T) {
	p := newReplicaSetTest()
	p.write(bornAt(0), 10, "ready")
	p.remove(false)
	p.advance(maxWriteDelay)
	p.write(incarnation.BornMissing, 10, "ready")
	p.expectUnused(t)
	p.write(bornAt(0), 10, "ready")
	p.expect(t, bornAt(0), 10, false)
}
