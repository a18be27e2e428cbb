package puller_test

import (
	"context"
	"errors"
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

func TestFailedSourceIsPassedOver(t *testing.T) {
	p := puller.NewPlan(start, 2, 3)
	chunk, source, ok := p.Next(start)
	require.True(t, ok)
	require.Equal(t, []int{0, 0}, []int{chunk, source})
	p.Failed(start, chunk, source)
	chunk, source, ok = p.Next(start)
	require.True(t, ok)
	require.Equal(t, []int{0, 1}, []int{chunk, source}, "the next source is asked")
	p.Failed(start, chunk, source)
	_, _, ok = p.Next(start)
	require.False(t, ok, "the origin is not asked at the beginning")
	_, source, _ = p.Next(start.Add(time.Minute))
	require.Zero(t, source, "the best source is asked again")
}

// Load pattern: the chunks of a release arrive slowly, since the origin has little
// bandwidth and all mirrors read from it. Requests to the mirrors time out now and then.
// Instances that turned to the origin because of that would take its bandwidth from the
// mirrors.
func TestSlowMirrorsDontSendAllToTheOrigin(t *testing.T) {
	const chunks, sources = 40, 3
	p := puller.NewPlan(start, chunks, sources)
	now := start
	for range chunks {
		now = now.Add(500 * time.Millisecond)
		for chunk, source, ok := p.Next(now); ok; chunk, source, ok = p.Next(now) {
			require.Less(t, source, sources-1, "the origin is asked %v after the start", now.Sub(start))
			p.Failed(now, chunk, source)
		}
		now = now.Add(2 * time.Second)
		chunk, source, ok := p.Next(now)
		require.True(t, ok)
		p.Arrived(now, chunk, source)
	}
	require.True(t, p.Done())
}

// Mirrors that deliver nothing at all must not keep an instance waiting for ever.
func TestOriginIsTheLastResort(t *testing.T) {
	p := puller.NewPlan(start, 2, 2)
	chunk, source, _ := p.Next(start)
	p.Failed(start, chunk, source)
	now := start.Add(3 * time.Second)
	p.Failed(now, 0, 0)
	_, source, ok := p.Next(now)
	require.True(t, ok)
	require.Equal(t, 1, source)
}

func TestChunksAreAskedForAsMirrorsGetThem(t *testing.T) {
	p := puller.NewPlan(start, 64, 2)
	var first []int
	for range 10 {
		chunk, _, _ := p.Next(start)
		first = append(first, chunk)
	}
	require.Equal(t, []int{0, 8, 16, 24, 32, 40, 48, 56, 1, 9}, first)
}

// Whichever requests fail, no chunk is requested twice at once, and once the sources
// answer the plan ends with every chunk held.
func TestPlanEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 20).Draw(t, "chunks")
		p := puller.NewPlan(start, chunks, rapid.IntRange(1, 4).Draw(t, "sources"))
		now := start
		inFlight := make(map[int]int)
		for step := 0; !p.Done(); step++ {
			now = now.Add(100 * time.Millisecond)
			if chunk, source, ok := p.Next(now); ok {
				require.NotContains(t, inFlight, chunk)
				inFlight[chunk] = source
			}
			for chunk, source := range inFlight {
				if step < 200 && rapid.Bool().Draw(t, "fails") {
					p.Failed(now, chunk, source)
				} else {
					p.Arrived(now, chunk, source)
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
	corrupts bool
	down     bool
}

func (s source) String() string { return "source" }

func (s source) Chunk(_ context.Context, _ declarer.Pinned, i int) ([]byte, error) {
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
	p := puller.New(clockwork.NewRealClock(), zap.NewNop())
	chunks, err := p.Pull(t.Context(), pinned, []puller.Source{source{down: true}, source{corrupts: true}, source{}, source{down: true}})
	require.NoError(t, err)
	require.Len(t, chunks, 10)
	for i, digest := range pinned.Digests {
		require.Equal(t, []byte{byte(i)}, chunks[digest])
	}
}
