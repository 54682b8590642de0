// Package layers decides which layers each replica of a model loads, and through which
// replicas a request passes.
//
// No accelerator card holds the whole model. Each replica holds one contiguous range of
// layers, and a request needs a path: stages whose ranges cover every layer once and in
// order.
//
// Placement (Place) gives each data centre its own set of layers where the memory of its
// cards suffices, in proportion to that memory, so that every stage has capacity for the
// same number of requests and activations stay inside the data centre. Paths are chosen
// for each request (Table.Reserve) from the ranges that the replicas report, whatever the
// placement ordered. The ranges of two replicas need not be aligned, and a path may use
// only a part of a range.
//
// All VMs route to the same replicas, and each one knows only its own requests. A VM
// therefore limits itself: to a few even shares of a card's memory and slots while the
// card is reported as not full, and to its part of the bandwidth between two data centres.
//
// Of several candidate layouts the one with the highest throughput is chosen, where the
// loss of one card is taken into account. Afterwards single cards are moved to where
// capacity is short, and a card that took over the layers of a failed neighbour releases
// them when other cards hold them again.
//
// Failure of a replica: the streams on paths through it stall, its requests are moved to
// another holder of the same layers, and the replica is avoided for a time that grows with
// each failure in a row. Where each data centre holds all layers, another one supplies the
// missing range at once; the placement then widens the ranges next to the gap. The last
// holders of a range are used even while they are suspected, because a request that may
// fail is better than a certain refusal.
package layers
