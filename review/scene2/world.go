//go:build review

// Command scene2 plays the scripted cases of the second review: it starts the programs of the
// deploy file as processes on loopback addresses and stands in for the platform, the operator, the
// servers and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort     = 8005
	readinessPort = 8002
	controlPort   = 8000
	portFrom      = 7700
	portTo        = 7715
	catchUp       = 4 * time.Second
	grace         = 8 * time.Second
	contactWindow = 3 * time.Second
	apiKey        = "kx7p2m9q4v"
	routeHost     = "hulo84.example"
)

// world is one small deployment: machines, their processes, the servers and the record.
type world struct {
	dir     string
	net     string // the first three parts of all addresses
	seeds   []string
	trouble bool

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	closers  []func()
	began    time.Time
}

// machine is a machine with one process of a role.
type machine struct {
	name, ip, zone, settings string
	dataDir                  string
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// newWorld makes a folder for the data and opens the record.
func newWorld(caseDir string) (*world, error) {
	dir, err := os.MkdirTemp("", "scene2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(250))
		if w.isFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// isFree reports whether the ports of the first machine can be listened on.
func (w *world) isFree() bool {
	for _, port := range []int{frontPort, readinessPort, controlPort} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", w.net, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// note writes a line with the time into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// close ends all processes and stand-ins and removes the folder.
func (w *world) close() {
	for _, m := range w.machines {
		w.kill(m)
	}
	for _, f := range w.closers {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// front describes a machine of the class front. disk says whether it has one; first is set at the
// first start of the whole system.
func (w *world) front(n int, disk, first bool) *machine {
	m := &machine{name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("%s.%d", w.net, n), zone: []string{"nord-a", "sahel-a", "sud-a"}[(n-1)%3]}
	if disk {
		m.dataDir = filepath.Join(w.dir, m.name)
	}
	w.describe(m, first)
	w.machines = append(w.machines, m)
	return m
}

// describe writes the settings file of the machine, with the fields that DEPLOY.md shows.
func (w *world) describe(m *machine, first bool) {
	m.settings = filepath.Join(w.dir, m.name+".json")
	limits := map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0}
	zone := m.zone
	fields := map[string]any{
		"node": m.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": m.ip, "zone": zone, "region": strings.TrimSuffix(zone, "-a"), "zones": map[string]string{"nord-a": "nord", "sahel-a": "sahel", "sud-a": "sud"},
		"listen": map[string]string{
			"front":             fmt.Sprintf("%s:%d", m.ip, frontPort),
			"readiness_address": fmt.Sprintf("%s:%d", m.ip, readinessPort),
			"control":           fmt.Sprintf("%s:%d", m.ip, controlPort),
		},
		"port_range": []int{portFrom, portTo}, "seeds": w.seeds, "bootstrap": first, "in_tolerance": m.dataDir != "",
		"limits": limits, "discovery": "registration", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "chunks"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": contactWindow.Milliseconds(), "ack_ms": 4000, "catch_up_s": catchUp.Seconds(),
			"drain_ms": 2000, "grace_s": grace.Seconds(), "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
			"max_stretch_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "retry_ratio": 0.2, "budget_window_s": 10,
			"retry_slack": 108, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
		},
		"config_mode": "highest",
	}
	if m.dataDir != "" {
		limits["disk_mb"] = 64
		fields["data_dir"] = m.dataDir
		_ = os.MkdirAll(m.dataDir, 0o755)
	}
	text, _ := json.Marshal(fields)
	_ = os.WriteFile(m.settings, text, 0o600)
}

// start starts the process of the machine with the command of the deploy file.
func (w *world) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/celeryvalved", "--placed")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CELERYVALVE_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	exited := m.exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	w.note("%s started at %s", m.name, m.ip)
	return nil
}

// endedAlone returns a machine whose process has ended by itself, or nil if there is none: the case can't
// tell anything then.
func (w *world) endedAlone() *machine {
	for _, m := range w.machines {
		if m.cmd == nil {
			continue
		}
		select {
		case <-m.exited:
			return m
		default:
		}
	}
	return nil
}

// kill ends the process at once.
func (w *world) kill(m *machine) {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
	_ = m.cmd.Process.Kill()
	<-m.exited
	m.cmd = nil
}

// stop sends SIGTERM and waits for the end of the process, with SIGKILL after the grace period.
func (w *world) stop(m *machine) {
	w.note("%s gets SIGTERM", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
		w.note("%s has ended", m.name)
	case <-time.After(grace):
		w.note("%s gets SIGKILL after the grace period", m.name)
		w.kill(m)
	}
	m.cmd = nil
}

var httpClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// call sends a call to the control address of a machine. It returns status 0 without an answer.
func call(method, ip, path, body string) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, controlPort, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// configuration returns a whole configuration with this version.
func configuration(version int, timeoutMS int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-post","host":%q,"path_prefix":"/post/","kind":"non_idempotent","timeout_ms":%d,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false,"sticky":false,"resumable":false},`+
		`{"name":"r-read","host":%q,"path_prefix":"/read/","kind":"idempotent","timeout_ms":%d,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false,"sticky":false,"resumable":false}],`+
		`"services":[{"name":"ledger","health_path":"/health","max_conns":54,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"bozi300","api_keys":[%q],"priority":1}]}`, version, routeHost, timeoutMS, routeHost, timeoutMS, apiKey)
}

// replace sends a configuration, again and again to any of the machines, until it gets a clear
// answer or the time is over. It returns the status of that answer, or 0.
func (w *world) replace(document string, version int, machines []*machine, limit time.Duration) int {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		m := machines[n%len(machines)]
		status, body := call(http.MethodPost, m.ip, "/config/replace", document)
		w.note("operator: version %d to %s: %d %s", version, m.name, status, strings.TrimSpace(body))
		if status == http.StatusOK || status == http.StatusBadRequest {
			return status
		}
		time.Sleep(backoff(n))
	}
	return 0
}

// readBack reads the configuration from any of the machines until one answers with 200 or the time
// is over.
func (w *world) readBack(machines []*machine, limit time.Duration) (string, bool) {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		m := machines[n%len(machines)]
		status, body := call(http.MethodGet, m.ip, "/config/get", "")
		w.note("operator: read from %s: %d, %d bytes", m.name, status, len(body))
		if status == http.StatusOK {
			return body, true
		}
		time.Sleep(backoff(n))
	}
	return "", false
}

