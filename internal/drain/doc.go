// Package drain merges everything that says a target is leaving.
//
// Three sources speak, and any one of them is enough: an operator who drains the
// target, the platform's list that shows the target's machine as leaving, and the
// target's own load report. None undoes another. The list lags: after an operator
// undrains a target the list may still show its machine as leaving, from before or
// because it truly goes. The tracker cannot tell the two apart, and the costs
// differ: work given to a machine that goes is cut off, work withheld from one that
// stays only takes a detour. So the list's word stands for as long as the list says
// it, an undrain takes effect when the list agrees, and the cause tells the operator
// what the target still waits for. In the other direction, a list that shows the
// machine as live says nothing about the operator's wish and never ends a drain.
//
// When the list cannot be read its last content stays. A machine that is missing
// from the list is not leaving: the list lags for new machines as well.
package drain
