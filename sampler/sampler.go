package sampler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/connector"
	"celeryvalve/encoder"
	"celeryvalve/repeater"
	"celeryvalve/reporter"
)

const sampleInterval = time.Minute

// RequestKind is the kind of the call that reads the history of an entry.
const RequestKind encoder.Kind = "HistoryRequest"

// HistoryRequest asks an entry for its history.
type HistoryRequest struct{}

// HistoryAnswer is the history of one entry, oldest first, up to now.
type HistoryAnswer struct {
	Snapshots []reporter.Snapshot
}

// Messages returns the entries of the call.
func Messages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[HistoryRequest](RequestKind),
		encoder.Message[HistoryAnswer]("HistoryAnswer"),
	}
}

// Sampler keeps the history of one entry. It is safe for concurrent use.
type Sampler struct {
	process string
	tally   *reporter.Tally
	clock   clockwork.Clock

	repeat *repeater.Repeater

	mu      sync.Mutex
	history reporter.History
}

// New returns a sampler of the tally that is not started.
func New(process string, tally *reporter.Tally, clock clockwork.Clock) *Sampler {
	s := &Sampler{process: process, tally: tally, clock: clock}
	s.repeat = repeater.New(clock, sampleInterval, func(context.Context) { s.keep() })
	return s
}

// Start begins to take a snapshot at every interval.
func (s *Sampler) Start() {
	s.keep()
	s.repeat.Start()
}

// Stop ends it.
func (s *Sampler) Stop() {
	s.repeat.Stop()
}

func (s *Sampler) keep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Add(s.snapshot())
}

func (s *Sampler) snapshot() reporter.Snapshot {
	return reporter.Snapshot{Source: s.process, Time: s.clock.Now(), Samples: s.tally.Samples()}
}

// Serve answers a control replica that makes a report.
func (s *Sampler) Serve(_ context.Context, stream *connector.Stream, _ any) {
	s.mu.Lock()
	snapshots := append(s.history.Snapshots(), s.snapshot())
	s.mu.Unlock()
	// A replica that went away asks again.
	_ = stream.Send(&HistoryAnswer{Snapshots: snapshots})
}
