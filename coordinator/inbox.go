package coordinator

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/replicator"
)

// maxQueuedMessages bounds the queued messages from other replicas. Further ones
// are dropped, which Raft tolerates like messages lost on the network.
const maxQueuedMessages = 4096

// inbox queues events for the reducer. queuedMessages counts the messages from
// other replicas among them.
type inbox struct {
	mu             sync.Mutex
	events         []replicator.Event
	queuedMessages int
	signal         chan struct{}
	dropped        *metrics.Counter
}

func newInbox(dropped *metrics.Counter) *inbox {
	return &inbox{signal: make(chan struct{}, 1), dropped: dropped}
}

// put adds an event. Consecutive Proposed events are merged into one.
func (b *inbox) put(event replicator.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := event.(replicator.Received); ok {
		if b.queuedMessages >= maxQueuedMessages {
			b.dropped.Inc()
			return
		}
		b.queuedMessages++
	}
	if !b.mergeProposals(event) {
		b.events = append(b.events, event)
	}
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *inbox) mergeProposals(event replicator.Event) bool {
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

// take removes and returns all queued events.
func (b *inbox) take() []replicator.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	b.queuedMessages = 0
	return events
}
