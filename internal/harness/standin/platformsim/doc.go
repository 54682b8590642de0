// Package platformsim is a small stand-in for the platform: the transactional
// table, the object store and the VM list, in memory.
//
// It keeps the services' exact semantics (atomic transactions, conditions on
// revisions that never repeat) and brings about their failures on order: outages,
// answers that are lost after the write took effect, writes that are applied long
// after their sender has given up, slow answers, a list of VMs that lags, and open
// connections that fall silent while new ones work. Store serves it in the process,
// for runs in virtual time; Server serves it over HTTP.
package platformsim
