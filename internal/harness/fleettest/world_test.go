// Package fleettest runs random tests of whole fleets, data path and control path
// together, in virtual time. The nodes are real and wired as in a process; they run
// over stand-ins and connections in memory.
package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/pipenet"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/peer"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/settings"
)

const (
	layers      = 8
	vmRowsFrom  = "vm/"
	vmRowsTo    = "vm0"
	stopTimeout = time.Minute
)

// planted are faults planted in the fleet to show that the oracle detects them.
type planted struct {
	// noVMRows hides the rows by which VMs find VMs that they do not know yet.
	noVMRows bool
	// noConditions makes the table commit configuration changes without checking their
	// conditions.
	noConditions bool
	// serveCutOff makes reads of the store succeed, with old rows, on a VM that is cut
	// off from it.
	serveCutOff bool
	// hideWork makes engines report no active requests to the VM that sends orders.
	hideWork bool
}

// world is the environment of one run: the VMs, the stand-ins that they use, and the
// events that the oracle checks.
type world struct {
	planted   planted
	store     *platformsim.Store
	network   *pipenet.Network
	fabric    *enginesim.Fabric
	engines   map[string]*enginesim.Engine
	services  *services
	sends     sends
	orders    ordersSeen
	proposals proposalLog
	accepted  atomic.Uint64
	work      sync.WaitGroup
	trace     *trace

	mu        sync.Mutex // guards the fields below
	vms       map[string]*vm
	starting  map[int]bool
	faults    faults
	snapshots map[uint64]string    // encoded configuration by version, as VMs had it in force
	arrivals  map[string]time.Time // by request id
	problems  []string
}

// vm is one process of the fleet.
type vm struct {
	*node.Node
	name, host string
	// dead is set when the process has ended. Nothing that it sends arrives any more.
	dead     atomic.Bool
	storeCut atomic.Bool
	// ending is set by the incident that ends the process, so that it ends once.
	// stopping is set before a graceful stop.
	ending   atomic.Bool
	stopping atomic.Bool
	// requests is the context of requests and proposals at this VM. It is cancelled by
	// kill when the process ends.
	requests context.Context
	kill     context.CancelFunc
	newest   atomic.Uint64 // version of the configuration in force
}

func newWorld(p planted) *world {
	return &world{
		planted: p, store: platformsim.NewStore(), network: pipenet.NewNetwork(), fabric: enginesim.NewFabric(nil),
		engines: map[string]*enginesim.Engine{}, services: newServices(),
		orders: ordersSeen{holder: map[uint64]*vm{}}, proposals: proposalLog{},
		vms: map[string]*vm{}, starting: map[int]bool{}, snapshots: map[uint64]string{}, arrivals: map[string]time.Time{}, trace: newTrace(),
	}
}

// problemf records a problem that the oracle found.
func (w *world) problemf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	problem := fmt.Sprintf(format, args...)
	w.problems = append(w.problems, problem)
	w.trace.note("PROBLEM %s", problem)
}

func hostOfVM(number int) string { return fmt.Sprintf("10.0.1.%d", number) }

// dialOver returns a function that opens connections to peers until the process ends.
func (v *vm) dialOver(n *pipenet.Network) peer.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if v.dead.Load() {
			return nil, pipenet.ErrRefused
		}
		return n.DialFrom(v.host)(ctx, address)
	}
}

// start starts a VM. If the number was used before, this is a restart of that VM.
func (w *world) start(number int) *vm {
	v := &vm{name: fmt.Sprintf("entry-%d", number), host: hostOfVM(number)}
	v.requests, v.kill = context.WithCancel(context.Background())
	direct := enginesim.NewDirectClient(w.fabric)
	client := &platformClient{world: w, vm: v}
	built, err := node.New(node.Options{
		Settings: w.settings(v, number), Version: "test", Authenticator: denyAll{}, Logger: w.trace.logger(v.name),
		OnViolation: func(violation invariant.Violation) {
			w.problemf("invariant %s on %s: %s", violation.Name, v.name, violation.Detail)
		},
		Wiring: &node.Wiring{
			Listen: func(address string) (net.Listener, error) { return w.network.Listen(address), nil }, DialPeer: v.dialOver(w.network),
			Engines: &engineClient{DirectClient: direct, world: w, vm: v}, Services: &serviceClient{world: w, vm: v},
			Table: client, Objects: client, VMList: client,
		},
	})
	if err != nil {
		panic(err)
	}
	v.Node = built
	v.Store().Subscribe(func(s *config.Snapshot) { w.checkInForce(v, s) })
	w.mu.Lock()
	w.vms[v.name] = v
	w.mu.Unlock()
	w.trace.note("start %s", v.name)
	if err := v.Start(); err != nil {
		panic(err)
	}
	w.updateVMList()
	return v
}

