//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// startCore starts the three machines of the core and has the first configuration acknowledged.
func (w *world) startCore() ([]*machine, bool) {
	for n := 1; n <= 3; n++ {
		w.seeds = append(w.seeds, fmt.Sprintf("%s.%d:%d", w.net, n, controlPort))
	}
	var core []*machine
	for n := 1; n <= 3; n++ {
		core = append(core, w.front(n, true, true))
	}
	for _, m := range core {
		if err := w.start(m); err != nil {
			w.note("can't start %s: %v", m.name, err)
			return nil, false
		}
	}
	return core, w.replace(configuration(4, 3000), 4, core, 15*time.Second) == http.StatusOK
}

// replacements replaces two machines of the core one after the other, as planned work: both
// successors run for longer than catch_up_s before the first of the old machines is stopped, and the
// second is stopped only when the first has ended.
func replacements(w *world) int {
	core, ok := w.startCore()
	if !ok {
		return cannotRun
	}
	now := core
	if _, err := w.newServer("i-ledger1", 101, func() []*machine { return now }); err != nil {
		w.note("can't start a server: %v", err)
		return cannotRun
	}
	time.Sleep(contactWindow)
	if w.trouble {
		var successors []*machine
		for n := 4; n <= 5; n++ {
			m := w.front(n, true, false)
			if err := w.start(m); err != nil {
				return cannotRun
			}
			successors = append(successors, m)
		}
		time.Sleep(catchUp + 2*time.Second)
		for _, m := range successors {
			if _, got := w.readBack([]*machine{m}, 2*time.Second); !got {
				w.note("%s does not know the core", m.name)
				return cannotRun
			}
		}
		now = append(core[2:3:3], successors...)
		for _, old := range core[:2] {
			w.stop(old)
		}
	}
	// recovery_s is 12 s and contact_window_ms 3 s: every bound is over after that.
	time.Sleep(contactWindow)
	for i := range 10 {
		m := now[i%len(now)]
		w.ask(m, fmt.Sprintf("/read/%d", i), fmt.Sprintf("%016x", i+1))
	}
	next := configuration(9, 2500)
	if w.replace(next, 9, now, 30*time.Second) == http.StatusOK {
		return w.judge(now, next)
	}
	return w.judge(now, configuration(4, 3000), next)
}
