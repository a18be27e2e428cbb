package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/controller"
	"celeryvalve/identifier"
)

// claimWorld is a small system around the state: agents that crash, entries
// that resend, and a network that keeps every message for later.
type claimWorld struct {
	*replica
	mirror *controller.State // follows the same log without restarts
	agents map[string]*agentModel

	commands []any                    // all that were sent: any may arrive again
	grants   []controller.ClaimAnswer // likewise
	grantKey []string
	attempts int
	started  map[string]string // attempt that ran for each key
	notRun   map[string]bool   // attempts that callers were told of as NotRun
	outcomes map[string]controller.Outcome
	tokens   []identifier.FencingToken
}

// agentModel is an agent with the upstream that it guards.
type agentModel struct {
	incarnation identifier.Incarnation
	member      identifier.FencingToken
	seen        map[string]bool // attempts that started or are refused
	running     map[string]controller.ClaimAnswer
}

func newClaimWorld(t *rapid.T) *claimWorld {
	w := &claimWorld{
		replica:  newReplica(t),
		agents:   make(map[string]*agentModel),
		started:  make(map[string]string),
		notRun:   make(map[string]bool),
		outcomes: make(map[string]controller.Outcome),
	}
	w.mirror = controller.New(w.assert())
	for _, name := range []string{"u1", "u2", "u3"} {
		w.agents[name] = &agentModel{}
		w.restartAgent(name)
		w.announceAgent(name)
	}
	return w
}

// send applies a command on both replicas, whose answers must be the same.
func (w *claimWorld) send(command any) any {
	answer := w.apply(command)
	data, err := controller.EncodeCommand(command)
	require.NoError(w.t, err)
	require.Equal(w.t, answer, w.mirror.Apply(w.index, w.now, data))
	return answer
}

func (w *claimWorld) sendNew(command any) any {
	w.commands = append(w.commands, command)
	return w.send(command)
}

func (w *claimWorld) restartAgent(name string) {
	a := w.agents[name]
	a.incarnation++
	a.seen = make(map[string]bool)
	a.running = make(map[string]controller.ClaimAnswer)
}

func (w *claimWorld) announceAgent(name string) {
	answer, ok := w.sendNew(&controller.Announce{
		Upstream: identifier.Upstream(name), Incarnation: w.agents[name].incarnation, Service: "booking",
	}).(*controller.AnnounceAnswer)
	if !ok || answer.Token == w.agents[name].member {
		return
	}
	w.takeToken(answer.Token)
	w.agents[name].member = answer.Token
}

func (w *claimWorld) takeToken(token identifier.FencingToken) {
	if n := len(w.tokens); n > 0 {
		require.Greater(w.t, token, w.tokens[n-1])
	}
	w.tokens = append(w.tokens, token)
}

// claimKey asks for a key as a new attempt. What it replaces is given by an agent.
func (w *claimWorld) claimKey(key, upstream string, replaces identifier.FencingToken) {
	w.attempts++
	c := claimOf(key, fmt.Sprint("a", w.attempts), upstream, w.agents[upstream].incarnation)
	c.Replaces = replaces
	w.answered(key, w.sendNew(c), c)
}

func (w *claimWorld) answered(key string, result any, c *controller.Claim) {
	answer, ok := result.(*controller.ClaimAnswer)
	require.True(w.t, ok)
	switch answer.Status {
	case controller.Granted:
		w.keepGrant(key, *answer)
	case controller.Settled:
		w.checkOutcome(key, answer)
	}
}

func (w *claimWorld) keepGrant(key string, answer controller.ClaimAnswer) {
	for _, old := range w.grants {
		if old.Token == answer.Token {
			require.Equal(w.t, old.Attempt, answer.Attempt)
			return
		}
	}
	w.takeToken(answer.Token)
	w.grants = append(w.grants, answer)
	w.grantKey = append(w.grantKey, key)
}

// checkOutcome: only Unknown may change, and Completed tells of a run.
func (w *claimWorld) checkOutcome(key string, answer *controller.ClaimAnswer) {
	old, ok := w.outcomes[key]
	require.True(w.t, !ok || old == controller.Unknown || old == answer.Outcome, "%s then %s", old, answer.Outcome)
	w.outcomes[key] = answer.Outcome
	if answer.Outcome == controller.Completed {
		require.Equal(w.t, w.started[key], string(answer.Answer))
	}
}

// deliver hands a grant to its agent, which starts the attempt once at most.
func (w *claimWorld) deliver(i int) {
	grant, key := w.grants[i], w.grantKey[i]
	a := w.agents[string(grant.Upstream)]
	attempt := string(grant.Attempt)
	if a.incarnation != grant.Incarnation || a.seen[attempt] {
		return
	}
	a.seen[attempt] = true
	require.NotContains(w.t, w.started, key, "key ran before")
	require.False(w.t, w.notRun[attempt], "attempt was told as NotRun")
	w.started[key] = attempt
	a.running[key] = grant
}

