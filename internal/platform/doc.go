// Package platform defines the interfaces to the platform's services: a
// transactional table, an object store and an eventually consistent list of VMs.
//
// All state that must survive the loss of a VM is stored there. The services have
// outages, and a response can be lost after the write took effect. Errors of writes
// therefore match one of three sentinels: the write was refused and did not take
// effect (ErrRefused), the service was not reached and the write did not take effect
// (ErrUnavailable), or the write may have taken effect (ErrAmbiguous).
package platform
