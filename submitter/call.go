package submitter

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"celeryvalve/coordinator"
	"celeryvalve/explainer"
	"celeryvalve/recorder"
)

// resendDelay is how long a leader may take until it gets a request again, which may have been lost with its
// connection.
const resendDelay = time.Second

// maxLoggedAttempts bounds the attempts in one line of the log. The first ones are kept.
const maxLoggedAttempts = 16

// call is one request on its way to the leader. It goes to the known leader, and to each one of a later term
// that becomes known before there is an answer: the earlier one can't commit anything any more.
type call struct {
	*Submitter

	request  any
	begun    time.Time
	believed coordinator.Leadership // at the beginning
	// running holds when the request was last sent to each leader that has not answered it.
	running map[coordinator.Leadership]time.Time
	// failed holds the leaders that did not serve the request since the replicas were last asked. They are
	// left alone until they are asked again.
	failed map[coordinator.Leadership]bool
	ended  chan attempt
	// attempts describes those that have ended.
	attempts []string
}

// attempt is a call of one leader that has ended.
type attempt struct {
	leader coordinator.Leadership
	answer any
	err    error
}

func newCall(s *Submitter, request any) *call {
	believed, _ := s.finder.leader()
	return &call{
		Submitter: s, request: request, begun: s.clock.Now(), believed: believed,
		running: make(map[coordinator.Leadership]time.Time), failed: make(map[coordinator.Leadership]bool), ended: make(chan attempt),
	}
}

// run sends the request until it is served or ctx ends.
func (c *call) run(ctx context.Context) (any, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.believed.Leader.IsValid() {
		c.finder.ask()
	}
	nextAsk := c.clock.After(askInterval)
	for {
		leader, changed := c.finder.leader()
		c.begin(ctx, leader)
		select {
		case <-ctx.Done():
			return nil, c.unavailable(ctx.Err())
		case <-changed:
		case <-nextAsk:
			clear(c.failed)
			c.finder.ask()
			nextAsk = c.clock.After(askInterval)
		case a := <-c.ended:
			answer, err := a.outcome()
			if explainer.KindOf(err) != explainer.Unavailable {
				return answer, err
			}
			c.note(a.leader, err)
			delete(c.running, a.leader)
			c.failed[a.leader] = true
			c.learnFrom(a)
		}
	}
}

// begin sends the request to the leader, unless that one has it or has failed just now. One that has not answered for
// resendDelay gets it again. Its answer to the first one still counts: on a slow disk both take as long.
func (c *call) begin(ctx context.Context, leader coordinator.Leadership) {
	sentAt, sent := c.running[leader]
	if sent && c.clock.Since(sentAt) < resendDelay || c.failed[leader] || !leader.Leader.IsValid() {
		return
	}
	c.running[leader] = c.clock.Now()
	go func() {
		answer, err := c.caller.Call(ctx, leader.Leader, c.request)
		select {
		case c.ended <- attempt{leader: leader, answer: answer, err: err}:
		case <-ctx.Done():
		}
	}()
}

// refusal returns the refusal that the answer stands for, or nil.
func (a attempt) refusal() *Refused {
	if r, ok := a.answer.(Refusable); ok {
		return r.Refusal()
	}
	return nil
}

// outcome returns the answer, or an error. Its kind is Unavailable if the request should be sent again.
func (a attempt) outcome() (any, error) {
	refused := a.refusal()
	switch {
	case explainer.KindOf(a.err) == explainer.InvalidInput:
		return nil, a.err
	case a.err != nil:
		return nil, explainer.Wrap(a.err, explainer.Unavailable, "the replica did not answer", "try again")
	case refused != nil:
		return nil, explainer.New(refused.Kind, refused.Problem, refused.Remedy)
	default:
		return a.answer, nil
	}
}

// learnFrom takes in what an attempt without success tells of the leader.
func (c *call) learnFrom(a attempt) {
	var hint coordinator.Leadership
	if refused := a.refusal(); refused != nil {
		hint = coordinator.Leadership{Leader: refused.Leader, Term: recorder.Term(refused.Term)}
	}
	if hint == a.leader {
		return
	}
	c.finder.forget(a.leader)
	c.finder.learn(hint)
	if !hint.Leader.IsValid() {
		c.finder.ask()
	}
}

// note records an attempt for the log.
func (c *call) note(leader coordinator.Leadership, err error) {
	if len(c.attempts) < maxLoggedAttempts {
		c.attempts = append(c.attempts, fmt.Sprintf("%s of term %d, %d ms: %v",
			leader.Leader, leader.Term, c.clock.Since(c.running[leader]).Milliseconds(), err))
	}
}

// report measures the call, and logs it if no leader has served it.
func (c *call) report(err error) {
	took := c.clock.Since(c.begun)
	c.metrics.seconds.Update(took.Seconds())
	if explainer.KindOf(err) != explainer.Unavailable {
		return
	}
	c.metrics.unavailable.Inc()
	for leader := range c.running {
		c.note(leader, err)
	}
	c.log.Warn("No leader answered.", zap.Duration("took", took), zap.Stringer("believed", c.believed.Leader),
		zap.Strings("attempts", c.attempts), zap.Strings("replicas", c.finder.describe()))
}
