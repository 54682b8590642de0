// Package admission decides which request may start next on this VM.
//
// Each pool has its own bounded queues and its own lock. A request that finds
// room starts at once. Otherwise it waits in the queue of its urgency: urgent
// goes before normal and normal before bulk, workspaces share a level by their
// weights, and within a workspace the requests are first in, first out by
// deadline class.
//
// What happens when there is more work than room: a request whose deadline
// cannot be met, judged by the rate at which the queue has been moving and by
// what stands ahead of it, is refused at once rather than at its deadline. A
// request that is already queued is refused as soon as the same becomes true for
// it, for instance because targets died and the queue slowed down. When the
// queue is full, bulk is refused first: an arriving urgent request takes the
// place of the newest bulk one. Everything refused here is outcome.NotRun,
// which is true because capacity is only taken by the try function, and try is
// never called again once a request was refused.
package admission
