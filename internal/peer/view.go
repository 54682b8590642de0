package peer

import (
	"slices"
	"time"

	"geraniumcroft/internal/membership"
)

// refreshView removes members from the view that may not serve and fills the view with members that
// may. In a large fleet it also replaces one peer once per ViewSwapPeriod, so that the graph of
// pooled connections keeps changing and no group of VMs stays separated.
func (n *Node) refreshView(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Tick(now)
	n.pruneView()
	if now.Sub(n.lastViewSwap) >= n.settings.ViewSwapPeriod && !n.wholeFleetInView() {
		n.lastViewSwap = now
		n.dropFromView()
	}
	n.fillView()
	addresses := map[string]bool{}
	for _, address := range n.view {
		addresses[address] = true
	}
	n.pool.retain(addresses)
}

// pruneView removes members that may not serve or whose address has changed. The caller holds n.mu.
func (n *Node) pruneView() {
	for name, address := range n.view {
		if m, ok := n.table.Get(name); !ok || !m.MayServe() || m.Address != address {
			delete(n.view, name)
		}
	}
}

// dropFromView removes a random member from a full view. The caller holds n.mu.
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

// fillView adds random members until the view is full. The caller holds n.mu.
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
