package submitter

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/recorder"
)

const (
	// askInterval is how long a request waits for the leader until all replicas are asked which one leads,
	// and how often they are asked from then on. It is a heartbeat between replicas, which is longer than most
	// commits take.
	askInterval = 100 * time.Millisecond
	// minAskPause bounds how often one replica is asked, however many requests wait.
	minAskPause = askInterval / 2
	// answerTimeout is how long a replica may take to answer until it is asked again. The others are asked meanwhile.
	answerTimeout = time.Second
)

// finder finds the leader of the control replicas. It asks all of them at once, so that a silent one delays
// nothing, and believes the one that names the leader of the highest term.
type finder struct {
	caller Caller
	clock  clockwork.Clock

	mu        sync.Mutex
	addresses []netip.AddrPort
	inquiries map[netip.AddrPort]inquiry
	known     coordinator.Leadership // without a leader if none is known
	// namings counts the answers that named a leader. changed is closed and replaced with each of them, and when
	// a candidate becomes known.
	namings int
	changed chan struct{}
}

// inquiry is the last LeaderRequest to one replica.
type inquiry struct {
	askedAt  time.Time
	took     time.Duration
	answered bool // or failed
	answer   coordinator.Leadership
	err      error
}

func newFinder(caller Caller, addresses []netip.AddrPort, clock clockwork.Clock) *finder {
	return &finder{
		caller: caller, clock: clock, addresses: addresses,
		inquiries: make(map[netip.AddrPort]inquiry), changed: make(chan struct{}),
	}
}

// setAddresses replaces the addresses of the control replicas, unless the list is empty.
func (f *finder) setAddresses(addresses []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	f.addresses = addresses
	for addr, i := range f.inquiries {
		if i.answered && !slices.Contains(addresses, addr) {
			delete(f.inquiries, addr)
		}
	}
}

func (f *finder) addressCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.addresses)
}

// leader returns the known leader, and a channel that is closed when a replica names one, or
// when a candidate becomes known.
func (f *finder) leader() (coordinator.Leadership, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known, f.changed
}

// learn takes in which leader a replica has named, if any.
func (f *finder) learn(l coordinator.Leadership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.Leader.IsValid() {
		return
	}
	if !f.known.Leader.IsValid() || l.Term >= f.known.Term {
		f.known = l
	}
	f.namings++
	f.signal()
}

// suggest makes a replica that does not know LeaderRequest, as one of an earlier release, the candidate for requests
// if no leader is known. It names the leader when it refuses one.
func (f *finder) suggest(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known.Leader.IsValid() {
		return
	}
	f.known = coordinator.Leadership{Leader: addr}
	f.signal()
}

// signal wakes those that wait for a change. The caller holds f.mu.
func (f *finder) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// forget drops a leader that did not serve a request, unless another one is known by now.
func (f *finder) forget(l coordinator.Leadership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == l {
		f.known = coordinator.Leadership{}
	}
}

// ask asks every replica which one leads, but for those that have not answered yet or were asked just now.
func (f *finder) ask() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, addr := range f.addresses {
		last, ok := f.inquiries[addr]
		if ok && (!last.answered || now.Sub(last.askedAt) < minAskPause) {
			continue
		}
		f.inquiries[addr] = inquiry{askedAt: now}
		go f.inquire(addr, now)
	}
}

func (f *finder) inquire(addr netip.AddrPort, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	msg, err := f.caller.Call(ctx, addr, &LeaderRequest{})
	i := inquiry{askedAt: now, took: f.clock.Since(now), answered: true, err: err}
	if answer, ok := msg.(*LeaderAnswer); err == nil && ok {
		i.answer = coordinator.Leadership{Leader: answer.Leader, Term: recorder.Term(answer.Term)}
	}
	f.mu.Lock()
	f.inquiries[addr] = i
	f.mu.Unlock()
	f.learn(i.answer)
	if connector.IsRefused(err) {
		f.suggest(addr)
	}
}

// awaitNaming asks the replicas until one names a leader or ctx ends.
func (f *finder) awaitNaming(ctx context.Context) error {
	before := f.countNamings()
	for f.countNamings() == before {
		_, changed := f.leader()
		f.ask()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-f.clock.After(askInterval):
		}
	}
	return nil
}

func (f *finder) countNamings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.namings
}

// describe returns what each replica last answered, for logs.
func (f *finder) describe() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	list := make([]string, 0, len(f.inquiries))
	for addr, i := range f.inquiries {
		list = append(list, fmt.Sprintf("%s, asked %d ms ago: %s", addr, now.Sub(i.askedAt).Milliseconds(), i.describe()))
	}
	slices.Sort(list)
	return list
}

func (i inquiry) describe() string {
	switch {
	case !i.answered:
		return "no answer yet"
	case i.err != nil:
		return fmt.Sprintf("no answer after %d ms: %s", i.took.Milliseconds(), i.err)
	case !i.answer.Leader.IsValid():
		return fmt.Sprintf("knows no leader, after %d ms", i.took.Milliseconds())
	default:
		return fmt.Sprintf("names %s of term %d, after %d ms", i.answer.Leader, i.answer.Term, i.took.Milliseconds())
	}
}
