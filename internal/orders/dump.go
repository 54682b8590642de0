package orders

import (
	"cmp"
	"slices"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// Dump is the state of a controller.
type Dump struct {
	// Held says whether this VM holds the lease; Fencing is the fencing number of its tenure.
	Held    bool       `json:"held"`
	Fencing uint64     `json:"fencing,omitempty"`
	Targets []TaskDump `json:"targets"`
}

// TaskDump is the state of one target after its last step.
type TaskDump struct {
	Target string       `json:"target"`
	Phase  Phase        `json:"phase"`
	Detail string       `json:"detail,omitempty"`
	State  engine.State `json:"state"`
	// Drained says that the controller has asked for a drain of the target and not ended it.
	Drained bool `json:"drained,omitempty"`
	// PendingOrder is the ID of an order whose effect was not read back. Ambiguous says that
	// its answer was lost.
	PendingOrder string `json:"pendingOrder,omitempty"`
	Ambiguous    bool   `json:"ambiguous,omitempty"`
	// OrdersSent is the number of orders of this tenure.
	OrdersSent int `json:"ordersSent"`
	// RefusesOldFencing and ChecksCallers are properties of the target that decide who can order
	// it.
	RefusesOldFencing bool `json:"refusesOldFencing"`
	ChecksCallers     bool `json:"checksCallers"`
}

func newTaskDump(t *task, target *config.Target, v stepResult) TaskDump {
	dump := TaskDump{
		Target:            t.target,
		Phase:             v.phase,
		Detail:            v.detail,
		State:             t.state,
		Drained:           t.drained,
		OrdersSent:        t.ordersSent,
		RefusesOldFencing: target.RefusesOldFencing,
		ChecksCallers:     target.ChecksCallers,
	}
	if t.pending != nil {
		dump.PendingOrder = t.pending.order.ID
		dump.Ambiguous = t.pending.ambiguous
	}
	return dump
}

// Dump returns the controller's state as a Dump.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	dump := Dump{Held: c.held}
	if c.tenure == nil {
		return dump
	}
	dump.Fencing = c.tenure.lease.Fencing
	for _, task := range c.tenure.tasks {
		dump.Targets = append(dump.Targets, task.lastDump)
	}
	slices.SortFunc(dump.Targets, func(a, b TaskDump) int { return cmp.Compare(a.Target, b.Target) })
	return dump
}
