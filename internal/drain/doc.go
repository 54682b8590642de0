// Package drain merges all sources that say that a target is leaving.
//
// There are three sources, and any one of them is enough: an operator who drains the target, the
// platform's VM list that shows the target's machine as leaving, and the target's own load report.
// No source overrides another.
//
// The list lags. After an operator has undrained a target, the list may still show its machine as
// leaving, either because it is not up to date or because the machine really goes. The tracker
// cannot distinguish the two, and the costs differ: work sent to a machine that goes is cut off,
// while work withheld from a machine that stays is only sent elsewhere. Therefore the list counts
// for as long as it shows the machine as leaving: an undrain takes effect once the list agrees, and
// the cause shows the operator what the target still waits for. Conversely, a list that shows the
// machine as live says nothing about the operator's intent and never ends a drain.
//
// If the list cannot be read, its last content stays in effect. A machine that is missing from the
// list is not leaving, because the list lags for new machines as well.
package drain
