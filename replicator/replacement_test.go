package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/repairer"
	"celeryvalve/replicator"
)

// The times of the platform: catchUp is how long a successor counts as lost after its start,
// stopTime the least time between SIGTERM and the end of a process.
const (
	catchUp          = 4 * time.Second
	stopTime         = 2500 * time.Millisecond
	repairerInterval = 200 * time.Millisecond
)

// core is a simulation with the times of the platform, whose repairer runs all the time.
type core struct {
	*simulation
	repairer repairer.Config
}

func newCore(t tester, seed uint64, tolerated int) *core {
	c := &core{simulation: newSimulation(t, seed, 2*tolerated+1)}
	c.cfg.HeartbeatInterval, c.cfg.ElectionTimeout = 100*time.Millisecond, 600*time.Millisecond
	c.repairer = repairer.NewConfig(tolerated, catchUp)
	for _, n := range c.nodes {
		n.boot()
	}
	c.schedule(repairerInterval, c.repairRegularly)
	c.converge()
	return c
}

// drawCore starts a core that has as many standbys.
func drawCore(t *rapid.T, standbys int) *core {
	c := newCore(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "tolerated"))
	c.drawWeather(t)
	for range standbys {
		c.bootSpare()
	}
	c.advance(catchUp)
	return c
}

func (c *core) repairRegularly() {
	c.runRepairer(c.repairer)
	c.schedule(repairerInterval, c.repairRegularly)
}

// drawWeather makes the links slow, and the disk of one node.
func (c *core) drawWeather(t *rapid.T) {
	c.maxDelay = time.Duration(rapid.SampledFrom([]int{1, 20, 60}).Draw(t, "delay")) * time.Millisecond
	if slow := rapid.IntRange(0, 2*len(c.nodes)).Draw(t, "slow"); slow < len(c.nodes) {
		c.nodes[slow].slowDisk = true
	}
}

// bootSpare starts a successor at a new address with an empty disk.
func (c *core) bootSpare() *node {
	n := c.addNode()
	n.spare = true
	n.boot()
	return n
}

// lose ends a node for good.
func (c *core) lose(n *node) {
	n.crash()
	n.newDisk()
}

// drain plays SIGTERM: the node announces that it leaves, hands the leadership over and ends.
func (c *core) drain(n *node) {
	c.announceLeave(n)
	c.lose(n)
}

func (c *core) announceLeave(n *node) {
	n.feed(replicator.LeaveAnnounced{})
	if n.reducer.Status().Role == replicator.Leader {
		c.nextID++
		n.feed(replicator.TransferRequested{ID: c.nextID})
	}
	c.advance(stopTime)
}

// requireWorks fails unless a command is committed within the time in which the platform asks
// for recovery.
func (c *core) requireWorks() {
	const recovery = 12 * time.Second
	before := c.lastCommitted
	for end := c.now.Add(recovery); c.now.Before(end); c.advance(tickEvery) {
		if leader := c.leader(); leader != nil && c.lastCommitted == before {
			c.propose(leader)
		}
	}
	require.Greater(c.t, c.lastCommitted, before, "no command is committed: %s", c)
}

func (c *core) pick(t *rapid.T) *node {
	var running []*node
	for _, n := range c.nodes {
		if m, ok := c.membership().Find(n.replica); ok && m.Voter && n.running {
			running = append(running, n)
		}
	}
	if leader := c.leader(); leader != nil && rapid.Bool().Draw(t, "leader") {
		return leader
	}
	return rapid.SampledFrom(running).Draw(t, "node")
}

// TestPlannedReplacementsOneAfterAnother: planned stops of replicas whose successors have had
// their time must not end the cluster, however shortly they follow each other.
func TestPlannedReplacementsOneAfterAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerated := rapid.IntRange(1, 2).Draw(t, "tolerated")
		c := newCore(t, rapid.Uint64().Draw(t, "seed"), tolerated)
		c.drawWeather(t)
		replaced := rapid.IntRange(2, 2*tolerated+1).Draw(t, "replaced")
		old := make([]*node, replaced)
		copy(old, c.nodes)
		for range replaced {
			c.bootSpare()
		}
		c.advance(catchUp)
		for _, n := range old {
			c.drain(n)
			if rapid.Bool().Draw(t, "pause") {
				c.advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pauseMillis")) * time.Millisecond)
			}
		}
		c.requireWorks()
	})
}

