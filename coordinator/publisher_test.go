package coordinator_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/coordinator"
	"celeryvalve/recorder"
)

// publishedSum is a sum of which others see the total that was last published.
type publishedSum struct {
	sum

	published    sync.Mutex
	total, times uint64
}

func (p *publishedSum) Publish() {
	total, _ := p.value()
	p.published.Lock()
	defer p.published.Unlock()
	p.total = total
	p.times++
}

func (p *publishedSum) seen() (total, times uint64) {
	p.published.Lock()
	defer p.published.Unlock()
	return p.total, p.times
}

// startPublishing starts the only replica of a cluster with a publishedSum.
func (c *cluster) startPublishing() *publishedSum {
	member := c.cfg.Members[0]
	store, err := recorder.Open(recorder.OSFileSystem{}, recorder.Config{Folder: c.dataFolder(0), Name: member.Name}, c.random)
	require.NoError(c.t, err)
	cfg := c.cfg
	cfg.Name, cfg.Addr = member.Name, member.Addr
	machine := &publishedSum{}
	n := &node{member: member, store: store, sum: &machine.sum}
	n.Coordinator = coordinator.New(cfg, store, machine, nodeTransport{network: c.network, from: member.Addr}, c.clocks[0],
		asserter.Strict{}, zap.NewNop())
	c.nodes[0] = n
	require.NoError(c.t, n.Start(c.t.Context()))
	return machine
}

// TestAnswerComesAfterPublish guards against a proposer that is told of a change which nobody sees yet on that replica.
func TestAnswerComesAfterPublish(t *testing.T) {
	const callers, commands = 8, 25
	c := newFakeCluster(t, 1)
	machine := c.startPublishing()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range commands {
				total := c.propose(1).(uint64)
				seen, _ := machine.seen()
				if seen < total {
					t.Errorf("total is %d after the answer, but %d is published", total, seen)
				}
			}
		})
	}
	running.Wait()
}

// TestStartPublishesOnce guards against a start that rebuilds the views of the state for each entry of the log.
func TestStartPublishesOnce(t *testing.T) {
	const commands = 50
	c := newFakeCluster(t, 1)
	c.startPublishing()
	for range commands {
		c.propose(1)
	}
	last := c.nodes[0].Status().Applied
	c.stop(0)
	machine := c.startPublishing()
	c.until(func() bool { return c.nodes[0].Status().Applied >= last })
	total, times := machine.seen()
	require.GreaterOrEqual(t, total, uint64(commands))
	// What the disk doesn't note as committed is applied by the next leader.
	require.LessOrEqual(t, times, uint64(2))
}
