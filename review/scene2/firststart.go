//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// firstStart kills the process of one machine of the core while the machines start for the first time, and
// starts it again half a second later, as the platform does.
func firstStart(w *world) int {
	for n := 1; n <= 3; n++ {
		w.seeds = append(w.seeds, fmt.Sprintf("%s.%d:%d", w.net, n, controlPort))
	}
	var core []*machine
	for n := 1; n <= 3; n++ {
		core = append(core, w.front(n, true, true))
	}
	for _, m := range core[:2] {
		if err := w.start(m); err != nil {
			return cannotRun
		}
	}
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		w.note("%s is killed", core[0].name)
		w.kill(core[0])
	}
	time.Sleep(50 * time.Millisecond)
	if err := w.start(core[2]); err != nil { // all machines start within 0.3 s of each other
		return cannotRun
	}
	if w.trouble {
		time.Sleep(450 * time.Millisecond)
		w.describe(core[0], false)
		if err := w.start(core[0]); err != nil {
			return cannotRun
		}
	}
	document := configuration(4, 3000)
	acked := w.replace(document, 4, core, 60*time.Second) == http.StatusOK
	if _, err := w.newServer("i-ledger1", 101, func() []*machine { return core }); err != nil {
		return cannotRun
	}
	time.Sleep(contactWindow)
	for i, m := range core {
		w.ask(m, "/read/first", fmt.Sprintf("first-%d", i))
	}
	w.note("version 4 acknowledged: %v", acked)
	return w.judge(core, document)
}
