// Package mirror lets VMs read each other's copies of the platform's tables.
//
// It serves VMs that do not follow the store's feed themselves, and those that the store does not
// answer: the store may be down, or may reject this VM while it serves the others. Two peers are
// asked for the revisions of their copies. What the newer copy has beyond this VM's copy is then
// fetched, compressed, from the peer that has it, the nearer one if both do. For a copy that
// changes continuously, one peer after another is asked until one answers. Replacing the copy by
// the newer one is up to the caller. A VM can also offer its copy to peers, without being asked.
// The messages are well-known wrapper types around JSON, so that no code has to be generated.
//
// A follower is a VM that follows the store's feed; package follow calls such a peer a feed peer.
//
// Failures: a peer that does not answer is skipped for a while, unless no other peer is left. A
// peer that the store rejects has an older copy, which the revision of the other peer shows. A
// large copy may take longer than a request for a revision, so each kind of request has its own
// timeout.
package mirror
