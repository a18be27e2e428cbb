package placer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/puller"
	"celeryvalve/stager"
)

const (
	// agentRemoteDelay is longer than the caches of a region need to notice that its
	// mirrors lack a chunk, so that they fetch it from another region for all agents.
	agentRemoteDelay = 1500 * time.Millisecond
	// localMirrorAttempts and localMirrorRetryDelay limit the wait for a mirror in
	// this region.
	localMirrorAttempts   = 12
	localMirrorRetryDelay = 50 * time.Millisecond
	// fallbackDelay is how long no chunk of the wanted release may arrive before an empty
	// engine is given the release before it.
	fallbackDelay = 700 * time.Millisecond
	// fallbackMargin is how long before the end of its time an earlier release is still
	// worth its transfer, which takes half of it on a link of 8 Mbit/s.
	fallbackMargin = 4 * time.Second
)

// pull is the transfer of one release to this instance.
type pull struct {
	target target
	puller *puller.Puller
	cancel context.CancelFunc
	// running is set until the transfer ends.
	running bool
	// chunks holds the chunks by digest, or is nil until all have arrived.
	chunks map[identifier.Digest][]byte
	// held is how many chunks had arrived at progressedAt.
	held         int
	progressedAt time.Time
}

// progress returns which part of the chunks has arrived.
func (p *pull) progress() float64 {
	if p.chunks != nil {
		return 1
	}
	return float64(p.held) / float64(len(p.target.pinned.Digests))
}

// update notes the chunks that have arrived since the last call.
func (p *pull) update(now time.Time) {
	if held := p.puller.Held(); held > p.held {
		p.held, p.progressedAt = held, now
	}
}

// cancelPulls ends the transfers of releases other than target and earlier, since another one
// is wanted. The chunks of these two are kept, so that an engine that loses its weights has
// them at once. An empty engine needs target soonest. The caller holds a.mu.
func (a *agent) cancelPulls(empty bool) {
	for n, p := range a.pulls {
		if n == a.target.pinned.Number || (n == a.earlier && (!empty || !p.running)) {
			continue
		}
		if p.running {
			p.cancel()
		}
		delete(a.pulls, n)
	}
}

// chunksOf returns a release and its chunks, or no chunks if they are not all here.
func (a *agent) chunksOf(n declarer.ReleaseNumber) (target, map[identifier.Digest][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pulls[n]
	if p == nil {
		return target{pinned: declarer.Pinned{Number: n}}, nil
	}
	return p.target, p.chunks
}

// ensurePull starts the transfer of t unless it is running or complete. The caller holds
// a.mu.
func (a *agent) ensurePull(t target) {
	if p := a.pulls[t.pinned.Number]; p != nil && (p.running || p.chunks != nil) {
		p.update(a.clock.Now())
		return
	}
	manifest, err := manifestOf(t.model, t.pinned)
	if err != nil {
		a.log.Error("Can't build the manifest of a pinned release.", zap.Error(err))
		return
	}
	a.log.Info("Release is wanted.", zap.String("model", string(t.model)), zap.Uint64("release", uint64(t.pinned.Number)))
	ctx, cancel := context.WithCancel(a.ctx)
	p := &pull{
		target:       t,
		puller:       newPuller(a.placement, agentRemoteDelay, a.clock, a.log),
		cancel:       cancel,
		running:      true,
		progressedAt: a.clock.Now(),
	}
	a.pulls[t.pinned.Number] = p
	// If no origin is declared, only the mirrors are asked.
	origin, _ := a.origins.client(a.view.Declared().Declaration)
	known := sources{placement: a.placement, spreader: a.spreader, endpoint: a.endpoint, clock: a.clock, isIdle: a.idle.Load}
	a.work.Go(func() {
		a.awaitLocalMirror(ctx)
		chunks, err := p.puller.Pull(ctx, puller.Task{
			Release: t.pinned,
			Sources: func() []puller.Source { return known.of(origin, t.model, manifest.Digest()) },
		})
		defer a.reconciler.Trigger()
		a.mu.Lock()
		defer a.mu.Unlock()
		p.running = false
		if err == nil {
			p.chunks = chunks
		}
		a.log.Info("Release has come.", zap.Uint64("release", uint64(t.pinned.Number)), zap.Error(err))
	})
}

// ensureFallback starts the transfer of the release before the wanted one if the engine is
// empty and the wanted one does not arrive, as while the origin is unavailable, and ends
// it once it is of no more use. The caller holds a.mu.
func (a *agent) ensureFallback(release declarer.Release, report stager.Report) {
	wanted := a.pulls[a.target.pinned.Number]
	earlier, ok := release.Pin(a.earlier)
	if wanted == nil || !ok || report.Release != 0 {
		return
	}
	if wanted.chunks != nil {
		if p := a.pulls[earlier.Number]; p != nil && p.running {
			p.cancel()
		}
		return
	}
	now := a.clock.Now()
	left := a.placement.Bounds.ReleaseDeadline - now.Sub(release.WantedSince(earlier.Number))
	if left >= fallbackMargin && now.Sub(wanted.progressedAt) >= fallbackDelay {
		a.ensurePull(target{model: a.target.model, pinned: earlier})
	}
}

// chooseGoal returns the release that the engine should load now: the wanted one, or the
// one before it while an empty engine can have that and not the wanted one, or while that
// serves until the wanted one is there. The caller holds a.mu.
func (a *agent) chooseGoal(report stager.Report) stager.Wanted {
	n := a.target.pinned.Number
	wanted, earlier := a.pulls[n], a.pulls[a.earlier]
	if report.Release == 0 && earlier != nil && earlier.chunks != nil && (wanted == nil || wanted.chunks == nil) {
		return earlier.goal()
	}
	if a.bridging {
		return earlier.goal()
	}
	if wanted == nil {
		return stager.Wanted{Release: n}
	}
	return wanted.goal()
}

// goal returns the release of the pull as one that the engine should load.
func (p *pull) goal() stager.Wanted {
	return stager.Wanted{Release: p.target.pinned.Number, Held: p.chunks != nil, HeldFraction: p.progress()}
}

// awaitLocalMirror waits briefly until a mirror in this region is known. After a start
// of the whole system the replicas learn of each other gradually, and a copy from
// another region takes capacity of a slow link between regions.
func (a *agent) awaitLocalMirror(ctx context.Context) {
	for range localMirrorAttempts {
		unknown := false
		for _, addr := range a.spreader.ReplicaAddresses() {
			region := a.spreader.RegionOf(addr)
			if region == a.placement.Region {
				return
			}
			unknown = unknown || region == ""
		}
		if !unknown {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-a.clock.After(localMirrorRetryDelay):
		}
	}
}
