package imitator

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
)

// Process is what every life of an engine or service is made with. A new one is
// made at each start; its switch and history outlive it.
type Process struct {
	clock   clockwork.Clock
	sw      *Switch
	history *History
	crash   func()
	crashed atomic.Bool
}

// NewProcess returns one life of a stand-in. crash must cut off its connections.
func NewProcess(clock clockwork.Clock, sw *Switch, history *History, crash func()) *Process {
	return &Process{clock: clock, sw: sw, history: history, crash: crash}
}

func (p *Process) route(router *mux.Router) {
	router.Handle("/misbehave", p.sw).Methods(http.MethodGet, http.MethodPost)
	router.Handle("/runs", p.history).Methods(http.MethodGet)
}

// die ends the life and does not return.
func (p *Process) die(run int) {
	p.history.End(run, Crashed)
	p.crashed.Store(true)
	p.crash()
	panic(http.ErrAbortHandler)
}

// finish records the ending of a run that may have been cut off.
func (p *Process) finish(r *http.Request, run int) {
	switch {
	case p.crashed.Load():
		p.history.End(run, Crashed)
	case r.Context().Err() != nil:
		p.history.End(run, Cancelled)
	default:
		p.history.End(run, Answered)
	}
}
