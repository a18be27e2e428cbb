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

const maxStateSize = 1 << 20

// upstreamState holds the fields of the response to GET /state that the executor uses.
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
		failures = x.probeAndCount(failures)
		select {
		case <-ticker.Chan():
		case <-x.ctx.Done():
			return
		}
	}
}

// probeAndCount probes once and returns the number of consecutive failures. The
// upstream counts as unreachable after maxFailedProbes failures, or at once if it
// refuses the connection.
func (x *Executor) probeAndCount(failures int) int {
	state, err := x.probe()
	if err == nil {
		x.recordState(state)
		return 0
	}
	failures++
	if isConnectionRefused(err) || failures >= maxFailedProbes {
		x.recordUnreachable(err)
	}
	return failures
}

// detectCrash probes once and records a crash if the upstream refuses the connection.
func (x *Executor) detectCrash() {
	if _, err := x.probe(); isConnectionRefused(err) {
		x.recordUnreachable(err)
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
	resp, err := x.pooledClient.Do(req)
	if err != nil {
		return state, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return state, explainer.New(explainer.Unavailable, fmt.Sprintf("GET /state answered %d", resp.StatusCode),
			"check the upstream, or set ReportsLoad to false")
	}
	return state, json.NewDecoder(io.LimitReader(resp.Body, maxStateSize)).Decode(&state)
}

// recordState applies the result of a successful probe.
func (x *Executor) recordState(state upstreamState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.upstreamReady = state.Ready
	x.updateReady(false)
	if x.cfg.ReportsLoad {
		x.reduce(admitter.LoadObserved{Running: state.Load.Running, Waiting: state.Load.Waiting})
	}
}

// recordUnreachable records that the upstream can't be reached. If it was ready and
// now refuses the connection, its process has ended, which counts as a crash.
func (x *Executor) recordUnreachable(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.upstreamReady {
		x.logger.Warn("The upstream can't be reached.", zap.Error(err))
	}
	crashed := x.upstreamReady && isConnectionRefused(err)
	x.upstreamReady = false
	x.updateReady(crashed)
}

// updateReady passes a change of readiness or a crash to the reducer. mu is held.
func (x *Executor) updateReady(crashed bool) {
	ready := x.upstreamReady && !x.gateClosed
	if ready == x.ready && !crashed {
		return
	}
	x.ready = ready
	x.reduce(admitter.UpstreamChanged{Ready: ready, Crashed: crashed})
}
