package coordinator

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/replicator"
)

// maxMessages bounds the messages of other replicas that wait. More are
// dropped: consensus takes them for lost.
const maxMessages = 4096

// inbox holds the events that wait for the reducer.
type inbox struct {
	mu       sync.Mutex
	events   []replicator.Event
	messages int
	signal   chan struct{}
	dropped  *metrics.Counter
}

func newInbox(dropped *metrics.Counter) *inbox {
	return &inbox{signal: make(chan struct{}, 1), dropped: dropped}
}

// put adds an event. Proposals that wait side by side become one event.
func (b *inbox) put(event replicator.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := event.(replicator.Received); ok {
		if b.messages >= maxMessages {
			b.dropped.Inc()
			return
		}
		b.messages++
	}
	if !b.merge(event) {
		b.events = append(b.events, event)
	}
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *inbox) merge(event replicator.Event) bool {
	proposed, ok := event.(replicator.Proposed)
	if !ok || len(b.events) == 0 {
		return false
	}
	last, ok := b.events[len(b.events)-1].(replicator.Proposed)
	if !ok {
		return false
	}
	last.Proposals = append(last.Proposals, proposed.Proposals...)
	b.events[len(b.events)-1] = last
	return true
}

// take returns every event that waits.
func (b *inbox) take() []replicator.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	b.messages = 0
	return events
}
