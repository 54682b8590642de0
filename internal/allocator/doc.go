// Package allocator lets one VM of a data centre choose the paths of competing requests for all VMs
// of the data centre.
//
// A VM by itself knows only its own requests, and what replicas report is seconds old. VMs that
// choose on their own therefore fill the same free capacity at once, replicas turn requests away,
// and no order by priority holds across VMs. The allocator knows every reservation of its data
// centre the moment it is made or ends. It has one queue, in which requests wait by priority and
// with fairness among workspaces.
//
// The VMs rank each other by a hash of the name, the largest ones first; the first that answers is
// the allocator of a VM (Client). It keeps nothing that must last: VMs tell a new allocator what
// they hold when they connect to it. A VM whose allocator does not answer chooses by itself, as it
// does where requests do not compete. If VMs use two allocators at once, each lacks what the other
// has given out until the replicas report it.
//
// Each VM has one gRPC stream to its allocator (Server). It carries JSON messages in the well-known
// wrapper of bytes. When it ends, what the VM holds is dropped: its requests have ended too, or the
// reports of the replicas still show them.
package allocator
