//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	drainTime = 2000 * time.Millisecond // drain_ms
	// leavers is how many runners leave, one after the other.
	leavers = 12
	// lingers is how long a runner serves beyond drain_ms: "a little longer (at times many seconds)".
	lingers = 1500 * time.Millisecond
)

// ackedLeave: a runner leaves. As some do, it sends its deregistration first, and serves on for
// drain_ms after the confirmation and a little longer. The machine that confirms, one without a
// disk, is killed right after that. The other machines go on with their consumers' requests.
func ackedLeave(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	const service = "records"
	if _, err := startRunner(f, "i-4a00b7c1d2", service, f.address(), zones[0], 0, false); err != nil {
		return false, err
	}
	routes := []route{plainRoute("r-1", "jepu9.example", "/records/", service, "idempotent")}
	if err := f.declare(configuration(1, routes, []map[string]any{plainService(service)}, 16384)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	total := 0
	for i := range leavers {
		u, err := startRunner(f, fmt.Sprintf("i-b%x57c2e901", i), service, f.address(), zones[1], 0, false)
		if err != nil {
			return false, err
		}
		// All machines have been in touch for longer than contact_window_ms.
		time.Sleep(contactWindow + 500*time.Millisecond)
		plain := f.machines[len(zones):]
		late, err := leave(f, u, plain[i%len(plain)], trouble)
		if err != nil {
			return false, err
		}
		total += late
		if late > 0 {
			break
		}
	}
	f.record.add("result", "%d requests reached runners later than drain_ms after the confirmation; DRAIN broken: %t", total, total > 0)
	fmt.Printf("%d requests reached runners later than drain_ms after the confirmation\n", total)
	return total > 0, nil
}

// leave has the runner leave by way of a machine, and returns how many requests from the machines
// of the core reach it later than drain_ms after the confirmation.
func leave(f *fleet, u *runner, m *machine, trouble bool) (int, error) {
	u.cancel() // it sends no heartbeat any more
	conn, err := net.DialTimeout("tcp4", m.control(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /instances/%s/deregister HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", u.id, m.control()); err != nil {
		return 0, err
	}
	answer := make([]byte, 15)
	_, err = conn.Read(answer)
	confirmed := time.Now()
	if trouble {
		m.signal(syscall.SIGKILL)
	}
	killed := time.Since(confirmed)
	f.record.add("runner", "%s deregisters at %s -> %q", u.id, m.name, answer)
	if err != nil || string(answer) != "HTTP/1.1 200 OK" {
		return 0, errors.New("the deregistration was not confirmed")
	}
	if trouble {
		f.record.add("platform", "kills %s %s after the confirmation", m.name, killed)
		m.wait()
		time.Sleep(500 * time.Millisecond)
		if err := f.start(m); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(confirmed.Add(drainTime)))
	u.mu.Lock()
	before := u.runs
	u.mu.Unlock()
	served := 0
	for i := 0; time.Since(confirmed) < drainTime+lingers; i++ {
		if f.send(f.core()[i%len(f.core())], http.MethodGet, "jepu9.example", "/records/2f", 3*time.Second, nil).served() {
			served++
		}
		time.Sleep(30 * time.Millisecond)
	}
	u.mu.Lock()
	late := u.runs - before
	u.mu.Unlock()
	_ = u.server.Close()
	if served == 0 {
		return 0, errors.New("no request was served")
	}
	f.record.add("runner", "%s exits; %d requests reached it later than drain_ms after the confirmation", u.id, late)
	return late, nil
}