// TestLossOnceTheSuccessorHasHadItsTime: once the successor of a lost replica has run for
// catchUp, another disk may be lost, whether or not the first loss was that of the leader.
func TestLossOnceTheSuccessorHasHadItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "tolerated"))
		c.drawWeather(t)
		for range rapid.IntRange(1, 3).Draw(t, "replaced") {
			c.lose(c.pick(t))
			c.advance(time.Duration(rapid.SampledFrom([]int{0, 100, 500, 1000, 3000}).Draw(t, "successorMillis")) * time.Millisecond)
			c.bootSpare()
			c.disturb(t, catchUp+100*time.Millisecond)
		}
		second := c.pick(t)
		second.loseDisk()
		second.spare = true
		c.advance(500 * time.Millisecond)
		second.boot()
		c.requireWorks()
	})
}

// disturb lets the time pass, with hand-overs of the leadership.
func (c *core) disturb(t *rapid.T, d time.Duration) {
	end := c.now.Add(d)
	for range rapid.IntRange(0, 2).Draw(t, "handOvers") {
		c.advance(min(end.Sub(c.now), time.Duration(rapid.IntRange(0, 2000).Draw(t, "handOverMillis"))*time.Millisecond))
		if leader := c.leader(); leader != nil {
			c.nextID++
			leader.feed(replicator.TransferRequested{ID: c.nextID})
		}
	}
	c.advance(end.Sub(c.now))
}

// TestStandstillDuringReplacement: a voter that stands still loses its place to a standby, and
// must do no harm when it goes on.
func TestStandstillDuringReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCore(t, 1)
		for range rapid.IntRange(1, 3).Draw(t, "standstills") {
			n := c.pick(t)
			n.frozen = true
			c.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "millis")) * time.Millisecond)
			n.thaw()
			c.advance(time.Duration(rapid.IntRange(4100, 8000).Draw(t, "calmMillis")) * time.Millisecond)
		}
		c.lose(c.pick(t))
		c.requireWorks()
	})
}

// leave plays an event after which the node is there again with its disk: a planned restart, a
// kill, a standstill or a partition.
func (c *core) leave(t *rapid.T, n *node) {
	away := time.Duration(rapid.IntRange(100, 5000).Draw(t, "awayMillis")) * time.Millisecond
	switch rapid.SampledFrom([]string{"restart", "kill", "standstill", "partition"}).Draw(t, "kind") {
	case "restart":
		c.announceLeave(n)
		n.crash()
		c.advance(500 * time.Millisecond)
		n.boot()
	case "kill":
		n.crash()
		c.advance(away)
		n.boot()
	case "standstill":
		n.frozen = true
		c.advance(away)
		n.thaw()
	case "partition":
		c.isolate(n)
		c.advance(away)
		clear(c.cut)
	}
}

// isolate cuts the node off from all others.
func (c *core) isolate(n *node) {
	for _, other := range c.nodes {
		c.cut[link{n.addr, other.addr}] = true
		c.cut[link{other.addr, n.addr}] = true
	}
}

// killAll kills all nodes, which are back within a second.
func (c *core) killAll(t *rapid.T) {
	for _, n := range c.nodes {
		if !n.running {
			continue
		}
		n.crash()
		c.schedule(time.Duration(rapid.IntRange(200, 1000).Draw(t, "backMillis"))*time.Millisecond, n.boot)
	}
	c.advance(time.Second)
}

// replaceNodes plays as many losses of disks, one right after the other, as are tolerated. It returns
// how long all successors have run.
func (c *core) replaceNodes(t *rapid.T) time.Duration {
	had := c.replaceNode(t)
	for range c.repairer.ToleratedLosses - 1 {
		had = min(had, c.replaceNode(t))
	}
	return had
}

// replaceNode plays one loss of a disk and returns how long the successor has run since its start.
func (c *core) replaceNode(t *rapid.T) time.Duration {
	n := c.pick(t)
	pause := time.Duration(rapid.IntRange(0, 6000).Draw(t, "pauseMillis")) * time.Millisecond
	switch rapid.SampledFrom([]string{"lost", "stopped", "planned", "wiped"}).Draw(t, "replacement") {
	case "lost":
		c.lose(n)
		c.advance(min(pause, 3*time.Second))
		c.bootSpare()
	case "stopped":
		c.drain(n)
		c.advance(min(pause, 3*time.Second))
		c.bootSpare()
	case "planned":
		c.bootSpare()
		c.advance(pause)
		c.drain(n)
		return pause + stopTime
	case "wiped":
		n.loseDisk()
		n.spare = true
		c.advance(200*time.Millisecond + min(pause, 3*time.Second))
		n.boot()
	}
	return 0
}

