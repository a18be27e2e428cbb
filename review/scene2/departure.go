//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	drainTime     = 2 * time.Second // drain_ms
	longestFreeze = 4 * time.Second // for_s of node_freeze on the site
)

// departure has a server leave: it deregisters, is confirmed, and goes on serving for some seconds. One
// front without a disk stands still meanwhile, and all processes of the core are killed and started again.
func departure(w *world) int {
	core, ok := w.startCore()
	if !ok {
		return cannotRun
	}
	other := w.front(4, false, false)
	if err := w.start(other); err != nil {
		return cannotRun
	}
	all := append(core[:3:3], other)
	var servers []*server
	for i := range 2 {
		s, err := w.newServer(fmt.Sprintf("i-ledger%d", i+1), 101+i, func() []*machine { return all })
		if err != nil {
			w.note("can't start a server: %v", err)
			return cannotRun
		}
		servers = append(servers, s)
	}
	leaving := servers[0]
	time.Sleep(2 * contactWindow)
	for i := range 12 {
		if status := w.ask(all[i%4], "/read/before", fmt.Sprintf("before-%d", i)); status != http.StatusOK {
			w.note("client: %d before the disruption", status)
			return cannotRun
		}
	}
	frozen := time.Now()
	if w.trouble {
		w.note("%s stands still", other.name)
		frozen = time.Now()
		_ = other.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
	}
	leaving.stopBeats()
	status, _ := call(http.MethodPost, core[0].ip, "/instances/"+leaving.id+"/deregister", "")
	confirmed := time.Now()
	w.note("%s deregisters at %s: %d", leaving.id, core[0].name, status)
	if status != http.StatusOK {
		return cannotRun
	}
	if w.trouble {
		time.Sleep(300 * time.Millisecond)
		w.note("all processes of the core are killed")
		for _, m := range core {
			w.kill(m)
		}
		for _, m := range core {
			w.describe(m, false)
			if err := w.start(m); err != nil {
				return cannotRun
			}
		}
		time.Sleep(3100 * time.Millisecond)
		w.note("%s goes on", other.name)
		_ = other.cmd.Process.Signal(syscall.SIGCONT)
		if stood := time.Since(frozen); stood > longestFreeze {
			w.note("it stood still for %v, more than the site has", stood)
			return cannotRun
		}
	}
	// Every machine is in touch again contact_window_ms after the last event.
	time.Sleep(contactWindow + 200*time.Millisecond)
	from := time.Now()
	w.note("%.1f s after the confirmation all machines are in touch", from.Sub(confirmed).Seconds())
	answered := 0
	var ready []*machine
	for _, m := range all {
		if isReady(m) {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 || w.endedAlone() != nil {
		return cannotRun
	}
	for i := 0; time.Since(from) < 3*time.Second; i++ {
		if w.ask(ready[i%len(ready)], "/read/after", fmt.Sprintf("after-%d", i)) == http.StatusOK {
			answered++
		}
	}
	late := leaving.countRuns("after-")
	w.note("%d requests answered since then; %d ran on %s, later than %v after it was confirmed to have left", answered, late, leaving.id, drainTime)
	if late > 0 {
		return broken
	}
	return held
}
