package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"go.uber.org/zap"

	"celeryvalve/admitter"
	"celeryvalve/explainer"
)

const maxState = 1 << 20

// upstreamState is the part of GET /state that is read here.
type upstreamState struct {
	Ready bool
	Load  struct {
		Running int
		Waiting int
	}
}

func (x *Executor) probeLoop() {
	defer x.work.Done()
	ticker := x.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		failures = x.probeCounted(failures)
		select {
		case <-ticker.Chan():
		case <-x.ctx.Done():
			return
		}
	}
}

// probeCounted probes once and returns the number of failures in a row.
func (x *Executor) probeCounted(failures int) int {
	state, err := x.probe()
	if err == nil {
		x.noteUp(state)
		return 0
	}
	failures++
	if isRefused(err) || failures >= maxFailedProbes {
		x.noteDown(err)
	}
	return failures
}

// probeOnce finds out whether the upstream crashed.
func (x *Executor) probeOnce() {
	if _, err := x.probe(); isRefused(err) {
		x.noteDown(err)
	}
}

func (x *Executor) probe() (upstreamState, error) {
	ctx, cancel := context.WithTimeout(x.ctx, probeTimeout)
	defer cancel()
	if x.cfg.ReportsLoad {
		return x.readState(ctx)
	}
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", x.cfg.Address.String())
	if err != nil {
		return upstreamState{}, err
	}
	return upstreamState{Ready: true}, conn.Close()
}

func (x *Executor) readState(ctx context.Context) (upstreamState, error) {
	var state upstreamState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/state", x.cfg.Address), nil)
	if err != nil {
		return state, err
	}
	resp, err := x.shared.Do(req)
	if err != nil {
		return state, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return state, explainer.New(explainer.Unavailable, fmt.Sprintf("GET /state answered %d", resp.StatusCode),
			"check the upstream, or set ReportsLoad to false")
	}
	return state, json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&state)
}

func (x *Executor) noteUp(state upstreamState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up = state.Ready
	x.changeReady(false)
	if x.cfg.ReportsLoad {
		x.reduce(admitter.LoadObserved{Running: state.Load.Running, Waiting: state.Load.Waiting})
	}
}

// noteDown takes in that the upstream can't be reached. A refused connection
// means that its process ended.
func (x *Executor) noteDown(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.up {
		x.logger.Warn("The upstream can't be reached.", zap.Error(err))
	}
	crashed := x.up && isRefused(err)
	x.up = false
	x.changeReady(crashed)
}

// changeReady tells the reducer when readiness changed. mu is held.
func (x *Executor) changeReady(crashed bool) {
	ready := x.up && !x.gated
	if ready == x.ready && !crashed {
		return
	}
	x.ready = ready
	x.reduce(admitter.UpstreamChanged{Ready: ready, Crashed: crashed})
}
