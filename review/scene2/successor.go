//go:build review

package main

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// leads reports whether the last line about its role in the log of the machine says that it leads.
func (w *world) leads(m *machine) bool {
	text, _ := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
	last := bytes.LastIndex(text, []byte(`"Role changed."`))
	if last < 0 {
		return false
	}
	line, _, _ := bytes.Cut(text[last:], []byte("\n"))
	return bytes.Contains(line, []byte(`"Role":"Leader"`))
}

// successor loses a machine of the core for good and puts another one in its place. Once the new one has
// run for catch_up_s, another machine of the core loses its disk.
func successor(w *world) int {
	core, ok := w.startCore()
	if !ok {
		return cannotRun
	}
	time.Sleep(contactWindow)
	now := core
	if w.trouble {
		gone := -1
		for i, m := range core {
			if w.leads(m) {
				gone = i
			}
		}
		if gone < 0 {
			w.note("no machine leads")
			return cannotRun
		}
		old, second, third := core[gone], core[(gone+1)%3], core[(gone+2)%3]
		w.note("%s is gone for good", old.name)
		w.kill(old)
		next := w.front(4, true, false)
		if err := w.start(next); err != nil {
			return cannotRun
		}
		time.Sleep(catchUp + 100*time.Millisecond)
		w.note("%s is killed and loses its disk", second.name)
		w.kill(second)
		_ = os.RemoveAll(second.dataDir)
		time.Sleep(500 * time.Millisecond)
		w.describe(second, false)
		if err := w.start(second); err != nil {
			return cannotRun
		}
		now = []*machine{second, third, next}
	}
	time.Sleep(12 * time.Second) // recovery_s
	next := configuration(9, 2500)
	if w.replace(next, 9, now, 30*time.Second) == http.StatusOK {
		return w.judge(now, next)
	}
	return w.judge(now, configuration(4, 3000), next)
}
