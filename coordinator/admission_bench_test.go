package coordinator_test

import (
	"context"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/coordinator"
	"celeryvalve/recorder"
)

const (
	// linkRate is what a link between two regions carries, and applyRate what a control replica
	// applies or packs, in bytes a second.
	linkRate  = 21e6 / 8
	applyRate = 4e6
	// declarationBytes is the size of a packed declaration of 1,440 routes.
	declarationBytes = 50_000
	// maxChangesInFlight is how many changes wait for their commit at a time.
	maxChangesInFlight = 4
	// outboxLength is how many messages wait for a link before further ones are dropped.
	outboxLength = 256
	// admissionLimit is how long an admission may take before it counts as unfinished.
	admissionLimit = 12 * time.Second
	// leaderDown is for how long a leader is down that is lost in an admission, and retryAfter when
	// one is asked again.
	leaderDown, retryAfter = 500 * time.Millisecond, 30 * time.Millisecond
)

// admission is the work beside which the successor of a lost disk is admitted.
type admission struct {
	// logBytes is the size of the commands since the snapshot, and stateBytes that of the state.
	logBytes, stateBytes int
	// changeRate is how many declarations are changed a second.
	changeRate int
	// newcomerSync and leaderSync are what each sync of their disks takes in addition.
	newcomerSync, leaderSync time.Duration
	// losesLeader says that the leader is lost once the newcomer is a member without a vote.
	losesLeader bool
}

// BenchmarkAdmission measures the time from the start of a replica whose disk was lost to its vote,
// and until it has applied all that was committed at the vote.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range []struct {
		name string
		vary func(*admission)
	}{
		{"usual", func(*admission) {}},
		{"log=0.1MB", func(a *admission) { a.logBytes = 100e3 }},
		{"log=1MB", func(a *admission) { a.logBytes = 1e6 }},
		{"state=10kB", func(a *admission) { a.stateBytes = 10e3 }},
		{"state=2MB", func(a *admission) { a.stateBytes = 2e6 }},
		{"changes=0", func(a *admission) { a.changeRate = 0 }},
		{"changes=20", func(a *admission) { a.changeRate = 20 }},
		{"log=1MB,changes=20", func(a *admission) { a.logBytes, a.changeRate = 1e6, 20 }},
		{"newcomer-sync=30ms", func(a *admission) { a.newcomerSync = 30 * time.Millisecond }},
		{"newcomer-sync=300ms", func(a *admission) { a.newcomerSync = 300 * time.Millisecond }},
		{"leader-sync=30ms", func(a *admission) { a.leaderSync = 30 * time.Millisecond }},
		{"leader-sync=300ms", func(a *admission) { a.leaderSync = 300 * time.Millisecond }},
		{"leader-lost", func(a *admission) { a.losesLeader = true }},
	} {
		b.Run(c.name, func(b *testing.B) {
			a := admission{logBytes: 8e6, stateBytes: 300e3, changeRate: 5}
			c.vary(&a)
			var votes, caughtUps, longest time.Duration
			unfinished := 0
			for range b.N {
				vote, caughtUp := newLoadedCluster(b, a).measure()
				votes += vote
				caughtUps += caughtUp
				longest = max(longest, vote)
				if caughtUp >= admissionLimit {
					unfinished++
				}
			}
			n := float64(b.N)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(votes.Seconds()/n, "vote-s")
			b.ReportMetric(longest.Seconds(), "longest-vote-s")
			b.ReportMetric(caughtUps.Seconds()/n, "caught-up-s")
			b.ReportMetric(float64(unfinished), "unfinished")
		})
	}
}

// loadedCluster is a cluster with links, processors and disks of limited speed, and one replica
// that loses its disk.
type loadedCluster struct {
	*cluster
	admission
	// limited holds once the limits are in force.
	limited *atomic.Bool
	disks   []limitedDisk
	// cancel ends the links of each replica.
	cancel    []context.CancelFunc
	newcomer  int
	admitting atomic.Bool
	changes   chan struct{}
	requests  sync.WaitGroup
}

