package fetcher

import (
	"cmp"
	"slices"
	"time"

	"celeryvalve/identifier"
)

// Progress is the state of a transfer as operators see it.
type Progress struct {
	Manifest      identifier.Digest
	Name          Name
	WeightVersion identifier.WeightVersion
	Stage         Stage
	Paused        bool
	Chunks        int
	ChunksHeld    int
	Size          identifier.ByteCount
	SizeHeld      identifier.ByteCount
	FromOrigin    identifier.ByteCount
	FromPeers     identifier.ByteCount
	Reused        identifier.ByteCount
	// Regrants is how many chunks were granted again because they were lost.
	Regrants int
	Rate     identifier.BytesPerSecond
	// Remaining is the estimated time to completion, or 0 if it is not known.
	Remaining      time.Duration
	SourceFailures []SourceFailures
	Problem        string
}

// SourceFailures counts the failures of one source.
type SourceFailures struct {
	Source Source
	Count  int
}

// Snapshot returns the progress of every transfer, oldest first.
func (f *Fetcher) Snapshot(now time.Time) []Progress {
	out := make([]Progress, 0, len(f.order))
	for _, id := range f.order {
		out = append(out, f.transfers[id].progress(now))
	}
	return out
}

func (t *transfer) progress(now time.Time) Progress {
	p := Progress{
		Manifest:   t.want.Manifest,
		Name:       t.want.Name,
		Stage:      t.stage,
		Paused:     t.paused,
		ChunksHeld: t.held,
		SizeHeld:   t.heldSize,
		FromOrigin: t.counts.fromOrigin,
		FromPeers:  t.counts.fromPeers,
		Reused:     t.counts.reused,
		Regrants:   t.counts.regrants,
		Problem:    t.problem,
	}
	for source, n := range t.counts.failures {
		p.SourceFailures = append(p.SourceFailures, SourceFailures{Source: source, Count: n})
	}
	slices.SortFunc(p.SourceFailures, func(a, b SourceFailures) int { return cmp.Compare(a.Source.Peer, b.Source.Peer) })
	if t.manifest == nil {
		return p
	}
	p.WeightVersion = t.manifest.Version
	p.Chunks = t.manifest.ChunkCount()
	p.Size = t.manifest.Size()
	if t.stage == Fetching && now.After(t.started) {
		fetched := p.FromOrigin + p.FromPeers
		p.Rate = identifier.BytesPerSecond(float64(fetched) / now.Sub(t.started).Seconds())
	}
	if p.Rate > 0 {
		seconds := float64(p.Size-p.SizeHeld) / float64(p.Rate)
		p.Remaining = time.Duration(seconds * float64(time.Second))
	}
	return p
}
