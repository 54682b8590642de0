package peer

import (
	"slices"
	"time"

	"geraniumcroft/internal/membership"
)

// refreshView fills the view with members that may serve. A large fleet's view
// replaces one peer now and then, so that the graph of kept connections keeps
// changing and no group of VMs stays apart.
func (n *Node) refreshView(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Tick(now)
	n.pruneView()
	if now.Sub(n.swapped) >= n.settings.ViewSwapPeriod && !n.wholeFleetInView() {
		n.swapped = now
		n.dropFromView()
	}
	n.fillView()
	wanted := map[string]bool{}
	for _, address := range n.view {
		wanted[address] = true
	}
	n.pool.want(wanted)
}

func (n *Node) pruneView() {
	for name, address := range n.view {
		if m, ok := n.table.Get(name); !ok || !m.MayServe() || m.Address != address {
			delete(n.view, name)
		}
	}
}

func (n *Node) dropFromView() {
	names := make([]string, 0, len(n.view))
	for name := range n.view {
		names = append(names, name)
	}
	if len(names) < n.settings.ViewSize {
		return
	}
	slices.Sort(names)
	delete(n.view, names[n.rng.IntN(len(names))])
}

func (n *Node) fillView() {
	missing := n.settings.ViewSize - len(n.view)
	if missing <= 0 {
		return
	}
	outside := func(m *membership.Member) bool { return n.view[m.Name] == "" }
	for _, m := range n.table.Sample(missing, outside) {
		n.view[m.Name] = m.Address
	}
}
