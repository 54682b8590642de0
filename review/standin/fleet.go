package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a front machine of the small deployments.
	memoryMB = 284
	// memoryPollInterval is the time between two looks at a process's memory.
	memoryPollInterval = 10 * time.Millisecond
	// probeInterval is the time between two readiness probes of the balancer.
	probeInterval = time.Second
	// startTimeout bounds the time until all machines are ready.
	startTimeout = 30 * time.Second
)

// machine is a front machine. It runs one process of the program.
type machine struct {
	name, zone                    string
	front, ready, control, metric string
	settings, log                 string

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	exited  chan struct{}
	// misses counts the readiness probes in a row that failed.
	misses int
	// ends counts the ends of the process that the test did not ask for.
	ends int
}

// fleet is the part of the platform that runs the machines and balances consumers' channels.
type fleet struct {
	run      *run
	root     string
	dir      string
	machines []*machine
	stop     chan struct{}
	work     sync.WaitGroup
}

// newFleet starts a machine in each of the zones, with the deploy file's command and template. The first
// three machines are the seeds.
func newFleet(r *run, store string, zones []string) (*fleet, error) {
	return newFleetWith(r, zones, store, nil)
}

// newFleetWith is newFleet with other seeds if there are any.
func newFleetWith(r *run, zones []string, store string, seeds []string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{run: r, root: root, dir: dir, stop: make(chan struct{})}
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, misses: 2}
		free, err := freeAddresses(loopbackIP(i), 4)
		if err != nil {
			return nil, err
		}
		m.front, m.ready, m.control, m.metric = free[0], free[1], free[2], free[3]
		m.settings, m.log = filepath.Join(dir, m.name+".ini"), filepath.Join(dir, m.name+".log")
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines[:min(3, len(f.machines))] {
		if len(seeds) < 3 {
			seeds = append(seeds, m.control)
		}
	}
	for _, m := range f.machines {
		if err := f.writeSettings(m, store, seeds); err != nil {
			return nil, err
		}
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	f.work.Go(f.probe)
	f.work.Go(f.limitMemory)
	return f, nil
}

// loopbackIP returns a loopback address of a machine's own, so that no outgoing connection of another
// process takes its ports while it is down.
func loopbackIP(i int) string {
	const blocks = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%blocks, 1+os.Getpid()/blocks%blocks, 10+i)
}

func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// writeSettings fills in deploy/settings.ini.template as the platform does, with the figures of a small
// deployment.
func (f *fleet) writeSettings(m *machine, store string, seeds []string) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.ini.template"))
	if err != nil {
		return err
	}
	ip, port, err := net.SplitHostPort(m.metric)
	if err != nil {
		return err
	}
	values := strings.NewReplacer(
		"{{node_name}}", m.name, "{{zone}}", m.zone, "{{limits.cpu_share}}", "0.4",
		"{{limits.memory_mb}}", strconv.Itoa(memoryMB), "{{limits.max_fds}}", "4200",
		"{{bind.front}}", m.front, "{{bind.ready}}", m.ready, "{{bind.control}}", m.control,
		"{{seed_nodes}}", strings.Join(seeds, ","), "{{platform.address}}", store,
		"{{platform.writes_per_s}}", "400", "{{platform.reads_per_s}}", "2000",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_slack}}", "196", "{{bounds.budget_window_s}}", "10",
		"{{bounds.grace_s}}", "8", "{{ip}}", ip, "{{port_range.0}}", port,
	)
	var out strings.Builder
	for _, line := range strings.Split(string(template), "\n") {
		if strings.HasPrefix(line, "{{#") || strings.HasPrefix(line, "{{/") {
			continue // all values of the template's sections are given
		}
		out.WriteString(values.Replace(line) + "\n")
	}
	return os.WriteFile(m.settings, []byte(out.String()), 0o600)
}

// start runs the program with the deploy file's command.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(filepath.Join(f.root, "target", "geraniumcroft"), "relay")
	process.Dir, process.Stdout, process.Stderr = f.root, log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMCROFT_SETTINGS=" + m.settings}
	if err := process.Start(); err != nil {
		return err
	}
	f.run.started(process.Process)
	exited := make(chan struct{})
	go func() {
		_ = process.Wait() // the record shows how it ended
		close(exited)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.exited = process, exited
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s) // it may have ended
}

// kill ends the machine's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	<-exited
}

func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// rssMB returns the resident memory of the machine's process.
func (m *machine) rssMB() int {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(statm)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// limitMemory kills a process that exceeds its memory, and starts it again, as the platform does.
func (f *fleet) limitMemory() {
	const restartDelay = 500 * time.Millisecond
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(memoryPollInterval):
		}
		for _, m := range f.machines {
			rss := m.rssMB()
			if !m.isRunning() || rss <= memoryMB {
				continue
			}
			f.run.note("platform: %s uses %d MB of %d MB and is killed", m.name, rss, memoryMB)
			m.kill()
			m.mu.Lock()
			m.ends++
			m.mu.Unlock()
			f.work.Go(func() {
				time.Sleep(restartDelay)
				if err := f.start(m); err != nil {
					f.run.note("platform: %s not started again: %v", m.name, err)
				}
			})
		}
	}
}

// probe asks each machine whether it is ready, each second.
func (f *fleet) probe() {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range f.machines {
			go func() {
				resp, err := client.Get("http://" + m.ready + "/api/readiness")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.misses++; ok {
					m.misses = 0
				}
			}()
		}
		select {
		case <-f.stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.misses < 2
}

// pick returns the machine to which the platform forwards a new channel of a consumer of a zone.
func (f *fleet) pick(zone string, hash int) *machine {
	var own, ownReady, ready []*machine
	for _, m := range f.machines {
		if m.zone == zone {
			own = append(own, m)
		}
		if !m.inRotation() {
			continue
		}
		ready = append(ready, m)
		if m.zone == zone {
			ownReady = append(ownReady, m)
		}
	}
	candidates := own
	switch {
	case len(ownReady) == 0 && len(ready) > 0:
		candidates = ready
	case 2*len(ownReady) >= len(own):
		candidates = ownReady
	}
	return candidates[hash%len(candidates)]
}

// waitReady waits until all machines are ready.
func (f *fleet) waitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if m.inRotation() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all machines are ready after %s", startTimeout)
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	close(f.stop)
	f.work.Wait()
	for _, m := range f.machines {
		m.kill()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		f.run.note("logs in %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir) // a temporary folder
}
