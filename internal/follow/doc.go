// Package follow keeps this VM's copy of the tables that the platform's operator and the replicas
// write.
//
// The copy comes from the platform's change feed. While the store does not answer this VM, the
// copy comes from peers: the store may reject some VMs and serve others, and a key that was
// revoked in the meantime has to lose its rights on this VM as well. A pending feed call looks the
// same whether nothing has changed or the store has lost the call. A copy that neither the store
// nor a peer has confirmed for a second is therefore confirmed by a concurrent call that does not
// wait.
//
// A copy is only replaced by one of a later revision. What this VM applies never goes back,
// whichever source answers and however late the answer arrives.
//
// A peer that follows the feed itself is called a feed peer.
package follow
