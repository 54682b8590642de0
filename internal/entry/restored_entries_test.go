package entry

import (
	"testing"
	"time"

	"geraniumcroft/internal/platform"
)

// restore replaces the table by an older copy, which the store came back from.
func (p *replicaSetTest) restore(rows map[string][]byte) {
	p.rows = rows
	p.era++
	p.revision = 1
	p.update(p.rows, platform.Version{Era: p.era, Revision: p.revision}, true, p.now)
}

func rowOf(state string) map[string][]byte {
	return map[string][]byte{"r": []byte("engines,0,10," + state)}
}

// Guards against requests to a replica that drained before the store came back from a copy in which it
// is ready.
func TestDrainingReplicaStaysSoAfterStoreRestored(t *testing.T) {
	p := newReplicaSetTest()
	p.write(0, 10, "ready")
	p.write(0, 10, "draining")
	p.restore(rowOf("ready"))
	p.expect(t, 0, 10, true)
	p.writeRow("other", "engines,0,9,ready", true)
	p.expect(t, 0, 10, true)
	p.write(bornAt(1), 11, "ready")
	p.expect(t, bornAt(1), 11, false)
}

// Guards against requests to a replica that was gone before the store came back from a copy that still
// has its entry.
func TestReplicaThatWasGoneStaysSoAfterStoreRestored(t *testing.T) {
	p := newReplicaSetTest()
	p.write(0, 10, "ready")
	delete(p.rows, "r")
	p.writeRow("other", "engines,0,9,ready", false)
	p.advance(3 * time.Second)
	p.restore(rowOf("ready"))
	if r, ok := p.replica(); ok {
		t.Errorf("the replica is used: %+v", r)
	}
	p.writeRow("other", "engines,0,9,ready", true)
	if r, ok := p.replica(); ok {
		t.Errorf("the replica is used after a change of another one: %+v", r)
	}
	p.advance(restoredEntryTTL)
	if !p.dropExpired(false, p.now) {
		t.Error("nothing has changed")
	}
	p.expect(t, 0, 10, false)
}

// Guards against a live replica that is left out after the store came back, though it has written its
// entry again.
func TestReplicaThatWritesAgainIsUsedAfterStoreRestored(t *testing.T) {
	p := newReplicaSetTest()
	p.write(0, 10, "ready")
	delete(p.rows, "r")
	p.writeRow("other", "engines,0,9,ready", false)
	p.restore(rowOf("ready"))
	p.writeRow("r", "engines,0,12,ready", true)
	p.expect(t, 0, 12, false)
}

// Guards against a replica that is dropped because the store came back from a copy of before its first
// entry.
func TestReplicaMissingInTheCopyIsKeptWhileItMayWriteAgain(t *testing.T) {
	p := newReplicaSetTest()
	p.writeRow("other", "engines,0,9,ready", false)
	p.write(0, 10, "ready")
	p.restore(map[string][]byte{"other": []byte("engines,0,9,ready")})
	p.expect(t, 0, 10, false)
	p.dropExpired(false, p.now)
	if r, ok := p.replica(); ok {
		t.Errorf("the replica is used after the store has settled: %+v", r)
	}
}
