//go:build review

// Command harness plays the cases of the review: it starts the programs of the deploy file as
// processes on loopback addresses, and the stand-ins of runners, consumers, operator and
// platform around them.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines of a run, and bounds as in the settings of a small installation.
const (
	frontPort     = 8005
	readinessPort = 8002
	controlPort   = 8000
	firstPort     = 7700

	configMS        = 2000
	contactWindow   = 3 * time.Second
	heartbeatMS     = 1200
	fleetStartLimit = 25 * time.Second
)

var zones = []string{"hobart-hall-a", "lton-hall-b", "burnie-hall-c"}

var regions = map[string]string{"hobart-hall-a": "hobart", "lton-hall-b": "launceston", "burnie-hall-c": "burnie"}

// machine is a front of the installation.
type machine struct {
	name, ip, zone string
	disk           bool
	settings, data string
	first          bool

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (m *machine) front() string     { return net.JoinHostPort(m.ip, fmt.Sprint(frontPort)) }
func (m *machine) control() string   { return net.JoinHostPort(m.ip, fmt.Sprint(controlPort)) }
func (m *machine) readiness() string { return net.JoinHostPort(m.ip, fmt.Sprint(readinessPort)) }

// fleet is the installation: the machines and the folder of their files.
type fleet struct {
	root, folder, subnet string
	record               *record
	machines             []*machine
	// next is the last part of the last stand-in's address.
	next int

	mu sync.Mutex
	// closed is set once the run is over: nothing is started any more.
	closed bool
}

// newFleet lays out machines on a loopback network of which the ports are free: one machine
// with a disk in each zone, and plain more without.
func newFleet(root string, rec *record, plain int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: rec, next: 100}
	for b := range 200 {
		f.subnet = fmt.Sprintf("127.%d.%d.", 60+(os.Getpid()+b)%100, (os.Getpid()/100+b)%250)
		if f.isFree() {
			break
		}
	}
	for i := range len(zones) + plain {
		zone := zones[i%len(zones)]
		m := &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s%d", f.subnet, 11+i),
			disk: i < len(zones), first: true,
		}
		m.settings = filepath.Join(folder, m.name+".json")
		if m.disk {
			m.data = filepath.Join(folder, m.name)
			if err := os.MkdirAll(m.data, 0o700); err != nil {
				return nil, err
			}
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (f *fleet) isFree() bool {
	for i := range 12 {
		for _, port := range []int{frontPort, readinessPort, controlPort, firstPort, 9464} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", f.subnet, 11+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// address returns an address for a stand-in.
func (f *fleet) address() string {
	f.next++
	return fmt.Sprintf("%s%d:8744", f.subnet, f.next)
}

func (f *fleet) core() []*machine { return f.machines[:len(zones)] }

// writeSettings writes the settings file of a machine as the platform does.
func (f *fleet) writeSettings(m *machine) error {
	var seeds []string
	for _, c := range f.core() {
		seeds = append(seeds, c.control())
	}
	serves := []string{"front", "control"}
	share, memory := 0.304, 284
	limits := map[string]any{"cpu_share": share, "cores": 1, "memory_mb": memory, "max_fds": 4100, "link_mbps": 1000.0}
	s := map[string]any{
		"node": m.name, "role": "entry", "machine_class": "front", "serves": serves, "ip": m.ip, "zone": m.zone,
		"region": regions[m.zone], "zones": regions,
		"listen":     map[string]string{"front": m.front(), "readiness_address": m.readiness(), "control": m.control()},
		"port_range": []int{firstPort, firstPort + 15}, "seeds": seeds, "bootstrap": m.first, "in_tolerance": m.disk,
		"limits": limits, "data_dir": nil, "discovery": "registration", "entry": "vip", "heartbeat_ms": heartbeatMS,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "chunks"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_ms": configMS, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"strict_revoke": false, "revoke_ms": 5000, "retry_ratio": 0.2, "budget_window_s": 10, "retry_slack": 112,
			"recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
		},
		"config_mode": "highest",
	}
	if m.disk {
		limits["cpu_share"], limits["disk_mb"] = 0.72, 64
		s["data_dir"] = m.data
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errors.New("the run is over")
	}
	if err := f.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(f.root, "target/celeryvalved"), "--placed")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CELERYVALVE_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, whatever becomes of it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd = cmd
	m.mu.Unlock()
	m.first = false
	f.record.add("platform", "starts %s as process %d", m.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine. It does not wait.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// wait waits until the process of a machine has ended.
func (m *machine) wait() {
	m.mu.Lock()
	cmd := m.cmd
	m.cmd = nil
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// close ends all processes and removes the files.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
		m.signal(syscall.SIGCONT)
	}
	for _, m := range f.machines {
		m.wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// startAll starts all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all machines answer the platform's question with 200.
func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, m := range f.machines {
		for deadline := time.Now().Add(fleetStartLimit); ; time.Sleep(100 * time.Millisecond) {
			response, err := client.Get("http://" + m.readiness() + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
		}
	}
	return nil
}
