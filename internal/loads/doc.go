// Package loads distributes the load reports of replicas among the VMs.
//
// A VM knows only the requests that it has sent itself. Without the reports it could use only
// its even share of each replica: where a data centre loses replicas, its VMs would refuse
// requests for which replicas elsewhere have capacity. If every VM polled every replica,
// there would be more polls than requests. Therefore the holder of the placement duty, which
// needs to know the replicas anyway, polls each one every second (Collector), and the other
// VMs copy its snapshot of the reports from peers (Cache), as they copy the operators'
// tables.
//
// In a large fleet, VMs ask only a few of the others. The holder need not be one of these,
// so it offers each new snapshot to some of them.
//
// A replica that does not answer twice in a row is marked as down in the snapshot. All VMs
// then avoid it and the placement gives its layers to others, seconds before discovery
// removes it. While the store is unavailable the last holder continues.
//
// A snapshot is a hint. It may be seconds old or missing: after the holder failed, none is
// made until its lease has expired. The choice of paths then falls back to even shares.
package loads
