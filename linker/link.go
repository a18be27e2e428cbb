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
	// maxBacklog is the queueing delay above which a link drops UDP packets.
	maxBacklog = 200 * time.Millisecond
	// burst is how much unused sending time may be used later. Without it, timers that
	// fire late would lower the rate.
	burst = 5 * time.Millisecond
)

// Direction is one of the two directions of a link.
type Direction int

// The directions of a link.
const (
	Outward Direction = iota
	Inward
)

func (d Direction) reversed() Direction {
	return Inward - d
}

// Forward forwards the traffic of one IP address and port to another.
type Forward struct {
	Listen string
	Target string
	// Reversed makes the data sent to Target count as Inward instead of Outward.
	Reversed bool
}

func (f Forward) direction() Direction {
	if f.Reversed {
		return Inward
	}
	return Outward
}

// Counters are the totals of a link since it was created.
type Counters struct {
	// Outward and Inward are the bytes that the link carried in each direction.
	Outward identifier.ByteCount
	Inward  identifier.ByteCount
	// Dropped is the number of UDP packets that were dropped because of a fault or of
	// the queueing delay.
	Dropped int
}

// Link is an emulated network link. All of its forwards share its settings and its
// capacity.
type Link struct {
	clock clockwork.Clock

	mu        sync.Mutex
	settings  Settings
	changed   chan struct{} // closed and replaced at every Set
	rng       *rand.Rand
	busyUntil [2]time.Time // when each direction will have sent all reserved bytes
	carried   [2]identifier.ByteCount
	dropped   int
	flows     map[*flow]bool
	seen      map[connectionID]bool // the IDs that passed since the last Silence
	silenced  map[connectionID]bool
}

// New returns a link. The seed makes the random loss of packets reproducible.
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

// Set replaces the settings. Cut also closes the open TCP connections.
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

// Silence permanently stops the delivery of data on the connections that are open now,
// without closing them. Of the UDP connections, it affects those of which a packet with a
// short header passed the link since the previous call.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.flows {
		f.silence()
	}
	maps.Copy(l.silenced, l.seen)
	clear(l.seen)
}

// Counters returns the current totals.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counters{Outward: l.carried[Outward], Inward: l.carried[Inward], Dropped: l.dropped}
}

// reserve reserves capacity for n bytes in the direction and returns when the last
// byte will have been sent. The caller must hold l.mu.
func (l *Link) reserve(d Direction, n int) time.Time {
	now := l.clock.Now()
	if l.settings.Rate <= 0 {
		l.busyUntil[d] = now
	} else {
		start := now.Add(-burst)
		if l.busyUntil[d].After(start) {
			start = l.busyUntil[d]
		}
		l.busyUntil[d] = start.Add(time.Duration(float64(n) / float64(l.settings.Rate) * float64(time.Second)))
	}
	l.carried[d] += identifier.ByteCount(n)
	if l.busyUntil[d].Before(now) {
		return now
	}
	return l.busyUntil[d]
}

// transmitStream waits until n bytes of a stream have been sent and returns when
// they arrive at the other end.
func (l *Link) transmitStream(ctx context.Context, d Direction, n int) (time.Time, error) {
	if err := l.waitWhileFrozen(ctx); err != nil {
		return time.Time{}, err
	}
	l.mu.Lock()
	sent := l.reserve(d, n)
	arrival := sent.Add(time.Duration(l.settings.Delay))
	l.mu.Unlock()
	return arrival, repeater.SleepUntil(ctx, l.clock, sent)
}

// transmitPacket returns when the packet arrives at the other end, or false if it is
// dropped.
func (l *Link) transmitPacket(d Direction, packet []byte) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.passes(packet) || l.busyUntil[d].Sub(l.clock.Now()) > maxBacklog {
		l.dropped++
		return time.Time{}, false
	}
	return l.reserve(d, len(packet)).Add(time.Duration(l.settings.Delay)), true
}

// passes reports whether the current faults let the packet through. The caller must
// hold l.mu.
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

// waitWhileFrozen waits until the link is not frozen or ctx ends.
func (l *Link) waitWhileFrozen(ctx context.Context) error {
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

// add registers the flow, so that later faults apply to it. It returns false if the link
// is cut.
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