// TestLossesAsEarlyAsThePlatformAllows: however losses of disks, absences and kills of all follow each
// other, control must work as long as each node had its time before the next loss.
func TestLossesAsEarlyAsThePlatformAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCore(t, rapid.IntRange(0, 2).Draw(t, "standbys"))
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			had := time.Duration(0)
			switch rapid.SampledFrom([]string{"replacement", "absence", "both"}).Draw(t, "event") {
			case "replacement":
				had = c.replaceNodes(t)
			case "absence":
				c.leave(t, c.pick(t))
			case "both":
				c.replaceNodes(t)
				c.leave(t, c.pick(t))
			}
			if rapid.IntRange(0, 5).Draw(t, "killAll") == 0 {
				had = 0
				c.killAll(t)
			}
			c.advance(max(0, catchUp-had))
		}
		for range c.repairer.ToleratedLosses {
			c.lose(c.pick(t))
		}
		c.requireWorks()
	})
}

// TestRestartOfAllDuringReplacement: a replica that was lost just before all were restarted must give
// its place away in time too, although no new leader has ever heard of it.
func TestRestartOfAllDuringReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCore(t, 1)
		c.lose(c.pick(t))
		c.killAll(t)
		c.advance(catchUp)
		c.lose(c.pick(t))
		c.requireWorks()
	})
}

// TestStoppingLeaderHandsOverAgain: a leader that is about to stop must not keep the leadership because
// one transfer failed: it would be gone without notice, and so would its place among the voters.
func TestStoppingLeaderHandsOverAgain(t *testing.T) {
	const lostMessages = 100 * time.Millisecond
	c := newCore(t, 1, 1)
	stopping := c.leader()
	c.isolate(stopping)
	stopping.feed(replicator.LeaveAnnounced{})
	c.nextID++
	stopping.feed(replicator.TransferRequested{ID: c.nextID})
	c.advance(lostMessages)
	clear(c.cut)
	c.advance(stopTime - lostMessages)
	require.NotNil(t, c.leader())
	require.NotEqual(t, stopping.name, c.leader().name)
}

// TestSuccessorLacksNoChange: a membership change that begins during a transfer of the leadership makes
// the transfer fail, since the successor lacks its entry.
func TestSuccessorLacksNoChange(t *testing.T) {
	c := newCore(t, 1, 1)
	leader := c.leader()
	c.bootSpare()
	c.advance(50 * time.Millisecond)
	require.NotEmpty(t, leader.reducer.Status().Joiners)
	leader.feed(replicator.TransferRequested{ID: 100})
	leader.feed(replicator.AdmitRequested{ID: 101, Name: leader.reducer.Status().Joiners[0].Name, Standby: true})
	require.IsType(t, replicator.Rejected{}, c.answers[101])
	require.Equal(t, replicator.Busy, c.answers[101].(replicator.Rejected).Reason)
}

// TestReturnedReplicaTakesTheNextPlace: a replica that lost its place to a standby while it was away
// must be a standby itself, once it is back for catchUp: its place may be needed at once.
func TestReturnedReplicaTakesTheNextPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCore(t, 1)
		for range rapid.IntRange(1, 2).Draw(t, "away") {
			c.leave(t, c.pick(t))
			c.advance(catchUp)
		}
		c.drain(c.pick(t))
		c.lose(c.pick(t))
		c.requireWorks()
	})
}

// TestReturnedStandbyIsAStandbyAgain: a standby that was removed while it was away must not follow its
// last leader for good: it has to learn that it is no member any more, and join anew.
func TestReturnedStandbyIsAStandbyAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCore(t, 1)
		n := c.nodes[len(c.nodes)-1]
		c.leave(t, n)
		c.advance(catchUp)
		m, ok := c.membership().Find(n.replica)
		require.True(t, ok && m.Standby, "%s", c)
	})
}
