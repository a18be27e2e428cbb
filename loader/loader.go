package loader

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Config holds the settings of one upstream's loader.
type Config struct {
	// ChecksFencing: the engine refuses orders with an old token.
	ChecksFencing bool
	// PollInterval is the time between two looks at the engine's state.
	PollInterval time.Duration
	// RetryDelay is the time before an order that failed is given again. It
	// doubles with every failure in a row up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// DefaultConfig returns the settings for an engine that checks tokens.
func DefaultConfig() Config {
	return Config{
		ChecksFencing: true,
		PollInterval:  500 * time.Millisecond,
		RetryDelay:    500 * time.Millisecond,
		MaxRetryDelay: 30 * time.Second,
	}
}

// Loader is the reducer of one upstream's orders. It is not safe for concurrent use.
type Loader struct {
	cfg      Config
	asserter asserter.Asserter
	desired  Desired
	declared bool
	weights  map[identifier.Digest]verifier.Weights

	token TokenGranted
	// highest is the newest token that anyone was seen to use.
	highest identifier.FencingToken

	state     State
	known     bool      // state is of after the last order
	changed   time.Time // when the last order was given or ended
	polled    time.Time
	polling   bool
	order     *SendOrder // under way
	lastID    OrderID
	failures  int
	retry     time.Time
	announced *State
}

// New returns a reducer that knows nothing.
func New(cfg Config, a asserter.Asserter) *Loader {
	return &Loader{cfg: cfg, asserter: a, weights: make(map[identifier.Digest]verifier.Weights)}
}

// Reduce takes in one event and returns what has to be done.
func (l *Loader) Reduce(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case DesiredChanged:
		l.desired, l.declared = e.Desired, true
		l.failures, l.retry = 0, time.Time{}
	case TokenGranted:
		l.granted(e)
	case TokenLost:
		l.token = TokenGranted{}
	case WeightsVerified:
		l.verified(e.Weights)
	case WeightsDropped:
		delete(l.weights, e.Manifest)
	case StateObserved:
		effects = l.observed(e)
	case StateUnknown:
		effects = l.unknown()
	case OrderAccepted:
		l.accepted(now, e)
	case OrderFenced:
		effects = l.fenced(now, e)
	case OrderFailed:
		effects = l.failed(now, e)
	}
	effects = append(effects, l.next(now)...)
	return append(effects, l.poll(now)...)
}

// State returns the last state that the engine reported.
func (l *Loader) State() State {
	return l.state
}

// granted takes in a token. An older one than the present is a late message.
func (l *Loader) granted(e TokenGranted) {
	if e.Token < l.token.Token {
		return
	}
	l.highest = max(l.highest, e.Token)
	l.token = e
}

func (l *Loader) verified(w verifier.Weights) {
	if !l.asserter.Check(asserter.VerifiedWeights, !w.IsZero(), "weights without a proof were handed on") {
		return
	}
	l.weights[w.Manifest().Digest()] = w
}

// observed takes in a state, unless an order was given or ended since it was asked for.
func (l *Loader) observed(e StateObserved) []Effect {
	l.polling = false
	if l.order != nil {
		return l.announce(e.State)
	}
	if e.Asked.Before(l.changed) {
		return nil
	}
	l.state = e.State
	l.known = true
	effects := l.announce(e.State)
	if e.State.FencingToken > l.highest {
		l.highest = e.State.FencingToken
		effects = append(effects, Superseded{Current: l.highest})
	}
	return effects
}

// unknown notes that the engine can't be reached. It serves nothing then.
func (l *Loader) unknown() []Effect {
	l.polling = false
	l.known = false
	return l.announce(State{})
}

// announce reports a change of what is served, whatever the load.
func (l *Loader) announce(s State) []Effect {
	s.Load = Load{}
	if l.announced != nil && sameServing(*l.announced, s) {
		return nil
	}
	l.announced = &s
	return []Effect{ServingChanged{State: s}}
}

func sameServing(a, b State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && a.Ready == b.Ready &&
		maps.Equal(a.Adapters, b.Adapters)
}

// end notes that the order under way has ended.
func (l *Loader) end(now time.Time, id OrderID) bool {
	if l.order == nil || l.order.ID != id {
		return false
	}
	l.order = nil
	l.changed = now
	l.known = false
	l.polled = time.Time{}
	return true
}

