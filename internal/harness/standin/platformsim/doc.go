// Package platformsim simulates the platform in memory: the transactional table, the
// object store and the VM list.
//
// It has the exact semantics of these services (atomic transactions, conditions on
// revisions that never repeat) and injects their failures: outages, responses lost
// after a write took effect, writes applied long after their sender has given up, slow
// responses, a VM list that lags, and open connections that go silent while new ones
// work. Store is used within the process, for tests in virtual time; Server serves a
// Store over HTTP.
package platformsim
