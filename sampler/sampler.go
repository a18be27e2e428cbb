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

// HistoryAnswer is the history of one entry up to now, oldest snapshot first.
type HistoryAnswer struct {
	Snapshots []reporter.Snapshot
}

// Messages returns the messages of the call for registration with the codec.
func Messages() []encoder.MessageType {
	return []encoder.MessageType{
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

// New returns a sampler of the tally, whose snapshots have the process as their
// source. Start starts it.
func New(process string, tally *reporter.Tally, clock clockwork.Clock) *Sampler {
	s := &Sampler{process: process, tally: tally, clock: clock}
	s.repeat = repeater.New(clock, sampleInterval, func(context.Context) { s.addSnapshot() })
	return s
}

// Start takes a snapshot now and then one per minute.
func (s *Sampler) Start() {
	s.addSnapshot()
	s.repeat.Start()
}

// Stop ends the snapshots.
func (s *Sampler) Stop() {
	s.repeat.Stop()
}

func (s *Sampler) addSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Add(s.snapshot())
}

func (s *Sampler) snapshot() reporter.Snapshot {
	return reporter.Snapshot{Source: s.process, Time: s.clock.Now(), Samples: s.tally.Samples()}
}

// Serve sends the history to a control replica that makes a report.
func (s *Sampler) Serve(_ context.Context, stream *connector.Stream, _ any) {
	s.mu.Lock()
	snapshots := append(s.history.Snapshots(), s.snapshot())
	s.mu.Unlock()
	// An error is ignored: a replica that lost the connection asks again.
	_ = stream.Send(&HistoryAnswer{Snapshots: snapshots})
}