// newLoadedCluster returns a cluster that has taken a snapshot, has logBytes of commands after it, and
// where a follower has been without a disk for a second.
func newLoadedCluster(b *testing.B, a admission) *loadedCluster {
	c := &loadedCluster{
		cluster: newCluster(b, 3, clockwork.NewRealClock), admission: a, limited: &atomic.Bool{},
		cancel: make([]context.CancelFunc, 3), changes: make(chan struct{}, maxChangesInFlight),
	}
	const snapshotEvery = 512
	c.cfg.SnapshotEvery = snapshotEvery
	for i := range c.nodes {
		c.disks = append(c.disks, limitedDisk{limited: c.limited, delay: &atomic.Int64{}})
		c.start(i)
	}
	c.proposeMany(snapshotEvery)
	c.until(func() bool {
		for _, n := range c.nodes {
			if n.Status().SnapshotIndex == 0 {
				c.propose(0)
				return false
			}
		}
		return true
	})
	for range a.logBytes / declarationBytes {
		c.changes <- struct{}{}
		c.change(c.nodes[c.leader()])
	}
	c.requests.Wait()
	leader := c.leader()
	c.newcomer = (leader + 1) % 3
	c.disks[c.newcomer].delay.Store(int64(a.newcomerSync))
	c.disks[leader].delay.Store(int64(a.leaderSync))
	c.stop(c.newcomer)
	require.NoError(b, os.RemoveAll(c.dataFolder(c.newcomer)))
	time.Sleep(time.Second)
	return c
}

// measure admits the newcomer and returns how long after its start it had its vote and all that was
// committed by then.
func (c *loadedCluster) measure() (vote, caughtUp time.Duration) {
	defer c.finish()
	c.limited.Store(true)
	c.start(c.newcomer)
	lost := -1
	var lostAt time.Time
	var committed recorder.Index
	start := time.Now()
	for next := start; ; time.Sleep(time.Millisecond) {
		if time.Since(start) >= admissionLimit {
			if vote == 0 {
				vote = admissionLimit
			}
			return vote, admissionLimit
		}
		if lost >= 0 && c.nodes[lost] == nil && time.Since(lostAt) >= leaderDown {
			c.start(lost)
		}
		leader := c.currentLeader()
		if leader < 0 {
			continue
		}
		status := c.nodes[leader].Status()
		member, votes := c.progressOf(status)
		if c.losesLeader && lost < 0 && member && !votes {
			lost, lostAt = leader, time.Now()
			c.stop(lost)
			continue
		}
		if c.changeRate > 0 && !time.Now().Before(next) {
			next = next.Add(time.Second / time.Duration(c.changeRate))
			select {
			case c.changes <- struct{}{}:
				c.change(c.nodes[leader])
			default:
			}
		}
		if len(status.Joiners) > 0 && c.admitting.CompareAndSwap(false, true) {
			c.admit(c.nodes[leader])
		}
		if vote == 0 && votes {
			vote, committed = time.Since(start), status.Commit
		}
		if vote > 0 && c.nodes[c.newcomer].Status().Applied >= committed {
			return vote, time.Since(start)
		}
	}
}

// progressOf returns whether the newcomer is a member, and whether it has its vote by a committed change
// and the disk that was lost has none.
func (c *loadedCluster) progressOf(status coordinator.Status) (member, votes bool) {
	voters := 0
	for _, m := range status.Members {
		if m.Voter {
			voters++
		}
		if m.Replica == c.nodes[c.newcomer].store.Replica() {
			member, votes = true, m.Voter
		}
	}
	return member, votes && voters == len(c.nodes) && status.MembershipIndex <= status.Commit
}

// admit asks the leader to admit the newcomer.
func (c *loadedCluster) admit(leader *node) {
	name := c.cfg.Members[c.newcomer].Name
	c.requests.Go(func() {
		defer c.admitting.Store(false)
		if leader.AdmitMember(c.t.Context(), name) != nil {
			time.Sleep(retryAfter)
		}
	})
}

