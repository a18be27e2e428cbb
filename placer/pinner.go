package placer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/platform"
)

const (
	// pinTimeout limits one attempt to pin a release.
	pinTimeout = 3 * time.Second
	// pinRetryDelay is the delay after a failed attempt.
	pinRetryDelay = 300 * time.Millisecond
	// matchingReads is how many equal copies of a manifest must be read in a row
	// before it is pinned: the origin may corrupt one of them.
	matchingReads = 2
	// maxManifestReads bounds the reads of one attempt, whose copies may all differ.
	maxManifestReads = 8
)

// pinner proposes the digests of each named release, so that they are pinned. It is
// used on the leader.
type pinner struct {
	log     *zap.Logger
	origins originCache

	mu      sync.Mutex
	pinning bool
}

func newPinner(log *zap.Logger) *pinner {
	return &pinner{log: log.Named("pinner")}
}

// startPinning starts to pin one release that has no digests yet, unless an attempt is
// in progress.
func (p *pinner) startPinning(ctx context.Context, node *replicaNode) {
	declared := node.state.Declared()
	followed := declared.Followed()
	for model, release := range declared.Releases {
		if _, ok := release.Pin(release.Wanted); ok || !slices.Contains(followed, model) {
			continue
		}
		p.mu.Lock()
		alreadyPinning := p.pinning
		p.pinning = true
		p.mu.Unlock()
		if !alreadyPinning {
			go p.pinRelease(ctx, node, declared.Declaration, model, release.Wanted)
		}
		return
	}
}

func (p *pinner) pinRelease(ctx context.Context, node *replicaNode, declaration declarer.Declaration, model identifier.Model, n declarer.ReleaseNumber) {
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	started := time.Now()
	pinned, err := p.readDigests(ctx, declaration, model, n)
	read := time.Since(started)
	if err == nil {
		var data []byte
		data, err = declarer.EncodeCommand(&declarer.PinRelease{Model: model, Pinned: pinned})
		if err == nil {
			_, err = node.coordinator.Propose(ctx, data)
		}
	}
	log := p.log.With(zap.String("model", string(model)), zap.Uint64("release", uint64(n)))
	if err == nil {
		log.Info("Pinned a release.", zap.Duration("read", read), zap.Duration("after", time.Since(started)))
	} else {
		log.Warn("Can't pin a release yet.", zap.Error(err))
		time.Sleep(pinRetryDelay)
	}
	p.mu.Lock()
	p.pinning = false
	p.mu.Unlock()
}

func (p *pinner) readDigests(ctx context.Context, d declarer.Declaration, model identifier.Model, n declarer.ReleaseNumber) (declarer.Pinned, error) {
	origin, err := p.origins.client(d)
	if err != nil {
		return declarer.Pinned{}, err
	}
	return readManifest(ctx, origin, model, n)
}

// readManifest reads the manifest until matchingReads copies in a row are equal, at most
// maxManifestReads times. The first copies are read at once: the origin may be lost soon.
func readManifest(ctx context.Context, origin *platform.OriginClient, model identifier.Model, n declarer.ReleaseNumber) (declarer.Pinned, error) {
	copies := make([]declarer.Pinned, matchingReads)
	var group errgroup.Group
	for i := range copies {
		group.Go(func() (err error) {
			copies[i], err = origin.Manifest(ctx, model, n)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return declarer.Pinned{}, err
	}
	last, matches := copies[0], 1
	for _, next := range copies[1:] {
		last, matches = compareManifest(last, next, matches)
	}
	for range maxManifestReads - matchingReads {
		if matches == matchingReads {
			break
		}
		next, err := origin.Manifest(ctx, model, n)
		if err != nil {
			return next, err
		}
		last, matches = compareManifest(last, next, matches)
	}
	if matches < matchingReads {
		return declarer.Pinned{}, explainer.New(explainer.Corrupt, fmt.Sprintf("no %d of %d manifests in a row are equal", matchingReads, maxManifestReads), "check the origin")
	}
	return last, nil
}

// compareManifest returns the copy that was read last, and how many equal ones were read
// in a row.
func compareManifest(last, next declarer.Pinned, matches int) (declarer.Pinned, int) {
	if next.ChunkSize == last.ChunkSize && slices.Equal(next.Digests, last.Digests) {
		return next, matches + 1
	}
	return next, 1
}
