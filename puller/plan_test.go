package puller_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/puller"
)

var start = time.Unix(1_700_000_000, 0)

// newPlan returns a plan over mirrors of this region and an origin.
func newPlan(chunks, mirrors int) *puller.Plan {
	p := puller.NewPlan(start, puller.Config{Self: "self", RemoteDelay: time.Second}, chunks)
	var sources []puller.Candidate
	for i := range mirrors {
		sources = append(sources, puller.Candidate{Name: mirror(i)})
	}
	p.SetSources(append(sources, origin))
	return p
}

func mirror(i int) puller.SourceName { return puller.SourceName(fmt.Sprintf("mirror-%d", i)) }

var origin = puller.Candidate{Name: "origin", Tier: puller.Origin}

func TestFailedSourceIsPassedOver(t *testing.T) {
	p := newPlan(2, 2)
	first, ok := p.Next(start)
	require.True(t, ok)
	require.Zero(t, first.Chunk)
	p.Failed(start, first)
	second, ok := p.Next(start)
	require.True(t, ok)
	require.Zero(t, second.Chunk)
	require.NotEqual(t, first.Source, second.Source, "the other source is asked")
	p.Failed(start, second)
	_, ok = p.Next(start)
	require.False(t, ok, "the origin is not asked at the beginning")
	again, _ := p.Next(start.Add(time.Minute))
	require.Equal(t, first.Source, again.Source, "the best source is asked again")
}

// Load pattern: the chunks of a release arrive slowly, since the origin has little
// bandwidth and all mirrors read from it. Requests to the mirrors time out now and then.
// Instances that turned to the origin because of that would take its bandwidth from the
// mirrors.
func TestSlowMirrorsDontSendAllToTheOrigin(t *testing.T) {
	const chunks = 40
	p := newPlan(chunks, 2)
	now := start
	for range chunks {
		now = now.Add(500 * time.Millisecond)
		for r, ok := p.Next(now); ok; r, ok = p.Next(now) {
			require.NotEqual(t, origin.Name, r.Source, "the origin is asked %v after the start", now.Sub(start))
			p.Failed(now, r)
		}
		now = now.Add(2 * time.Second)
		r, ok := p.Next(now)
		require.True(t, ok)
		p.Arrived(now, r)
	}
	require.True(t, p.Done())
}

// Load pattern: the origin is lost for 6 s in the middle of a release. Mirrors that keep
// their requests and say that they are alive have not failed: no instance may turn to the
// origin, which all of them would ask at once when it is back.
func TestOutageOfTheOriginSendsNoneToIt(t *testing.T) {
	p := newPlan(16, 2)
	for now := start; now.Before(start.Add(9 * time.Second)); now = now.Add(600 * time.Millisecond) {
		for r, ok := p.Next(now); ok; r, ok = p.Next(now) {
			require.NotEqual(t, origin.Name, r.Source)
		}
		for r, ok := p.NextProbe(now); ok; r, ok = p.NextProbe(now) {
			require.NotEqual(t, origin.Name, r.Source)
			p.NotHeld(now, r)
		}
		p.Alive(now, mirror(0))
	}
}

// Mirrors that deliver nothing at all must not keep an instance waiting for ever.
func TestOriginIsTheLastResort(t *testing.T) {
	p := newPlan(2, 1)
	r, _ := p.Next(start)
	p.Failed(start, r)
	now := start.Add(3 * time.Second)
	p.Failed(now, puller.Request{Source: mirror(0), Wait: true})
	r, ok := p.Next(now)
	require.True(t, ok)
	require.Equal(t, origin.Name, r.Source)
}

func TestChunksAreAskedForAsMirrorsGetThem(t *testing.T) {
	p := newPlan(8*puller.Stripes, 1)
	var first []int
	for range puller.Stripes + 2 {
		r, _ := p.Next(start)
		first = append(first, r.Chunk)
	}
	for i := range puller.Stripes {
		require.Equal(t, 8*i, first[i], "the first chunk of each stripe")
	}
	require.Equal(t, []int{1, 9}, first[puller.Stripes:])
}

// Load pattern: dozens of instances of a region want a release at once. Each of them
// spreads its requests over all sources of the region.
func TestRequestsAreSpreadOverTheSourcesOfARegion(t *testing.T) {
	const sources, chunks, instances = 8, 64, 40
	asked := make(map[puller.SourceName]int)
	for i := range instances {
		p := puller.NewPlan(start, puller.Config{Self: puller.SourceName(fmt.Sprint(i))}, chunks)
		var candidates []puller.Candidate
		for s := range sources {
			candidates = append(candidates, puller.Candidate{Name: mirror(s)})
		}
		p.SetSources(append(candidates, puller.Candidate{Name: "far", Tier: puller.Remote}, origin))
		for r, ok := p.Next(start); ok; r, ok = p.Next(start) {
			asked[r.Source]++
		}
	}
	require.Len(t, asked, sources)
	for source, n := range asked {
		require.InDelta(t, instances*chunks/sources, n, instances*chunks/sources*0.3, source)
	}
}

