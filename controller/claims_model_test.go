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

// claimSimulation models a small system around the state: agents that crash, entry
// processes that resend, and a network that may deliver any old message again.
type claimSimulation struct {
	*replica
	mirror *controller.State // applies the same log without restarts
	agents map[string]*agentModel

	commands  []any                    // all sent commands: each may arrive again
	grants    []controller.ClaimAnswer // all grants: each may be delivered again
	grantKeys []string
	attempts  int
	started   map[string]string // the attempt that ran, by key
	notRun    map[string]bool   // attempts that were reported as NotRun
	outcomes  map[string]controller.Outcome
	tokens    []identifier.FencingToken
}

// agentModel models an agent and its upstream.
type agentModel struct {
	incarnation identifier.Incarnation
	member      identifier.FencingToken
	seen        map[string]bool // attempts that were started or refused
	running     map[string]controller.ClaimAnswer
}

func newClaimSimulation(t *rapid.T) *claimSimulation {
	s := &claimSimulation{
		replica:  newReplica(t),
		agents:   make(map[string]*agentModel),
		started:  make(map[string]string),
		notRun:   make(map[string]bool),
		outcomes: make(map[string]controller.Outcome),
	}
	s.mirror = controller.New(s.assert())
	for _, name := range []string{"u1", "u2", "u3"} {
		s.agents[name] = &agentModel{}
		s.restartAgent(name)
		s.announceAgent(name)
	}
	return s
}

// send applies a command to the replica and the mirror, and requires equal answers.
func (s *claimSimulation) send(command any) any {
	answer := s.apply(command)
	data, err := controller.EncodeCommand(command)
	require.NoError(s.t, err)
	require.Equal(s.t, answer, s.mirror.Apply(s.index, s.now, data))
	return answer
}

func (s *claimSimulation) sendNew(command any) any {
	s.commands = append(s.commands, command)
	return s.send(command)
}

func (s *claimSimulation) restartAgent(name string) {
	a := s.agents[name]
	a.incarnation++
	a.seen = make(map[string]bool)
	a.running = make(map[string]controller.ClaimAnswer)
}

func (s *claimSimulation) announceAgent(name string) {
	answer, ok := s.sendNew(&controller.Announce{
		Upstream: identifier.Upstream(name), Incarnation: s.agents[name].incarnation, Service: "booking",
	}).(*controller.AnnounceAnswer)
	if !ok || answer.Token == s.agents[name].member {
		return
	}
	s.recordToken(answer.Token)
	s.agents[name].member = answer.Token
}

func (s *claimSimulation) recordToken(token identifier.FencingToken) {
	if n := len(s.tokens); n > 0 {
		require.Greater(s.t, token, s.tokens[n-1])
	}
	s.tokens = append(s.tokens, token)
}

// claimKey claims a key for a new attempt. A token of a claim to replace must come
// from a confirmation of that claim's agent, or be zero.
func (s *claimSimulation) claimKey(key, upstream string, replaces identifier.FencingToken) {
	s.attempts++
	c := claimOf(key, fmt.Sprint("a", s.attempts), upstream, s.agents[upstream].incarnation)
	c.Replaces = replaces
	s.handleAnswer(key, s.sendNew(c), c)
}

func (s *claimSimulation) handleAnswer(key string, result any, c *controller.Claim) {
	answer, ok := result.(*controller.ClaimAnswer)
	require.True(s.t, ok)
	switch answer.Status {
	case controller.Granted:
		s.recordGrant(key, *answer)
	case controller.Settled:
		s.checkOutcome(key, answer)
	}
}

func (s *claimSimulation) recordGrant(key string, answer controller.ClaimAnswer) {
	for _, old := range s.grants {
		if old.Token == answer.Token {
			require.Equal(s.t, old.Attempt, answer.Attempt)
			return
		}
	}
	s.recordToken(answer.Token)
	s.grants = append(s.grants, answer)
	s.grantKeys = append(s.grantKeys, key)
}

// checkOutcome requires that no outcome but Unknown changes, and that a Completed
// claim has the answer of the attempt that ran.
func (s *claimSimulation) checkOutcome(key string, answer *controller.ClaimAnswer) {
	old, ok := s.outcomes[key]
	require.True(s.t, !ok || old == controller.Unknown || old == answer.Outcome, "outcome %s changed to %s", old, answer.Outcome)
	s.outcomes[key] = answer.Outcome
	if answer.Outcome == controller.Completed {
		require.Equal(s.t, s.started[key], string(answer.Answer))
	}
}

// deliver delivers a grant to its agent, which starts the attempt at most once. It
// requires that no attempt ran for the key before, and that the attempt was not
// reported as NotRun.
func (s *claimSimulation) deliver(i int) {
	grant, key := s.grants[i], s.grantKeys[i]
	a := s.agents[string(grant.Upstream)]
	attempt := string(grant.Attempt)
	if a.incarnation != grant.Incarnation || a.seen[attempt] {
		return
	}
	a.seen[attempt] = true
	require.NotContains(s.t, s.started, key, "key ran before")
	require.False(s.t, s.notRun[attempt], "attempt was reported as NotRun")
	s.started[key] = attempt
	a.running[key] = grant
}