// refuse asks the agent of a grant to refuse it, and frees or replaces the claim
// when the agent proves that the attempt wasn't seen.
func (w *claimWorld) refuse(i int, replaceOn string) {
	grant, key := w.grants[i], w.grantKey[i]
	a := w.agents[string(grant.Upstream)]
	attempt := string(grant.Attempt)
	if a.incarnation != grant.Incarnation || (a.seen[attempt] && !w.notRun[attempt]) {
		return
	}
	a.seen[attempt] = true
	w.notRun[attempt] = true
	if replaceOn != "" {
		w.claimKey(key, replaceOn, grant.Token)
		return
	}
	w.sendNew(settleOf(key, grant.Token, controller.NotRun, ""))
}

// finish ends what runs on an agent; its settlement may be lost.
func (w *claimWorld) finish(upstream string, lost bool) {
	a := w.agents[upstream]
	if len(a.running) == 0 {
		return
	}
	key := sortedKeys(a.running)[0]
	grant := a.running[key]
	delete(a.running, key)
	settle := settleOf(key, grant.Token, controller.Completed, string(grant.Attempt))
	w.commands = append(w.commands, settle)
	if !lost {
		w.send(settle)
	}
}

func settleOf(key string, token identifier.FencingToken, outcome controller.Outcome, answer string) *controller.Settle {
	return &controller.Settle{Organisation: "housing", Service: "booking", Key: identifier.IdempotencyKey(key),
		Token: token, Outcome: outcome, Answer: []byte(answer)}
}

// actions returns what may happen, for rapid to choose from.
func (w *claimWorld) actions() map[string]func(*rapid.T) {
	upstreams := rapid.SampledFrom([]string{"u1", "u2", "u3"})
	keys := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"})
	anyGrant := func(t *rapid.T) int {
		if len(w.grants) == 0 {
			t.Skip("no grant yet")
		}
		return rapid.IntRange(0, len(w.grants)-1).Draw(t, "grant")
	}
	return map[string]func(*rapid.T){
		"claim":   func(t *rapid.T) { w.claimKey(keys.Draw(t, "key"), upstreams.Draw(t, "upstream"), 0) },
		"deliver": func(t *rapid.T) { w.deliver(anyGrant(t)) },
		"refuse":  func(t *rapid.T) { w.refuse(anyGrant(t), "") },
		"replace": func(t *rapid.T) { w.refuse(anyGrant(t), upstreams.Draw(t, "upstream")) },
		"finish":  func(t *rapid.T) { w.finish(upstreams.Draw(t, "upstream"), rapid.Bool().Draw(t, "lost")) },
		"crash":   func(t *rapid.T) { w.restartAgent(upstreams.Draw(t, "upstream")) },
		"announce": func(t *rapid.T) {
			w.announceAgent(upstreams.Draw(t, "upstream"))
		},
		"expire": func(t *rapid.T) {
			name := upstreams.Draw(t, "upstream")
			w.sendNew(&controller.Expire{Upstream: identifier.Upstream(name), Token: w.agents[name].member})
		},
		"resend": func(t *rapid.T) { w.resend(rapid.IntRange(0, len(w.commands)-1).Draw(t, "command")) },
		"give up": func(t *rapid.T) {
			i := anyGrant(t)
			w.sendNew(settleOf(w.grantKey[i], w.grants[i].Token, controller.Unknown, ""))
		},
		"pass time": func(*rapid.T) { w.now = w.now.Add(time.Minute) },
		"restore":   func(*rapid.T) { w.restart() },
		"":          func(*rapid.T) { w.checkHeld() },
	}
}

// resend applies an old command again: the first copy may have been slow.
func (w *claimWorld) resend(i int) {
	result := w.send(w.commands[i])
	switch c := w.commands[i].(type) {
	case *controller.Claim:
		w.answered(string(c.Key), result, c)
	case *controller.Announce:
		a := w.agents[string(c.Upstream)]
		answer, ok := result.(*controller.AnnounceAnswer)
		if ok && c.Incarnation == a.incarnation && answer.Token != a.member {
			w.takeToken(answer.Token)
			a.member = answer.Token
		} else if ok && answer.Token > w.tokens[len(w.tokens)-1] {
			w.takeToken(answer.Token)
		}
	}
}

// checkHeld: a held claim has a holder that is a member.
func (w *claimWorld) checkHeld() {
	members := make(map[identifier.Upstream]identifier.FencingToken)
	for _, m := range w.state.Members().Members {
		members[m.Upstream] = m.Token
	}
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		record, ok := w.state.ClaimOf("housing", "booking", identifier.IdempotencyKey(key))
		if ok && record.State == controller.ClaimHeld {
			require.Equal(w.t, members[record.Upstream], record.HolderToken)
		}
	}
}

func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newClaimWorld(t)
		t.Repeat(w.actions())
		w.requireEqualStates()
	})
}
