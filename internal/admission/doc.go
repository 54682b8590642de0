// Package admission decides which request starts next on this VM.
//
// Each pool of targets has its own bounded queues and its own lock. A request starts at once if the pool
// has capacity and no queued request goes first. Otherwise it waits in the queue of its urgency. Urgent
// requests start before normal ones and normal ones before bulk. Within an urgency level, workspaces
// share the starts by their weights. Within a workspace, each deadline class is first in, first out.
//
// Under overload, requests are refused as follows:
//
//   - A request whose deadline cannot be met is refused on arrival instead of at its deadline. The
//     estimate uses the rate at which the queue has been moving and the cost of what is ahead of it.
//   - A queued request is refused as soon as the same becomes true for it, for example because targets
//     failed and the queue slowed down.
//   - When the queue is full, bulk requests are refused first: an arriving urgent request displaces the
//     newest bulk request.
//
// All of these refusals have the outcome outcome.NotRun. That is true because only the try function takes
// capacity, and try is not called any more once a request has been refused.
package admission
