package platformsim

import "geraniumcroft/internal/platform"

// Peek returns a row, bypassing all faults, for tests that check the contents of the
// table. For a key without a row it returns a Row with Revision 0.
func (s *Store) Peek(key string) platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row(key)
}

// PeekKeys returns the keys with from <= key < to, bypassing all faults.
func (s *Store) PeekKeys(from, to string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, key := range s.keys {
		if key >= from && key < to {
			keys = append(keys, key)
		}
	}
	return keys
}