// refuse asks the agent of a grant to refuse the attempt from now on. If the agent
// confirms that it has not started the attempt, the claim is replaced by one on the
// upstream replaceOn or, if that is empty, freed.
func (s *claimSimulation) refuse(i int, replaceOn string) {
	grant, key := s.grants[i], s.grantKeys[i]
	a := s.agents[string(grant.Upstream)]
	attempt := string(grant.Attempt)
	if a.incarnation != grant.Incarnation || (a.seen[attempt] && !s.notRun[attempt]) {
		return
	}
	a.seen[attempt] = true
	s.notRun[attempt] = true
	if replaceOn != "" {
		s.claimKey(key, replaceOn, grant.Token)
		return
	}
	s.sendNew(settleOf(key, grant.Token, controller.NotRun, ""))
}

// finish completes one running attempt of an agent. The settlement may be lost at
// first, but can be resent later.
func (s *claimSimulation) finish(upstream string, lost bool) {
	a := s.agents[upstream]
	if len(a.running) == 0 {
		return
	}
	key := sortedKeys(a.running)[0]
	grant := a.running[key]
	delete(a.running, key)
	settle := settleOf(key, grant.Token, controller.Completed, string(grant.Attempt))
	s.commands = append(s.commands, settle)
	if !lost {
		s.send(settle)
	}
}

func settleOf(key string, token identifier.FencingToken, outcome controller.Outcome, answer string) *controller.Settle {
	return &controller.Settle{Organisation: "housing", Service: "booking", Key: identifier.IdempotencyKey(key),
		Token: token, Outcome: outcome, Answer: []byte(answer)}
}

// actions returns the actions that rapid chooses from.
func (s *claimSimulation) actions() map[string]func(*rapid.T) {
	upstreams := rapid.SampledFrom([]string{"u1", "u2", "u3"})
	keys := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"})
	anyGrant := func(t *rapid.T) int {
		if len(s.grants) == 0 {
			t.Skip("no grant yet")
		}
		return rapid.IntRange(0, len(s.grants)-1).Draw(t, "grant")
	}
	return map[string]func(*rapid.T){
		"claim":   func(t *rapid.T) { s.claimKey(keys.Draw(t, "key"), upstreams.Draw(t, "upstream"), 0) },
		"deliver": func(t *rapid.T) { s.deliver(anyGrant(t)) },
		"refuse":  func(t *rapid.T) { s.refuse(anyGrant(t), "") },
		"replace": func(t *rapid.T) { s.refuse(anyGrant(t), upstreams.Draw(t, "upstream")) },
		"finish":  func(t *rapid.T) { s.finish(upstreams.Draw(t, "upstream"), rapid.Bool().Draw(t, "lost")) },
		"crash":   func(t *rapid.T) { s.restartAgent(upstreams.Draw(t, "upstream")) },
		"announce": func(t *rapid.T) {
			s.announceAgent(upstreams.Draw(t, "upstream"))
		},
		"expire": func(t *rapid.T) {
			name := upstreams.Draw(t, "upstream")
			s.sendNew(&controller.Expire{Upstream: identifier.Upstream(name), Token: s.agents[name].member})
		},
		"resend": func(t *rapid.T) { s.resend(rapid.IntRange(0, len(s.commands)-1).Draw(t, "command")) },
		"give up": func(t *rapid.T) {
			i := anyGrant(t)
			s.sendNew(settleOf(s.grantKeys[i], s.grants[i].Token, controller.Unknown, ""))
		},
		"pass time": func(*rapid.T) { s.now = s.now.Add(time.Minute) },
		"restore":   func(*rapid.T) { s.restart() },
		"":          func(*rapid.T) { s.checkHeld() },
	}
}

// resend applies an old command again, like a duplicate that arrives late.
func (s *claimSimulation) resend(i int) {
	result := s.send(s.commands[i])
	switch c := s.commands[i].(type) {
	case *controller.Claim:
		s.handleAnswer(string(c.Key), result, c)
	case *controller.Announce:
		a := s.agents[string(c.Upstream)]
		answer, ok := result.(*controller.AnnounceAnswer)
		if ok && c.Incarnation == a.incarnation && answer.Token != a.member {
			s.recordToken(answer.Token)
			a.member = answer.Token
		} else if ok && answer.Token > s.tokens[len(s.tokens)-1] {
			s.recordToken(answer.Token)
		}
	}
}

// checkHeld requires that the holder of each held claim is a member under the token
// of the grant.
func (s *claimSimulation) checkHeld() {
	members := make(map[identifier.Upstream]identifier.FencingToken)
	for _, m := range s.state.Members().Members {
		members[m.Upstream] = m.Token
	}
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		record, ok := s.state.ClaimOf("housing", "booking", identifier.IdempotencyKey(key))
		if ok && record.State == controller.ClaimHeld {
			require.Equal(s.t, members[record.Upstream], record.HolderToken)
		}
	}
}

func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newClaimSimulation(t)
		t.Repeat(s.actions())
		s.requireEqualStates()
	})
}