func (w *world) settings(v *vm, number int) *settings.Settings {
	text := fmt.Sprintf(`
[vm]
name = %s
data_centre = dc-%d
[callers]
address = %s:1
plain = true
[admin]
address = %s:2
tokens_file = unused
plain = true
[peers]
address = %s:3
seeds = 10.0.1.0:3, 10.0.1.1:3, 10.0.1.2:3
plain = true
[platform]
table = http://10.0.0.1:1
objects = http://10.0.0.1:1
vm_list = http://10.0.0.1:1
timeout = 1s
[shutdown]
unready_wait = 500ms
`, v.name, number%3, v.host, v.host, v.host)
	parsed, findings := settings.Parse("fleet.ini", []byte(text))
	if len(findings) > 0 {
		panic(fmt.Sprint("settings: ", findings))
	}
	return parsed
}

// updateVMList sets the platform's VM list to the running VMs.
func (w *world) updateVMList() {
	var listed []platform.VM
	for _, v := range w.running() {
		listed = append(listed, platform.VM{
			Name: v.name, Address: v.host, DataCentre: "dc", Role: "entry",
			Leaving: v.stopping.Load(), PeerAddress: v.PeerAddress(),
		})
	}
	w.store.SetVMs(listed...)
}

// running returns the running VMs, ordered by number.
func (w *world) running() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*vm
	for number := range maxVMs {
		if v := w.vms[fmt.Sprintf("entry-%d", number)]; v != nil && !v.dead.Load() {
			all = append(all, v)
		}
	}
	return all
}

// vm returns the running VM with a number, or nil.
func (w *world) vm(number int) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.vms[fmt.Sprintf("entry-%d", number)]
	if v == nil || v.dead.Load() {
		return nil
	}
	return v
}

// killVM ends a process abruptly: its connections go silent and its peers get no
// notice.
func (w *world) killVM(v *vm) {
	w.trace.note("kill %s", v.name)
	v.dead.Store(true)
	w.network.Silence(func(from, to string) bool { return from == v.host || to == v.host })
	v.kill()
	w.updateVMList()
	v.Kill()
	w.remove(v)
}

// stopVM stops a process gracefully. All its requests in progress must end first.
func (w *world) stopVM(v *vm) {
	w.trace.note("stop %s", v.name)
	v.stopping.Store(true)
	w.updateVMList()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	v.Stop(ctx)
	if ctx.Err() != nil {
		w.problemf("%s did not stop within %s", v.name, stopTimeout)
	}
	v.dead.Store(true)
	v.kill()
	w.remove(v)
	w.updateVMList()
}

func (w *world) remove(v *vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vms[v.name] == v {
		delete(w.vms, v.name)
	}
}

// checkInForce checks a configuration that a VM puts in force: it must be newer than
// the one before and equal on all VMs that have this version.
func (w *world) checkInForce(v *vm, s *config.Snapshot) {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	if before := v.newest.Swap(s.Version); before >= s.Version {
		w.problemf("%s went from version %d to %d", v.name, before, s.Version)
	}
	w.mu.Lock()
	other, known := w.snapshots[s.Version]
	w.snapshots[s.Version] = string(encoded)
	w.mu.Unlock()
	if known && other != string(encoded) {
		w.problemf("version %d differs between VMs: %s has %s, another %s", s.Version, v.name, encoded, other)
	}
}

// serves reports whether the VM admits requests.
func (v *vm) serves() bool { return !v.dead.Load() && v.Router().Gate.Check() == nil }

// checkServing checks that no VM serves under a configuration older than one that was
// reported to an operator as in force everywhere.
func (w *world) checkServing(when string) {
	floor := w.accepted.Load()
	for _, v := range w.running() {
		serves := v.serves()
		if have := v.Store().Current().Version; serves && have < floor {
			w.problemf("%s serves under version %d although %d was accepted (%s)", v.name, have, floor, when)
		}
	}
}

// monitor calls checkServing at short intervals until ctx ends.
func (w *world) monitor(ctx context.Context) {
	for ctx.Err() == nil {
		w.checkServing("seen at an interval")
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// denyAll is an authenticator that accepts no token.
type denyAll struct{}

// Authenticate implements adminapi.Authenticator.
func (denyAll) Authenticate(string) (string, adminapi.Role, bool) { return "", "", false }
