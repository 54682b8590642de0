// Package follow keeps this VM's copy of the tables that the platform's operator and the replicas
// write.
//
// The copy comes from the platform's change feed. In a large fleet only a few VMs follow the feed
// and the others copy from them; otherwise each change would cost a call of every VM. While the
// store does not answer this VM, the copy comes from peers as well: the store may reject some VMs
// and serve others, and a key that was revoked in the meantime has to lose its rights on this VM
// too.
//
// A pending feed call looks the same whether nothing has changed or the store has lost the call. If
// neither the store nor a peer has confirmed the copy for about a second, this VM therefore asks
// its peers and then polls the store without waiting for a change, while the feed call is pending.
//
// A copy is only replaced by one of a later version, which is the store's era and the revision within
// it: the store may come back from an older copy, in a new era, and give out revisions again. A change
// is only applied to a copy of its own era, and a copy of an earlier era confirms nothing. A content
// that has a version of its own, as the operator's configuration has, is not replaced by an earlier
// one, even if the store has that at a later version: it stays in force until its writer has written
// it again. What this VM applies never goes back, whichever source answers and however late the answer
// arrives.
//
// A peer that follows the feed itself is called a feed peer.
package follow
