package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/platform"
)

const (
	// pinTimeout bounds one try to pin a release.
	pinTimeout = 3 * time.Second
	// pinPause is the pause after a try that failed.
	pinPause = 300 * time.Millisecond
	// manifestReads is how many equal copies of a manifest are pinned: the origin
	// may spoil one of them.
	manifestReads = 2
)

// pinner has the leader pin the digests of each release that is named.
type pinner struct {
	log     *zap.Logger
	origins origins

	mu   sync.Mutex
	busy bool
}

func newPinner(log *zap.Logger) *pinner {
	return &pinner{log: log.Named("pinner")}
}

// pin begins to pin the first release that lacks its digests.
func (p *pinner) pin(ctx context.Context, d *disk) {
	declared := d.state.Declared()
	for model, release := range declared.Releases {
		if _, ok := release.Pin(release.Wanted); ok {
			continue
		}
		p.mu.Lock()
		busy := p.busy
		p.busy = true
		p.mu.Unlock()
		if !busy {
			go p.try(ctx, d, declared.Declaration, model, release.Wanted)
		}
		return
	}
}

func (p *pinner) try(ctx context.Context, d *disk, in declarer.Declaration, model identifier.Model, n declarer.ReleaseNumber) {
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	pinned, err := p.read(ctx, in, model, n)
	if err == nil {
		var data []byte
		data, err = declarer.EncodeCommand(&declarer.PinRelease{Model: model, Pinned: pinned})
		if err == nil {
			_, err = d.coordinator.Propose(ctx, data)
		}
	}
	log := p.log.With(zap.String("model", string(model)), zap.Uint64("release", uint64(n)))
	if err == nil {
		log.Info("Pinned a release.")
	} else {
		log.Warn("Can't pin a release yet.", zap.Error(err))
		time.Sleep(pinPause)
	}
	p.mu.Lock()
	p.busy = false
	p.mu.Unlock()
}

func (p *pinner) read(ctx context.Context, d declarer.Declaration, model identifier.Model, n declarer.ReleaseNumber) (declarer.Pinned, error) {
	origin, err := p.origins.declared(d)
	if err != nil {
		return declarer.Pinned{}, err
	}
	return readManifest(ctx, origin, model, n)
}

// readManifest reads the manifest until copies in a row are equal.
func readManifest(ctx context.Context, origin *platform.Origin, model identifier.Model, n declarer.ReleaseNumber) (declarer.Pinned, error) {
	var last declarer.Pinned
	for equal := 0; equal < manifestReads; {
		pinned, err := origin.Manifest(ctx, model, n)
		if err != nil {
			return pinned, err
		}
		if equal > 0 && pinned.ChunkSize == last.ChunkSize && slices.Equal(pinned.Digests, last.Digests) {
			equal++
			continue
		}
		last, equal = pinned, 1
	}
	return last, nil
}
