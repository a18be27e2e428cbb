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
	// ChecksFencing is set if the engine refuses orders with an old fencing token.
	ChecksFencing bool
	// PollInterval is the time between two reads of the engine's state.
	PollInterval time.Duration
	// RetryDelay is the time before a failed order is retried. It doubles with every
	// consecutive failure, up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// DefaultConfig returns the settings for an engine that checks fencing tokens.
func DefaultConfig() Config {
	return Config{
		ChecksFencing: true,
		PollInterval:  500 * time.Millisecond,
		RetryDelay:    500 * time.Millisecond,
		MaxRetryDelay: 30 * time.Second,
	}
}

// Loader decides which orders the engine of one upstream gets. It is not safe for
// concurrent use.
type Loader struct {
	cfg        Config
	asserter   asserter.Asserter
	desired    Desired
	hasDesired bool
	weights    map[identifier.Digest]verifier.Weights

	token TokenGranted
	// highestToken is the newest token that this or any other agent is known to hold.
	highestToken identifier.FencingToken

	state          State
	stateCurrent   bool      // state was read after the last order ended
	orderChangedAt time.Time // when the last order was sent or ended
	polledAt       time.Time
	polling        bool
	pendingOrder   *SendOrder // the order in progress, or nil
	lastID         OrderID
	failures       int
	retryAt        time.Time
	lastServing    *State
}

// New returns a Loader without a desired state, a token or weights.
func New(cfg Config, a asserter.Asserter) *Loader {
	return &Loader{cfg: cfg, asserter: a, weights: make(map[identifier.Digest]verifier.Weights)}
}

// Reduce processes one event and returns the effects to execute.
func (l *Loader) Reduce(now time.Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case DesiredChanged:
		l.desired, l.hasDesired = e.Desired, true
		l.failures, l.retryAt = 0, time.Time{}
	case TokenGranted:
		l.onTokenGranted(e)
	case TokenLost:
		l.token = TokenGranted{}
	case WeightsVerified:
		l.onWeightsVerified(e.Weights)
	case WeightsDropped:
		delete(l.weights, e.Manifest)
	case StateObserved:
		effects = l.onStateObserved(e)
	case StateUnknown:
		effects = l.onStateUnknown()
	case OrderAccepted:
		l.onOrderAccepted(now, e)
	case OrderFenced:
		effects = l.onOrderFenced(now, e)
	case OrderFailed:
		effects = l.onOrderFailed(now, e)
	}
	effects = append(effects, l.nextOrder(now)...)
	return append(effects, l.nextPoll(now)...)
}

// State returns the last state that the engine reported.
func (l *Loader) State() State {
	return l.state
}

// onTokenGranted stores a token. One that is older than the current token arrived
// late and is ignored.
func (l *Loader) onTokenGranted(e TokenGranted) {
	if e.Token < l.token.Token {
		return
	}
	l.highestToken = max(l.highestToken, e.Token)
	l.token = e
}

func (l *Loader) onWeightsVerified(w verifier.Weights) {
	if !l.asserter.Check(asserter.VerifiedWeights, !w.IsZero(), "unverified weights were passed to the loader") {
		return
	}
	l.weights[w.Manifest().Digest()] = w
}

// onStateObserved stores a state, unless an order was sent or ended after the state
// was requested.
func (l *Loader) onStateObserved(e StateObserved) []Effect {
	l.polling = false
	if l.pendingOrder != nil {
		return l.reportServing(e.State)
	}
	if e.RequestedAt.Before(l.orderChangedAt) {
		return nil
	}
	l.state = e.State
	l.stateCurrent = true
	effects := l.reportServing(e.State)
	if e.State.FencingToken > l.highestToken {
		l.highestToken = e.State.FencingToken
		effects = append(effects, Superseded{Current: l.highestToken})
	}
	return effects
}

// onStateUnknown handles an engine that can't be reached: it counts as serving
// nothing.
func (l *Loader) onStateUnknown() []Effect {
	l.polling = false
	l.stateCurrent = false
	return l.reportServing(State{})
}

// reportServing reports a change of what the engine serves. It ignores the load.
func (l *Loader) reportServing(s State) []Effect {
	s.Load = Load{}
	if l.lastServing != nil && sameServing(*l.lastServing, s) {
		return nil
	}
	l.lastServing = &s
	return []Effect{ServingChanged{State: s}}
}

func sameServing(a, b State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && a.Ready == b.Ready &&
		maps.Equal(a.Adapters, b.Adapters)
}

