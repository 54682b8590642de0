package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vm is one process of the product, started with the command of the deploy file.
type vm struct {
	name                           string
	dir                            string
	settings                       string
	callers, ready, metrics, peers string
	process                        *exec.Cmd
	exited                         chan struct{}
}

// ownIP returns a loopback address of one VM or stand-in of this process.
func ownIP(i int) string {
	const blocks = 250
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%blocks, 1+os.Getpid()/blocks%blocks, 10+i)
}

// freeAddresses returns n addresses of an IP whose ports are free.
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

// newVMs writes the settings of n VMs, as the template of the deploy file would have them for a small installation.
// The VMs are spread over the data centres.
func newVMs(dir, store string, n int, dataCentres []string, firstStart bool) ([]*vm, error) {
	vms := make([]*vm, n)
	for i := range vms {
		free, err := freeAddresses(ownIP(i), 4)
		if err != nil {
			return nil, err
		}
		vms[i] = &vm{
			name: fmt.Sprintf("front-%d", i+1), dir: dir, settings: filepath.Join(dir, fmt.Sprintf("front-%d.ini", i+1)),
			callers: free[0], ready: free[1], metrics: free[2], peers: free[3],
		}
	}
	var seeds []string
	for _, v := range vms[:min(3, n)] {
		seeds = append(seeds, v.peers)
	}
	for i, v := range vms {
		first := ""
		if firstStart {
			first = "first_start = true\n"
		}
		text := fmt.Sprintf(`[vm]
name = %s
data_centre = %s
%scores = 0.4
memory_mb = 284
max_handles = 4200
max_pressure = 0.25

[callers]
address = %s
max_header_bytes = 65536
read_timeout = 10s
idle_timeout = 60s

[ready]
address = %s

[peers]
address = %s
seeds = %s

[platform]
store = %s
writes_per_second = 400
reads_per_second = 2000

[retries]
share = 0.2
slack = 196
window = 10s

[shutdown]
grace = 8s

[metrics]
address = %s
`, v.name, dataCentres[i%len(dataCentres)], first, v.callers, v.ready, v.peers, strings.Join(seeds, ","), store, v.metrics)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// start starts the process. Its log goes to a file in the temporary folder.
func (v *vm) start(program string) error {
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command(program, "relay")
	v.process.Env = append(os.Environ(), "GERANIUMCROFT_SETTINGS="+v.settings)
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), v.process
	v.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Signal(syscall.SIGKILL)
	<-v.exited
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all VMs are ready.
func waitReady(vms []*vm, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(vms) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d VMs ready after %s", ready, len(vms), limit)
		}
	}
}
