package linker

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/identifier"
	"celeryvalve/repeater"
)

const (
	// maxBacklog is the queueing delay beyond which a link drops packets.
	maxBacklog = 200 * time.Millisecond
	// burst is how much unused time counts as capacity. It makes up for timers
	// that fire late, which would lower the rate.
	burst = 5 * time.Millisecond
)

// Direction tells the two ways of a link apart.
type Direction int

// The directions of a link.
const (
	Outward Direction = iota
	Inward
)

func (d Direction) reversed() Direction {
	return Inward - d
}

// Forward is one address that the link forwards to another.
type Forward struct {
	Listen string
	Target string
	// Reversed makes what is sent to Target count as Inward.
	Reversed bool
}

func (f Forward) direction() Direction {
	if f.Reversed {
		return Inward
	}
	return Outward
}

// Counters are the bytes that a link carried in each direction.
type Counters struct {
	Outward identifier.ByteCount
	Inward  identifier.ByteCount
	Dropped int
}

// Link is shared by all of its forwards.
type Link struct {
	clock clockwork.Clock

	mu       sync.Mutex
	settings Settings
	changed  chan struct{} // closed and replaced at every Set
	rng      *rand.Rand
	free     [2]time.Time // when each direction has sent what it took so far
	carried  [2]identifier.ByteCount
	dropped  int
	flows    map[*flow]bool
	seen     map[connectionID]bool
	silenced map[connectionID]bool
}

// New returns a link. The seed drives the loss of packets.
func New(settings Settings, seed uint64, clock clockwork.Clock) *Link {
	return &Link{
		clock:    clock,
		settings: settings,
		changed:  make(chan struct{}),
		rng:      rand.New(rand.NewPCG(seed, 2)),
		flows:    make(map[*flow]bool),
		seen:     make(map[connectionID]bool),
		silenced: make(map[connectionID]bool),
	}
}

// Settings returns the settings in force.
func (l *Link) Settings() Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings
}

// Set replaces the settings. A cut closes what is open.
func (l *Link) Set(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
	close(l.changed)
	l.changed = make(chan struct{})
	if !s.Cut {
		return
	}
	for f := range l.flows {
		f.close()
	}
}

// Silence makes the connections that are open now go silent for good.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.flows {
		f.silence()
	}
	maps.Copy(l.silenced, l.seen)
	clear(l.seen)
}

// Counters returns what was carried so far.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counters{Outward: l.carried[Outward], Inward: l.carried[Inward], Dropped: l.dropped}
}

// reserve takes n bytes of the direction's capacity and returns when the last
// byte has been sent.
func (l *Link) reserve(d Direction, n int) time.Time {
	now := l.clock.Now()
	if l.settings.Rate <= 0 {
		l.free[d] = now
	} else {
		start := now.Add(-burst)
		if l.free[d].After(start) {
			start = l.free[d]
		}
		l.free[d] = start.Add(time.Duration(float64(n) / float64(l.settings.Rate) * float64(time.Second)))
	}
	l.carried[d] += identifier.ByteCount(n)
	if l.free[d].Before(now) {
		return now
	}
	return l.free[d]
}

// carryStream waits until n bytes of a stream have been sent and returns when
// they arrive.
func (l *Link) carryStream(ctx context.Context, d Direction, n int) (time.Time, error) {
	if err := l.awaitThaw(ctx); err != nil {
		return time.Time{}, err
	}
	l.mu.Lock()
	sent := l.reserve(d, n)
	arrival := sent.Add(time.Duration(l.settings.Delay))
	l.mu.Unlock()
	return arrival, repeater.SleepUntil(ctx, l.clock, sent)
}

// carryPacket returns when the packet arrives, or false where it is dropped.
func (l *Link) carryPacket(d Direction, packet []byte) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.passes(packet) || l.free[d].Sub(l.clock.Now()) > maxBacklog {
		l.dropped++
		return time.Time{}, false
	}
	return l.reserve(d, len(packet)).Add(time.Duration(l.settings.Delay)), true
}

// passes reports whether the faults in force let the packet through.
func (l *Link) passes(packet []byte) bool {
	if l.settings.Cut || l.settings.Freeze || l.rng.Float64() < l.settings.Loss {
		return false
	}
	id, ok := connectionIDOf(packet)
	if !ok {
		return true
	}
	if l.silenced[id] {
		return false
	}
	l.seen[id] = true
	return true
}

// awaitThaw returns once the link is not frozen.
func (l *Link) awaitThaw(ctx context.Context) error {
	for {
		l.mu.Lock()
		frozen := l.settings.Freeze
		changed := l.changed
		l.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// add keeps the flow for faults to come, unless the link is cut.
func (l *Link) add(f *flow) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.settings.Cut {
		return false
	}
	l.flows[f] = true
	return true
}

func (l *Link) remove(f *flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.flows, f)
}
