package sampler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/connector"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/reporter"
)

const (
	fineInterval   = time.Minute
	fineKept       = 6 * time.Hour
	coarseInterval = 30 * time.Minute
	coarseKept     = 72 * time.Hour
)

// RequestKind is the kind of the call that reads the history of an entry.
const RequestKind encoder.Kind = "SamplesRequest"

// SamplesRequest asks an entry for its history.
type SamplesRequest struct{}

// SamplesAnswer is the history of one entry, oldest first.
type SamplesAnswer struct {
	Intervals []Interval
}

// Interval is what was counted from its start to the next one's.
type Interval struct {
	Start  time.Time
	Counts []Count
}

// Count is the good and all events of one indicator.
type Count struct {
	Service      identifier.Service
	Organisation identifier.Organisation
	Indicator    reporter.Indicator
	Good, Total  uint64
}

// Messages returns the entries of the call.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[SamplesRequest](RequestKind),
		encoder.Message[SamplesAnswer]("SamplesAnswer"),
	}
}

// key is what events are counted by.
type key struct {
	service      identifier.Service
	organisation identifier.Organisation
	indicator    reporter.Indicator
}

type pair struct {
	good, total uint64
}

// bucket is an interval that is kept.
type bucket struct {
	start  time.Time
	counts map[key]pair
}

// Sampler keeps the history of one entry. It is safe for concurrent use.
type Sampler struct {
	clock clockwork.Clock

	mu     sync.Mutex
	fine   []bucket
	coarse []bucket
}

// New returns an empty sampler.
func New(clock clockwork.Clock) *Sampler {
	return &Sampler{clock: clock}
}

// Count takes in one event.
func (s *Sampler) Count(service identifier.Service, organisation identifier.Organisation, indicator reporter.Indicator, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.current().counts
	k := key{service, organisation, indicator}
	p := counts[k]
	p.total++
	if good {
		p.good++
	}
	counts[k] = p
}

// current returns the running interval. Fine ones that grew old are added to
// their coarse one.
func (s *Sampler) current() bucket {
	start := s.clock.Now().Truncate(fineInterval)
	if n := len(s.fine); n > 0 && s.fine[n-1].start.Equal(start) {
		return s.fine[n-1]
	}
	for len(s.fine) > 0 && start.Sub(s.fine[0].start) >= fineKept {
		s.fold(s.fine[0])
		s.fine = s.fine[1:]
	}
	for len(s.coarse) > 0 && start.Sub(s.coarse[0].start) >= coarseKept {
		s.coarse = s.coarse[1:]
	}
	b := bucket{start: start, counts: make(map[key]pair)}
	s.fine = append(s.fine, b)
	return b
}

func (s *Sampler) fold(b bucket) {
	start := b.start.Truncate(coarseInterval)
	n := len(s.coarse)
	if n == 0 || !s.coarse[n-1].start.Equal(start) {
		s.coarse = append(s.coarse, bucket{start: start, counts: make(map[key]pair)})
		n++
	}
	into := s.coarse[n-1].counts
	for k, p := range b.counts {
		sum := into[k]
		sum.good += p.good
		sum.total += p.total
		into[k] = sum
	}
}

// History returns the intervals that are kept, oldest first.
func (s *Sampler) History() []Interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current()
	intervals := make([]Interval, 0, len(s.coarse)+len(s.fine))
	for _, list := range [][]bucket{s.coarse, s.fine} {
		for _, b := range list {
			intervals = append(intervals, b.interval())
		}
	}
	return intervals
}

func (b bucket) interval() Interval {
	interval := Interval{Start: b.start}
	for k, p := range b.counts {
		interval.Counts = append(interval.Counts, Count{k.service, k.organisation, k.indicator, p.good, p.total})
	}
	return interval
}

// Serve answers a control replica that makes a report.
func (s *Sampler) Serve(_ context.Context, stream *connector.Stream, _ any) {
	// A replica that went away asks again.
	_ = stream.Send(&SamplesAnswer{Intervals: s.History()})
}
