// Package platform is the system's view of the platform's services: a
// transactional table, an object store and a lagging list of VMs.
//
// Everything that must outlive a VM is kept there. The services have outages and
// an answer can be lost after the write took effect, so each error says which of
// three things happened: the write was refused and did not take effect
// (ErrRefused), the service was not reached and it did not take effect
// (ErrUnavailable), or it may have taken effect (ErrAmbiguous).
package platform