// backoff returns the pause after the n-th call without a clear answer.
func backoff(n int) time.Duration {
	return min(time.Second, time.Duration(n+1)*100*time.Millisecond)
}

// judge applies the rule on reading back: the configuration comes, it is not older than the newest
// acknowledged one, and it is what was sent. A change without a clear answer may be in force or not.
func (w *world) judge(machines []*machine, acknowledged string, unclear ...string) int {
	read, got := w.readBack(machines, 15*time.Second)
	if m := w.endedAlone(); m != nil {
		w.note("%s has ended by itself", m.name)
		return cannotRun
	}
	switch {
	case !got:
		w.note("the configuration can't be read back from any machine")
		return broken
	case read == acknowledged || slices.Contains(unclear, read):
		return held
	}
	w.note("what is read back is neither the newest acknowledged configuration nor one without a clear answer")
	return broken
}

// isReady reports whether the platform sends channels to the machine.
func isReady(m *machine) bool {
	response, err := httpClient.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// server is a plain server of one service. It reports itself, and keeps what it has run.
type server struct {
	id, address string
	world       *world
	mu          sync.Mutex
	seq         int
	runs        map[string]int
	silent      bool // it leaves, and sends no more heartbeats
}

// newServer starts a server and its heartbeats, which go to the machines in turn.
func (w *world) newServer(id string, n int, machines func() []*machine) (*server, error) {
	s := &server{id: id, address: fmt.Sprintf("%s.%d:8744", w.net, n), world: w, runs: make(map[string]int)}
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.Serve(l) }()
	done := make(chan struct{})
	w.closers = append(w.closers, func() { close(done); _ = h.Close() })
	go func() {
		for i := 0; ; i++ {
			list := machines()
			s.beat(list[i%len(list)], list)
			select {
			case <-done:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return s, nil
}

// beat sends one heartbeat, to the next machine if one does not acknowledge it.
func (s *server) beat(first *machine, list []*machine) {
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		return
	}
	s.seq++
	body := fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"nord-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":%d}`, s.address, s.seq)
	s.mu.Unlock()
	for _, m := range append([]*machine{first}, list...) {
		if status, _ := call(http.MethodPost, m.ip, "/instances/"+s.id+"/heartbeat", body); status/100 == 2 {
			return
		}
	}
}

// stopBeats ends the heartbeats, and waits for one that is on its way.
func (s *server) stopBeats() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
}

// countRuns returns how many requests have run whose ids begin so.
func (s *server) countRuns(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id := range s.runs {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}

// ServeHTTP runs a request that names this server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Celeryvalve-Attempt-Id")
	w.Header().Set("Celeryvalve-Attempt-Id", id)
	w.Header().Set("Celeryvalve-Instance-Load", "1,0,6")
	s.mu.Lock()
	leaving := s.silent
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Celeryvalve-Instance-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if target := r.Header.Get("Celeryvalve-Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.world.note("%s runs %s", s.id, id)
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Celeryvalve-Response-Signature", s.id+"."+id)
	_, _ = w.Write(bytes.Repeat([]byte("x"), 10+len(body)))
}

// ask sends one request of a client to a machine and returns the status, or 0 without an answer.
func (w *world) ask(m *machine, path, id string) int {
	w.note("client sends %s to %s", id, m.name)
	status := w.send(m, path, id)
	w.note("client gets %d for %s", status, id)
	return status
}

func (w *world) send(m *machine, path, id string) int {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), strings.NewReader("body "+id))
	if err != nil {
		return 0
	}
	r.Host = routeHost
	r.Header.Set("Celeryvalve-Attempt-Id", id)
	r.Header.Set("Celeryvalve-Deadline-Remaining", "3000")
	r.Header.Set("Api-Key", apiKey)
	client := &http.Client{Timeout: 3 * time.Second, Transport: httpClient.Transport}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
