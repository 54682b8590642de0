// Package follow keeps this VM's copy of the tables that the platform's operator and
// the replicas write.
//
// The copy comes from the platform's feed of changes. When the store does not answer
// this VM, the copy comes from peers: the store may turn some VMs away and serve the
// others, and a key that was revoked meanwhile has to lose its rights here as well.
// A copy is only ever replaced by one of a later revision, so what this VM applies
// never goes back, whoever it asks and however late an answer comes.
package follow
