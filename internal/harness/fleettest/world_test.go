// Package fleettest runs whole fleets, data path and control path together, in
// virtual time: real nodes, wired as a process is, over stand-ins and connections
// in memory.
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
	layers     = 8
	rosterFrom = "vm/"
	rosterTo   = "vm0"
	stopBound  = time.Minute
)

// planted are faults that show that the oracle objects.
type planted struct {
	// noRoster hides the rows by which VMs that nobody knows yet are found.
	noRoster bool
	// noConditions makes the table write changes whatever the rows are.
	noConditions bool
	// servesCutOff makes a VM that is cut off believe that it reaches the store.
	servesCutOff bool
	// hidesWork makes engines look idle to who gives them orders.
	hidesWork bool
}

// world is a fleet before its stand-ins.
type world struct {
	planted  planted
	store    *platformsim.Store
	network  *pipenet.Network
	fabric   *enginesim.Fabric
	engines  map[string]*enginesim.Engine
	services *services
	sends    sends
	orders   ordersSeen
	history  operators
	accepted atomic.Uint64
	work     sync.WaitGroup
	trace    *trace

	mu       sync.Mutex // guards the fields below
	vms      map[string]*vm
	starting map[int]bool
	faults   faults
	prints   map[uint64]string
	arrivals map[string]time.Time
	problems []string
}

// vm is one process of the fleet.
type vm struct {
	*node.Node
	name, host string
	// severed makes everything that the process sends go nowhere: it is dead.
	severed  atomic.Bool
	storeCut atomic.Bool
	// ending is set by who ends the process, stopping before an orderly stop.
	ending   atomic.Bool
	stopping atomic.Bool
	// requests ends with the process, and with it what its callers wait for.
	requests context.Context
	kill     context.CancelFunc
	newest   atomic.Uint64
}

func newWorld(p planted) *world {
	return &world{
		planted: p, store: platformsim.NewStore(), network: pipenet.NewNetwork(), fabric: enginesim.NewFabric(nil),
		engines: map[string]*enginesim.Engine{}, services: newServices(),
		orders: ordersSeen{holder: map[uint64]*vm{}}, history: operators{},
		vms: map[string]*vm{}, starting: map[int]bool{}, prints: map[uint64]string{}, arrivals: map[string]time.Time{}, trace: newTrace(),
	}
}

func (w *world) wrong(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	problem := fmt.Sprintf(format, args...)
	w.problems = append(w.problems, problem)
	w.trace.note("PROBLEM %s", problem)
}

func hostOfVM(number int) string { return fmt.Sprintf("10.0.1.%d", number) }

// dialOver opens connections to peers as long as the process lives.
func (v *vm) dialOver(n *pipenet.Network) peer.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if v.severed.Load() {
			return nil, pipenet.ErrRefused
		}
		return n.DialFrom(v.host)(ctx, address)
	}
}

// start starts a VM; a name that was used before is a restart of that VM.
func (w *world) start(number int) *vm {
	v := &vm{name: fmt.Sprintf("entry-%d", number), host: hostOfVM(number)}
	v.requests, v.kill = context.WithCancel(context.Background())
	direct := enginesim.NewDirectClient(w.fabric)
	link := &platformLink{world: w, vm: v}
	built, err := node.New(node.Options{
		Settings: w.settings(v, number), Version: "test", Authenticator: nobody{}, Logger: w.trace.logger(v.name),
		OnViolation: func(violation invariant.Violation) {
			w.wrong("invariant %s on %s: %s", violation.Name, v.name, violation.Detail)
		},
		Wiring: &node.Wiring{
			Listen: func(address string) (net.Listener, error) { return w.network.Listen(address), nil }, DialPeer: v.dialOver(w.network),
			Engines: &engineLink{DirectClient: direct, world: w, vm: v}, Services: &serviceLink{world: w, vm: v},
			Table: link, Objects: link, VMList: link,
		},
	})
	if err != nil {
		panic(err)
	}
	v.Node = built
	v.Store().Subscribe(func(s *config.Snapshot) { w.inForce(v, s) })
	w.mu.Lock()
	w.vms[v.name] = v
	w.mu.Unlock()
	w.trace.note("start %s", v.name)
	if err := v.Start(); err != nil {
		panic(err)
	}
	w.list()
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

// list tells the platform which VMs there are.
func (w *world) list() {
	var listed []platform.VM
	for _, v := range w.running() {
		listed = append(listed, platform.VM{
			Name: v.name, Address: v.host, DataCentre: "dc", Role: "entry",
			Leaving: v.stopping.Load(), PeerAddress: v.PeerAddress(),
		})
	}
	w.store.SetVMs(listed...)
}

// running returns the processes that live, in order of name.
func (w *world) running() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*vm
	for number := range maxVMs {
		if v := w.vms[fmt.Sprintf("entry-%d", number)]; v != nil && !v.severed.Load() {
			all = append(all, v)
		}
	}
	return all
}

func (w *world) vm(number int) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.vms[fmt.Sprintf("entry-%d", number)]
	if v == nil || v.severed.Load() {
		return nil
	}
	return v
}

// killVM ends a process without a word to anyone.
func (w *world) killVM(v *vm) {
	w.trace.note("kill %s", v.name)
	v.severed.Store(true)
	w.network.Silence(func(from, to string) bool { return from == v.host || to == v.host })
	v.kill()
	w.list()
	v.Kill()
	w.forget(v)
}

// stopVM stops a process in order. All that it has in hand must end first.
func (w *world) stopVM(v *vm) {
	w.trace.note("stop %s", v.name)
	v.stopping.Store(true)
	w.list()
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	v.Stop(ctx)
	if ctx.Err() != nil {
		w.wrong("%s did not stop within %s", v.name, stopBound)
	}
	v.severed.Store(true)
	v.kill()
	w.forget(v)
	w.list()
}

func (w *world) forget(v *vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vms[v.name] == v {
		delete(w.vms, v.name)
	}
}

// inForce judges each configuration that a VM puts in force: it is newer than the
// one before, and the same as every other VM has under its version.
func (w *world) inForce(v *vm, s *config.Snapshot) {
	print, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	if before := v.newest.Swap(s.Version); before >= s.Version {
		w.wrong("%s went from version %d to %d", v.name, before, s.Version)
	}
	w.mu.Lock()
	other, known := w.prints[s.Version]
	w.prints[s.Version] = string(print)
	w.mu.Unlock()
	if known && other != string(print) {
		w.wrong("version %d differs between VMs: %s has %s, another %s", s.Version, v.name, print, other)
	}
}

func (v *vm) serves() bool { return !v.severed.Load() && v.Router().Gate.Check() == nil }

// judgeServing objects when a VM serves under a configuration older than one that
// an operator was told is in force.
func (w *world) judgeServing(when string) {
	floor := w.accepted.Load()
	for _, v := range w.running() {
		serves := v.serves()
		if have := v.Store().Current().Version; serves && have < floor {
			w.wrong("%s serves under version %d although %d was accepted (%s)", v.name, have, floor, when)
		}
	}
}

// monitor judges at short intervals until the world closes.
func (w *world) monitor(ctx context.Context) {
	for ctx.Err() == nil {
		w.judgeServing("seen at an interval")
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// nobody knows no operator's token.
type nobody struct{}

// Authenticate implements adminapi.Authenticator.
func (nobody) Authenticate(string) (string, adminapi.Role, bool) { return "", "", false }