func (l *Loader) accepted(now time.Time, e OrderAccepted) {
	if l.end(now, e.ID) {
		l.failures, l.retry = 0, time.Time{}
	}
}

func (l *Loader) fenced(now time.Time, e OrderFenced) []Effect {
	if !l.end(now, e.ID) {
		return nil
	}
	l.highest = max(l.highest, e.Current)
	return []Effect{Superseded{Current: e.Current}}
}

func (l *Loader) failed(now time.Time, e OrderFailed) []Effect {
	if l.order == nil || l.order.ID != e.ID {
		return nil
	}
	kind := l.order.Kind
	l.end(now, e.ID)
	delay := l.cfg.RetryDelay << min(l.failures, 16)
	l.failures++
	l.retry = now.Add(min(delay, l.cfg.MaxRetryDelay))
	return []Effect{Failed{Kind: kind, Problem: e.Problem, Remedy: "read the engine's log; the order is given again"}}
}

// poll asks for the state when it is due.
func (l *Loader) poll(now time.Time) []Effect {
	if l.polling || now.Sub(l.polled) < l.cfg.PollInterval {
		return nil
	}
	l.polling = true
	l.polled = now
	return []Effect{PollState{}}
}

// mayOrder reports whether this agent is the one giver of orders now.
func (l *Loader) mayOrder(now time.Time) bool {
	if l.token.Token == 0 || l.token.Token < l.highest {
		return false
	}
	if l.cfg.ChecksFencing {
		return true
	}
	return now.Before(l.token.Expires) && !now.Before(l.token.PreviousExpires)
}

// next gives the next order where one is needed and allowed.
func (l *Loader) next(now time.Time) []Effect {
	if l.order != nil || !l.known || !l.declared || l.desired.Paused || now.Before(l.retry) || !l.mayOrder(now) {
		return nil
	}
	order, ok := l.choose()
	if !ok {
		return nil
	}
	if !l.asserter.Check(asserter.OneOrderGiver, l.token.Token >= l.highest && l.token.Token != 0,
		fmt.Sprintf("order with token %d after token %d was seen", l.token.Token, l.highest)) {
		return nil
	}
	l.lastID++
	order.ID = l.lastID
	order.Token = l.token.Token
	if !l.cfg.ChecksFencing {
		order.Expires = l.token.Expires
	}
	l.order = &order
	l.changed = now
	return []Effect{order}
}

// choose returns the first order that the difference asks for: first what is
// loaded of the model, then what is too much, then adapters, then the role.
func (l *Loader) choose() (SendOrder, bool) {
	d, s := l.desired, l.state
	if d.Model == "" {
		return SendOrder{Kind: UnloadModel, Model: s.Model}, s.Model != ""
	}
	if s.Model != d.Model || s.Version != d.Weights.Version {
		w, ok := l.loadable(d.Weights, "")
		return SendOrder{Kind: LoadModel, Model: d.Model, Version: d.Weights.Version, Weights: w}, ok
	}
	for _, name := range slices.Sorted(maps.Keys(s.Adapters)) {
		if _, ok := d.Adapters[name]; !ok {
			return SendOrder{Kind: UnloadAdapter, Adapter: name}, true
		}
	}
	if d.Role != "" && d.Role != s.Role {
		return SendOrder{Kind: SetRole, Role: d.Role}, true
	}
	for _, name := range slices.Sorted(maps.Keys(d.Adapters)) {
		declared := d.Adapters[name]
		if s.Adapters[name] == declared.Version {
			continue
		}
		if w, ok := l.loadable(declared, name); ok {
			return SendOrder{Kind: LoadAdapter, Adapter: name, Version: declared.Version, Weights: w}, true
		}
	}
	return SendOrder{}, false
}

// loadable returns the verified weights of the declared manifest, where they are
// here and name what is declared.
func (l *Loader) loadable(declared Declared, adapter identifier.Adapter) (verifier.Weights, bool) {
	w, ok := l.weights[declared.Manifest]
	if !ok {
		return verifier.Weights{}, false
	}
	m := w.Manifest()
	if m.Model != l.desired.Model || m.Adapter != adapter || m.Version != declared.Version {
		return verifier.Weights{}, false
	}
	pinned := m.Digest() == declared.Manifest
	return w, l.asserter.Check(asserter.VerifiedWeights, pinned, "weights of another manifest would be loaded")
}
