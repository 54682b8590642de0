package platformsim

import (
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/platform"
)

// Store holds the state of the platform. It implements platform.Table,
// platform.Objects and platform.VMList within the process, with the same faults as a
// Server. It is safe for concurrent use.
type Store struct {
	// Faults holds the faults to inject.
	Faults *Faults

	mu       sync.Mutex // guards the fields below
	revision uint64
	// era is raised each time the table comes back from an older copy.
	era     uint64
	rows    map[string]platform.Row
	keys    []string // sorted
	objects map[string][]byte
	vms     vmHistory
	commits uint64
	reads   uint64
	// clockStart is the zero time of the table's own clock.
	clockStart time.Time
	// onCommitted is called after each transaction that was applied; nil for none.
	onCommitted func(platform.Txn)
}

// OnCommitted sets the function that is called after each transaction that was applied, before its
// writer gets the answer. The function may set faults.
func (s *Store) OnCommitted(f func(platform.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommitted = f
}

// NewStore returns an empty platform without faults.
func NewStore() *Store {
	return &Store{
		Faults:  NewFaults(),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		// One hour ago, so that no reader sees a clock at 0, which means that there is
		// no clock.
		clockStart: time.Now().Add(-time.Hour),
	}
}

// Counts returns the numbers of transactions, including refused ones, and of reads that
// the table has carried out.
func (s *Store) Counts() (commits, reads uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.reads
}

// SetVMs replaces the VM list. Readers see the change after Order.VMLag.
func (s *Store) SetVMs(vms ...platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.set(time.Now(), vms)
}

func (s *Store) apply(txn platform.Txn) error {
	if err := s.applyLocked(txn); err != nil {
		return err
	}
	s.mu.Lock()
	onCommitted := s.onCommitted
	s.mu.Unlock()
	if onCommitted != nil {
		onCommitted(txn)
	}
	return nil
}

func (s *Store) applyLocked(txn platform.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	var failed []platform.Row
	for _, condition := range txn.Conditions {
		row := s.row(condition.Key)
		if row.Revision != condition.Revision {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return &platform.RefusedError{Rows: failed}
	}
	for _, write := range txn.Writes {
		s.write(txn.ID, write)
	}
	return nil
}

func (s *Store) row(key string) platform.Row {
	row, ok := s.rows[key]
	if !ok {
		return platform.Row{Key: key}
	}
	row.Value = slices.Clone(row.Value)
	return row
}

func (s *Store) write(txnID string, write platform.Write) {
	at, found := slices.BinarySearch(s.keys, write.Key)
	if write.Delete {
		if found {
			s.keys = slices.Delete(s.keys, at, at+1)
		}
		delete(s.rows, write.Key)
		return
	}
	if !found {
		s.keys = slices.Insert(s.keys, at, write.Key)
	}
	s.revision++
	s.rows[write.Key] = platform.Row{
		Key:      write.Key,
		Value:    slices.Clone(write.Value),
		Revision: s.revision,
		TxnID:    txnID,
	}
}

func (s *Store) get(keys []string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row := s.row(key)
		row.ReadAt, row.Era = time.Since(s.clockStart), s.era
		rows = append(rows, row)
	}
	return rows
}

func (s *Store) scan(from, to string, limit int) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	rows := []platform.Row{}
	at, _ := slices.BinarySearch(s.keys, from)
	for ; at < len(s.keys) && s.keys[at] < to && len(rows) < limit; at++ {
		row := s.row(s.keys[at])
		row.ReadAt, row.Era = time.Since(s.clockStart), s.era
		rows = append(rows, row)
	}
	return rows
}

func (s *Store) putObject(name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = slices.Clone(body)
}

func (s *Store) object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	return slices.Clone(body), ok
}

func (s *Store) listVMs() []platform.VM {
	lag, frozen := s.Faults.vmLag()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms.at(time.Now().Add(-lag), frozen)
}
