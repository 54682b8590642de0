package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumcroft/internal/platform"
)

const period = time.Second

// cluster runs the tables of a fleet against each other, a probe of each VM a
// period, over a network that tests cut and make lossy.
type cluster struct {
	now   time.Time
	rng   *rand.Rand
	vms   []*simulated
	loss  float64
	apart func(a, b int) bool
}

type simulated struct {
	index int
	up    bool
	table *Table
	life  uint64 // seed of the present life
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		now:   time.Unix(1_700_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		apart: func(int, int) bool { return false },
	}
	for i := range size {
		c.vms = append(c.vms, &simulated{index: i})
		c.boot(i)
	}
	return c
}

func name(i int) string { return fmt.Sprintf("vm-%d", i) }

// boot starts a VM, which has kept nothing and reads the platform's list.
func (c *cluster) boot(i int) {
	vm := c.vms[i]
	vm.up = true
	vm.life++
	self := Identity{Name: name(i), Address: name(i), Incarnation: NewIncarnation(c.now)}
	vm.table = New(self, Settings{}, rand.New(rand.NewPCG(uint64(i), vm.life)), c.now)
	vm.table.UpdateListed(c.listed(), c.now)
}

// listed is a list that lags without end: it always shows every VM.
func (c *cluster) listed() []platform.VM {
	var vms []platform.VM
	for i := range c.vms {
		vms = append(vms, platform.VM{Name: name(i), PeerAddress: name(i), Role: RoleEntry})
	}
	return vms
}

func (c *cluster) step() {
	c.now = c.now.Add(period)
	for _, vm := range c.vms {
		if vm.up {
			c.probe(vm)
		}
	}
}

func (c *cluster) probe(vm *simulated) {
	vm.table.Tick(c.now)
	m, ok := vm.table.NextProbe()
	if !ok {
		return
	}
	if c.exchange(vm, c.byName(m.Name)) {
		return
	}
	for _, helper := range vm.table.Helpers(m.Name, 3) {
		h := c.byName(helper.Name)
		if c.exchange(vm, h) && c.exchange(h, c.byName(m.Name)) {
			answer := c.byName(m.Name).table
			vm.table.RecordMessage(answer.Self(), c.now)
			return
		}
	}
	vm.table.ProbeFailed(m.Name, m.Incarnation, c.now)
}

func (c *cluster) byName(wanted string) *simulated {
	for i, vm := range c.vms {
		if name(i) == wanted {
			return vm
		}
	}
	return nil
}

// exchange is a request and its answer.
func (c *cluster) exchange(from, to *simulated) bool {
	return c.deliver(from, to) && c.deliver(to, from)
}

func (c *cluster) deliver(from, to *simulated) bool {
	if !from.up || !to.up || c.apart(from.index, to.index) || c.rng.Float64() < c.loss {
		return false
	}
	updates := from.table.Gossip(name(to.index), 24)
	if to.table.RecordMessage(from.table.Self(), c.now) {
		to.table.Merge(updates, c.now)
	}
	return true
}

// unsettled returns what keeps the live VMs from holding just each other alive.
func (c *cluster) unsettled() string {
	for _, on := range c.vms {
		for _, of := range c.vms {
			if !on.up || on == of {
				continue
			}
			m, known := on.table.Get(name(of.index))
			if of.up && (!known || m.State != Alive) {
				return fmt.Sprintf("%s lives but %s holds it %s", m.Name, name(on.index), m.State)
			}
			if !of.up && known && m.MayServe() {
				return fmt.Sprintf("%s is down but %s holds it %s", m.Name, name(on.index), m.State)
			}
		}
	}
	return ""
}

// run steps until settled and returns the periods that it took, or -1.
func (c *cluster) run(limit int) int {
	for i := range limit {
		if c.unsettled() == "" {
			return i
		}
		c.step()
	}
	return -1
}