// Caches without a mirror in their region agree on the one that requests a chunk from
// another region, so that the link between the regions carries it once.
func TestCachesFetchAChunkOnceFromAnotherRegion(t *testing.T) {
	const caches, chunks = 7, 64
	fetched := make([]int, chunks)
	for self := range caches {
		p := puller.NewPlan(start, puller.Config{Self: mirror(self)}, chunks)
		candidates := []puller.Candidate{{Name: "far", Tier: puller.Remote}}
		for c := range caches {
			if c != self {
				candidates = append(candidates, puller.Candidate{Name: mirror(c), Peer: true})
			}
		}
		p.SetSources(candidates)
		for r, ok := p.Next(start); ok; r, ok = p.Next(start) {
			if r.Source == "far" {
				fetched[r.Chunk]++
			}
		}
	}
	for i, n := range fetched {
		require.Equal(t, 1, n, "chunk %d", i)
	}
}

// A source that is alive but lacks a chunk keeps its request. Meanwhile others are probed
// for it, and those of other regions later.
func TestLateChunkIsProbedElsewhere(t *testing.T) {
	p := newPlan(1, 2)
	p.SetSources([]puller.Candidate{{Name: mirror(0)}, {Name: mirror(1)}, {Name: "far", Tier: puller.Remote}})
	r, ok := p.Next(start)
	require.True(t, ok)
	_, ok = p.NextProbe(start.Add(100 * time.Millisecond))
	require.False(t, ok, "the chunk is not late yet")
	probed := make(map[puller.SourceName]time.Duration)
	for d := time.Duration(0); d < 4*time.Second; d += 50 * time.Millisecond {
		probe, ok := p.NextProbe(start.Add(d))
		if !ok {
			continue
		}
		require.False(t, probe.Wait)
		require.NotEqual(t, r.Source, probe.Source)
		probed[probe.Source] = d
		p.NotHeld(start.Add(d), probe)
	}
	require.Len(t, probed, 2)
	require.GreaterOrEqual(t, probed["far"], time.Second)
	p.Arrived(start.Add(4*time.Second), puller.Request{Chunk: 0, Source: "far"})
	require.True(t, p.Done())
}

// Whichever requests fail, no chunk is requested twice at once, and once the sources
// answer the plan ends with every chunk held.
func TestPlanEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 20).Draw(t, "chunks")
		p := newPlan(chunks, rapid.IntRange(0, 3).Draw(t, "mirrors"))
		now := start
		inFlight := make(map[int]puller.Request)
		for step := 0; !p.Done(); step++ {
			now = now.Add(100 * time.Millisecond)
			if r, ok := p.Next(now); ok {
				require.NotContains(t, inFlight, r.Chunk)
				inFlight[r.Chunk] = r
			}
			if r, ok := p.NextProbe(now); ok {
				p.NotHeld(now, r)
			}
			for chunk, r := range inFlight {
				if step < 200 && rapid.Bool().Draw(t, "fails") {
					p.Failed(now, r)
				} else {
					p.Arrived(now, r)
				}
				delete(inFlight, chunk)
				break
			}
			require.Less(t, step, 2000)
		}
		require.Equal(t, chunks, p.Held())
	})
}

// source delivers chunks whose single byte is their index, or corrupt ones.
type source struct {
	name     puller.SourceName
	tier     puller.Tier
	corrupts bool
	down     bool
}

func (s source) Candidate() puller.Candidate {
	return puller.Candidate{Name: s.name, Tier: s.tier}
}

func (s source) Chunk(_ context.Context, _ declarer.Pinned, i int, _ bool, _ func()) ([]byte, error) {
	switch {
	case s.down:
		return nil, errors.New("down")
	case s.corrupts:
		return []byte("spoilt"), nil
	}
	return []byte{byte(i)}, nil
}

func TestPullTakesNothingSpoilt(t *testing.T) {
	var pinned declarer.Pinned
	for i := range 10 {
		pinned.Digests = append(pinned.Digests, identifier.DigestOf([]byte{byte(i)}))
	}
	p := puller.New(puller.Config{}, clockwork.NewRealClock(), zap.NewNop())
	sources := []puller.Source{source{name: "down", down: true}, source{name: "corrupt", corrupts: true}, source{name: "sound"},
		source{name: "origin", tier: puller.Origin, down: true}}
	chunks, err := p.Pull(t.Context(), puller.Task{Release: pinned, Sources: func() []puller.Source { return sources }})
	require.NoError(t, err)
	require.Len(t, chunks, 10)
	for i, digest := range pinned.Digests {
		require.Equal(t, []byte{byte(i)}, chunks[digest])
	}
}