// endOrder clears the order in progress and schedules a read of the state. It
// returns false if the order is not the one in progress.
func (l *Loader) endOrder(now time.Time, id OrderID) bool {
	if l.pendingOrder == nil || l.pendingOrder.ID != id {
		return false
	}
	l.pendingOrder = nil
	l.orderChangedAt = now
	l.stateCurrent = false
	l.polledAt = time.Time{}
	return true
}

func (l *Loader) onOrderAccepted(now time.Time, e OrderAccepted) {
	if l.endOrder(now, e.ID) {
		l.failures, l.retryAt = 0, time.Time{}
	}
}

func (l *Loader) onOrderFenced(now time.Time, e OrderFenced) []Effect {
	if !l.endOrder(now, e.ID) {
		return nil
	}
	l.highestToken = max(l.highestToken, e.Current)
	return []Effect{Superseded{Current: e.Current}}
}

func (l *Loader) onOrderFailed(now time.Time, e OrderFailed) []Effect {
	if l.pendingOrder == nil || l.pendingOrder.ID != e.ID {
		return nil
	}
	kind := l.pendingOrder.Kind
	l.endOrder(now, e.ID)
	delay := l.cfg.RetryDelay << min(l.failures, 16)
	l.failures++
	l.retryAt = now.Add(min(delay, l.cfg.MaxRetryDelay))
	return []Effect{Failed{Kind: kind, Problem: e.Problem, Remedy: "read the engine's log; the order is retried"}}
}

// nextPoll requests the engine's state if that is due.
func (l *Loader) nextPoll(now time.Time) []Effect {
	if l.polling || now.Sub(l.polledAt) < l.cfg.PollInterval {
		return nil
	}
	l.polling = true
	l.polledAt = now
	return []Effect{PollState{}}
}

// maySendOrders reports whether this agent is the only one that may send orders now.
func (l *Loader) maySendOrders(now time.Time) bool {
	if l.token.Token == 0 || l.token.Token < l.highestToken {
		return false
	}
	if l.cfg.ChecksFencing {
		return true
	}
	return now.Before(l.token.Expires) && !now.Before(l.token.PreviousExpires)
}

// nextOrder returns the next order if one is needed and allowed.
func (l *Loader) nextOrder(now time.Time) []Effect {
	if l.pendingOrder != nil || !l.stateCurrent || !l.hasDesired || l.desired.Paused || now.Before(l.retryAt) || !l.maySendOrders(now) {
		return nil
	}
	order, ok := l.chooseOrder()
	if !ok {
		return nil
	}
	if !l.asserter.Check(asserter.OneOrderGiver, l.token.Token >= l.highestToken && l.token.Token != 0,
		fmt.Sprintf("order with token %d, but token %d was already used", l.token.Token, l.highestToken)) {
		return nil
	}
	l.lastID++
	order.ID = l.lastID
	order.Token = l.token.Token
	if !l.cfg.ChecksFencing {
		order.Expires = l.token.Expires
	}
	l.pendingOrder = &order
	l.orderChangedAt = now
	return []Effect{order}
}

// chooseOrder returns the first order that the difference between the desired and
// the reported state requires: first for the model, then to unload adapters that are
// not desired, then for the role, then to load adapters.
func (l *Loader) chooseOrder() (SendOrder, bool) {
	d, s := l.desired, l.state
	if d.Model == "" {
		return SendOrder{Kind: UnloadModel, Model: s.Model}, s.Model != ""
	}
	if s.Model != d.Model || s.Version != d.Weights.Version {
		w, ok := l.verifiedWeights(d.Weights, "")
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
		pinned := d.Adapters[name]
		if s.Adapters[name] == pinned.Version {
			continue
		}
		if w, ok := l.verifiedWeights(pinned, name); ok {
			return SendOrder{Kind: LoadAdapter, Adapter: name, Version: pinned.Version, Weights: w}, true
		}
	}
	return SendOrder{}, false
}

// verifiedWeights returns the verified weights of a pinned manifest. It returns false
// if there are none, or if their model, adapter or version is not the desired one.
func (l *Loader) verifiedWeights(pinned PinnedWeights, adapter identifier.Adapter) (verifier.Weights, bool) {
	w, ok := l.weights[pinned.Manifest]
	if !ok {
		return verifier.Weights{}, false
	}
	m := w.Manifest()
	if m.Model != l.desired.Model || m.Adapter != adapter || m.Version != pinned.Version {
		return verifier.Weights{}, false
	}
	digestMatches := m.Digest() == pinned.Manifest
	return w, l.asserter.Check(asserter.VerifiedWeights, digestMatches, "weights of another manifest would be loaded")
}