// change proposes a declaration to the leader. It takes one place of c.changes.
func (c *loadedCluster) change(leader *node) {
	c.requests.Go(func() {
		defer func() { <-c.changes }()
		_, _ = leader.Propose(c.t.Context(), make([]byte, declarationBytes))
	})
}

// currentLeader returns the index of the replica that leads as far as it knows, in the latest term,
// or -1.
func (c *loadedCluster) currentLeader() int {
	leader, term := -1, uint64(0)
	for i, n := range c.nodes {
		if n != nil && n.IsLeader() && n.Term() > term {
			leader, term = i, n.Term()
		}
	}
	return leader
}

func (c *loadedCluster) start(i int) {
	ctx, cancel := context.WithCancel(c.t.Context())
	c.cancel[i] = cancel
	transport := &limitedTransport{
		nodeTransport: nodeTransport{network: c.network, from: c.cfg.Members[i].Addr},
		ctx:           ctx, limited: c.limited, outboxes: make(map[netip.AddrPort]chan []byte),
	}
	c.run(i, c.disks[i], ballast{size: c.stateBytes, limited: c.limited}, transport)
}

func (c *loadedCluster) stop(i int) {
	c.cancel[i]()
	c.cluster.stop(i)
}

func (c *loadedCluster) finish() {
	c.limited.Store(false)
	for i := range c.nodes {
		c.stop(i)
	}
	c.requests.Wait()
}

// ballast is a state machine whose state has a size, and that takes its time once it is limited.
type ballast struct {
	size    int
	limited *atomic.Bool
}

func (m ballast) work(bytes int) {
	if m.limited.Load() {
		time.Sleep(timeFor(bytes, applyRate))
	}
}

func (m ballast) Apply(_ uint64, _ time.Time, data []byte) any {
	m.work(len(data))
	return nil
}

func (m ballast) Snapshot() ([]byte, error) {
	m.work(m.size)
	return make([]byte, m.size), nil
}

func (m ballast) Restore(data []byte) error {
	m.work(len(data))
	return nil
}

// timeFor returns how long the bytes take at a rate of bytes a second.
func timeFor(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// limitedTransport is the transport of one replica over links that carry one message after the other.
type limitedTransport struct {
	nodeTransport
	ctx     context.Context
	limited *atomic.Bool

	mu       sync.Mutex
	outboxes map[netip.AddrPort]chan []byte
}

func (p *limitedTransport) Send(to netip.AddrPort, msg any) {
	p.mu.Lock()
	outbox := p.outboxes[to]
	if outbox == nil {
		outbox = make(chan []byte, outboxLength)
		p.outboxes[to] = outbox
		go p.carry(to, outbox)
	}
	p.mu.Unlock()
	select {
	case outbox <- p.encode(msg):
	default:
	}
}

func (p *limitedTransport) carry(to netip.AddrPort, outbox <-chan []byte) {
	var free time.Time
	for {
		select {
		case <-p.ctx.Done():
			return
		case frame := <-outbox:
			if p.limited.Load() {
				if now := time.Now(); free.Before(now) {
					free = now
				}
				free = free.Add(timeFor(len(frame), linkRate))
				time.Sleep(time.Until(free))
			}
			p.deliver(to, frame)
		}
	}
}

// limitedDisk is a disk whose syncs take longer once it is limited.
type limitedDisk struct {
	recorder.OSFileSystem
	limited *atomic.Bool
	delay   *atomic.Int64
}

type limitedFile struct {
	recorder.File
	disk limitedDisk
}

func (d limitedDisk) wait() {
	if d.limited.Load() {
		time.Sleep(time.Duration(d.delay.Load()))
	}
}

func (d limitedDisk) Create(path string) (recorder.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return limitedFile{File: f, disk: d}, err
}

func (d limitedDisk) SyncFolder(path string) error {
	d.wait()
	return d.OSFileSystem.SyncFolder(path)
}

func (f limitedFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}
