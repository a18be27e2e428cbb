package limiter

import "time"

// QueueConfig bounds a fair queue.
type QueueConfig struct {
	MaxItems int
}

// Item is an element of a fair queue.
type Item[F comparable, V any] struct {
	Flow     F
	Weight   float64
	Cost     float64
	Deadline time.Time
	Value    V

	start  float64
	finish float64
	order  uint64
}

// FairQueue serves flows in proportion to their weights by start-time fair
// queueing: an item's virtual start is the later of the queue's virtual time and
// the virtual finish of the previous item in its flow. When the queue is full, the
// flow with the largest backlog for its weight loses its newest item, so that a
// flow with many items never keeps out a flow with few.
type FairQueue[F comparable, V any] struct {
	cfg     QueueConfig
	items   []*Item[F, V]
	finish  map[F]float64
	virtual float64
	order   uint64
}

// NewFairQueue returns an empty queue.
func NewFairQueue[F comparable, V any](cfg QueueConfig) *FairQueue[F, V] {
	return &FairQueue[F, V]{cfg: cfg, finish: make(map[F]float64)}
}

// SetMaxItems changes the maximum number of items. Items in excess of a lower
// maximum stay until they are served.
func (q *FairQueue[F, V]) SetMaxItems(n int) {
	q.cfg.MaxItems = n
}

// Len returns the number of items.
func (q *FairQueue[F, V]) Len() int {
	return len(q.items)
}

// Push adds the item. If the queue is full, it evicts an item and returns its
// value. That is the new item's own value if its flow has the largest backlog.
func (q *FairQueue[F, V]) Push(item Item[F, V]) (evicted V, full bool) {
	q.add(item)
	if len(q.items) <= q.cfg.MaxItems {
		return evicted, false
	}
	return q.remove(q.victim()).Value, true
}

// Restore puts an item that Pop returned back at its former place.
func (q *FairQueue[F, V]) Restore(item Item[F, V]) {
	q.items = append(q.items, &item)
}

func (q *FairQueue[F, V]) add(item Item[F, V]) {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	if item.Cost <= 0 {
		item.Cost = 1
	}
	item.start = max(q.virtual, q.finish[item.Flow])
	item.finish = item.start + item.Cost/item.Weight
	item.order = q.order
	q.order++
	q.finish[item.Flow] = item.finish
	q.items = append(q.items, &item)
}

// Pop removes and returns the item with the earliest virtual start.
func (q *FairQueue[F, V]) Pop() (Item[F, V], bool) {
	return q.PopWhere(func(V) bool { return true })
}

// PopWhere removes and returns the first item in order of service whose value
// matches.
func (q *FairQueue[F, V]) PopWhere(matches func(V) bool) (Item[F, V], bool) {
	best := -1
	for i, item := range q.items {
		if (best < 0 || q.before(item, q.items[best])) && matches(item.Value) {
			best = i
		}
	}
	if best < 0 {
		return Item[F, V]{}, false
	}
	item := q.remove(best)
	q.virtual = max(q.virtual, item.start)
	q.dropIdleFlows()
	return *item, true
}

// RemoveWhere removes and returns every value that matches.
func (q *FairQueue[F, V]) RemoveWhere(matches func(V) bool) []V {
	var removed []V
	kept := q.items[:0]
	for _, item := range q.items {
		if matches(item.Value) {
			removed = append(removed, item.Value)
			continue
		}
		kept = append(kept, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	return removed
}

// Ahead returns how many items would be served before a new item of the flow.
func (q *FairQueue[F, V]) Ahead(flow F) int {
	start := max(q.virtual, q.finish[flow])
	n := 0
	for _, item := range q.items {
		if item.start <= start {
			n++
		}
	}
	return n
}

// Share returns the fraction of the service that is the flow's fair share among the
// flows that have items now.
func (q *FairQueue[F, V]) Share(flow F, weight float64) float64 {
	weights := map[F]float64{flow: weight}
	for _, item := range q.items {
		weights[item.Flow] = item.Weight
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	return weights[flow] / total
}

// Queued returns the number of items of the flow.
func (q *FairQueue[F, V]) Queued(flow F) int {
	n := 0
	for _, item := range q.items {
		if item.Flow == flow {
			n++
		}
	}
	return n
}

// Expire removes and returns every value whose deadline is not after now.
func (q *FairQueue[F, V]) Expire(now time.Time) []V {
	var expired []V
	kept := q.items[:0]
	for _, item := range q.items {
		if !item.Deadline.IsZero() && !item.Deadline.After(now) {
			expired = append(expired, item.Value)
			continue
		}
		kept = append(kept, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	return expired
}

func (q *FairQueue[F, V]) before(a, b *Item[F, V]) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.order < b.order
}

// victim returns the index of the newest item of the flow with the largest backlog
// for its weight.
func (q *FairQueue[F, V]) victim() int {
	backlog := make(map[F]float64)
	for _, item := range q.items {
		backlog[item.Flow] += item.Cost / item.Weight
	}
	worst := 0
	for i, item := range q.items {
		backlogOfItem, largest := backlog[item.Flow], backlog[q.items[worst].Flow]
		if backlogOfItem > largest || (backlogOfItem == largest && item.order > q.items[worst].order) {
			worst = i
		}
	}
	return worst
}

func (q *FairQueue[F, V]) remove(i int) *Item[F, V] {
	item := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	if q.finish[item.Flow] == item.finish {
		q.finish[item.Flow] = max(item.start, q.virtual)
	}
	return item
}

// dropIdleFlows drops the virtual finishes that are not after the virtual time,
// which no longer influence a start.
func (q *FairQueue[F, V]) dropIdleFlows() {
	for flow, finish := range q.finish {
		if finish <= q.virtual {
			delete(q.finish, flow)
		}
	}
}
