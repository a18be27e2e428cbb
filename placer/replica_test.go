package placer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/recorder"
	"celeryvalve/registrar"
	"celeryvalve/repairer"
	"celeryvalve/repeater"
	"celeryvalve/replicator"
	"celeryvalve/spreader"
)

// Guards against the loss of a majority when a second replica is lost as soon as the
// platform allows it: its time to catch up after the replacement of the first one started.
// The replacement then must have a vote, and the lost replica none.
func TestReplacementVotesBeforeTheNextLoss(t *testing.T) {
	const catchUp, replacedAfter = 4 * time.Second, time.Second
	r := repairer.New(repairer.NewConfig(1, catchUp))
	lost := time.Unix(1_700_000_000, 0)
	status := replicator.Status{Role: replicator.Leader, Replica: "a", Commit: 9, MembershipIndex: 1}
	status.Members = []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Name: "a", Voter: true}},
		{Member: recorder.Member{Replica: "b", Name: "b", Voter: true}},
		{Member: recorder.Member{Replica: "c", Name: "c", Voter: true}, LastHeard: lost},
	}
	var replacedAt time.Duration
	for at := time.Duration(0); at < time.Minute && replacedAt == 0; at += replicaReconcileInterval {
		now := lost.Add(at)
		status.Members[0].LastHeard, status.Members[1].LastHeard = now, now
		if at >= replacedAfter && len(status.Members) == 3 {
			status.Joiners = []replicator.JoinerStatus{{Replica: "d", Name: "d", LastHeard: now}}
		}
		switch action := r.Decide(now, status); action.Kind {
		case repairer.AddStandby:
			status.Joiners = nil
			status.Members = append(status.Members, replicator.MemberStatus{Member: recorder.Member{Replica: "d", Name: "d", Standby: true}, LastHeard: now.Add(time.Hour)})
		case repairer.Replace:
			require.Equal(t, identifier.Replica("c"), action.Voter)
			replacedAt = at
		}
	}
	require.Positive(t, replacedAt)
	require.LessOrEqual(t, replacedAt, replacedAfter+catchUp)
	// The steps of the change have the rest of the time, also if the successor starts at the loss.
	require.LessOrEqual(t, replacedAt, catchUp/2+2*replicaReconcileInterval)
}

// Guards against a stopping replica that waits in vain to lose its place: once it is removed, no
// leader tells it so, only the list that other processes pass on.
func TestHandOverEndsWhenTheListLacksTheReplica(t *testing.T) {
	view := declarer.NewView(asserter.Strict{})
	s := spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clockwork.NewFakeClock(), zap.NewNop())
	r := &replica{spreader: s}
	status := replicator.Status{Replica: "a", MembershipIndex: 5, Members: []replicator.MemberStatus{
		{Member: recorder.Member{Replica: "a", Voter: true}}, {Member: recorder.Member{Replica: "b", Voter: true}},
	}}
	require.False(t, r.isReplaceable(status), "there is no standby")
	status.Members = append(status.Members, replicator.MemberStatus{Member: recorder.Member{Replica: "d", Standby: true}})
	require.True(t, r.isReplaceable(status))
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}
	s.SetReplicas(spreader.Replicas{Index: 6, Led: true, Addresses: addresses, Disks: []identifier.Replica{"a", "b", "d"}})
	require.True(t, r.isReplaceable(status))
	s.SetReplicas(spreader.Replicas{Index: 7, Led: true, Addresses: addresses, Disks: []identifier.Replica{"b", "d"}})
	require.False(t, r.isReplaceable(status))
}

// newTestReplica returns a replica with a disk on the file system, and the set of its process's metrics.
func newTestReplica(t *testing.T, clock clockwork.Clock, disk recorder.FileSystem) (*replica, *metrics.Set) {
	view, set := declarer.NewView(asserter.Strict{}), metrics.NewSet()
	return newReplica(replicaDeps{
		Placement:  parser.Placement{DataFolder: t.TempDir()},
		View:       view,
		Spreader:   spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clock, zap.NewNop()),
		Asserter:   asserter.Strict{},
		Clock:      clock,
		Metrics:    set,
		Log:        zap.NewNop(),
		FileSystem: disk,
	}), set
}

// Guards against metrics of the control replica that the process does not expose, or no longer does once the disk was
// opened again.
func TestMetricsOfTheReplicaAreExposed(t *testing.T) {
	const gauge = "celeryvalve_control_learner_backlog_bytes"
	clock := clockwork.NewFakeClock()
	r, set := newTestReplica(t, clock, recorder.OSFileSystem{})
	exposed := func() int {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		return strings.Count(text.String(), gauge+" 0\n")
	}
	require.Zero(t, exposed(), "no disk is open")
	for range 2 {
		clock.Advance(reopenInterval)
		r.startOpening()
		requireOpen(t, r)
		require.Equal(t, 1, exposed())
		r.closeNode(r.currentNode(), nil)
	}
}

func requireOpen(t *testing.T, r *replica) {
	t.Helper()
	require.Eventually(t, func() bool { return r.currentNode() != nil }, time.Minute, time.Millisecond)
}

func (r *replica) isOpening() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opening
}

// stallingDisk is a file system that stalls whenever the disk is opened, until it gets an outcome.
type stallingDisk struct {
	recorder.OSFileSystem
	opening  chan bool
	outcomes chan error
	unlocked chan bool
	// syncing stalls the syncs of files while it is locked.
	syncing *sync.Mutex
}

func newStallingDisk() stallingDisk {
	return stallingDisk{opening: make(chan bool), outcomes: make(chan error), unlocked: make(chan bool, 1), syncing: &sync.Mutex{}}
}

func (d stallingDisk) MakeFolder(path string) error {
	d.opening <- true
	if err := <-d.outcomes; err != nil {
		return err
	}
	return d.OSFileSystem.MakeFolder(path)
}

func (d stallingDisk) Create(path string) (recorder.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return stallingFile{f, d.syncing}, err
}

type stallingFile struct {
	recorder.File
	syncing *sync.Mutex
}

func (f stallingFile) Sync() error {
	f.syncing.Lock()
	defer f.syncing.Unlock()
	return f.File.Sync()
}

func (d stallingDisk) Lock(path string) (io.Closer, error) {
	lock, err := d.OSFileSystem.Lock(path)
	return reportingLock{lock, d.unlocked}, err
}

// reportingLock reports when it is closed.
type reportingLock struct {
	io.Closer
	closed chan<- bool
}

func (l reportingLock) Close() error {
	l.closed <- true
	return l.Closer.Close()
}

// requireHook requires that the hook of the process ends without an error while the disk stalls.
func requireHook(t *testing.T, hook func(context.Context) error) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- hook(t.Context()) }()
	require.Eventually(t, func() bool { return len(ended) == 1 }, time.Minute, time.Millisecond, "it waits for the disk")
	require.NoError(t, <-ended)
}

// Guards against a process that ends by itself, or stands still, since its disk takes longer to open than its start may.
func TestReplicaStartsWithoutItsDisk(t *testing.T) {
	clock, disk := clockwork.NewFakeClock(), newStallingDisk()
	r, set := newTestReplica(t, clock, disk)
	requireHook(t, r.start)
	<-disk.opening
	_, err := r.Propose(t.Context(), nil)
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
	require.Equal(t, &DocumentAnswer{}, r.document(t.Context()))
	require.Zero(t, r.Leadership())
	r.receive(netip.AddrPort{}, nil)
	set.WritePrometheus(io.Discard)
	r.reconcile(t.Context())

	disk.outcomes <- errors.New("input/output error")
	require.Eventually(t, func() bool { return !r.isOpening() }, time.Minute, time.Millisecond)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(reopenInterval)
	<-disk.opening
	disk.outcomes <- nil
	requireOpen(t, r)
	require.NoError(t, r.stop(t.Context()))
}

// Guards against a replica that starts after the hand-over, when no leader would be told that it leaves.
func TestNoReplicaStartsAfterTheHandOver(t *testing.T) {
	t.Run("disk being opened", func(t *testing.T) {
		clock, disk := clockwork.NewFakeClock(), newStallingDisk()
		r, _ := newTestReplica(t, clock, disk)
		requireHook(t, r.start)
		<-disk.opening
		r.handOver(t.Context())
		disk.outcomes <- nil
		require.Eventually(t, func() bool { return len(disk.unlocked) == 1 || r.currentNode() != nil }, time.Minute, time.Millisecond)
		require.Nil(t, r.currentNode())
		require.NoError(t, r.stop(t.Context()))
	})
	t.Run("replica being started", func(t *testing.T) {
		r, _ := newTestReplica(t, clockwork.NewFakeClock(), recorder.OSFileSystem{})
		store, err := openStore(r.deps)
		require.NoError(t, err)
		node, err := newNode(r.deps, store)
		require.NoError(t, err)
		r.handOver(t.Context())
		r.endOpening(node, nil)
		require.Nil(t, r.currentNode())
		again, err := openStore(r.deps)
		require.NoError(t, err, "the disk is still open")
		require.NoError(t, again.Close())
	})
	t.Run("disk that fails", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		r, _ := newTestReplica(t, clock, recorder.OSFileSystem{})
		r.startOpening()
		requireOpen(t, r)
		r.handOver(t.Context())
		r.closeNode(r.currentNode(), nil)
		clock.Advance(reopenInterval)
		r.startOpening()
		require.False(t, r.isOpening())
	})
}

// Guards against a process that outlasts its grace period since its disk is still being opened, and against a replica that
// starts in a process that stops.
func TestStopDoesNotWaitForTheDisk(t *testing.T) {
	clock, disk := clockwork.NewFakeClock(), newStallingDisk()
	r, _ := newTestReplica(t, clock, disk)
	requireHook(t, r.start)
	<-disk.opening
	requireHook(t, r.stop)
	disk.outcomes <- nil
	<-disk.unlocked
	require.Nil(t, r.currentNode())
}

// Guards against a process that stops with an error, and closes neither its connections nor its port, since its disk takes
// long to close.
func TestStopDoesNotWaitLongForTheDisk(t *testing.T) {
	clock, disk := clockwork.NewFakeClock(), newStallingDisk()
	r, _ := newTestReplica(t, clock, disk)
	require.NoError(t, r.start(t.Context()))
	<-disk.opening
	disk.outcomes <- nil
	requireOpen(t, r)
	disk.syncing.Lock()
	requireStopDespiteTheDisk(t, r, clock)
	disk.syncing.Unlock()
	<-disk.unlocked
}

// Guards against a process that outlasts its grace period since the disk of a replica that was removed is still being closed.
func TestStopDoesNotWaitLongForAReset(t *testing.T) {
	clock, disk := clockwork.NewFakeClock(), newStallingDisk()
	r, _ := newTestReplica(t, clock, disk)
	r.startOpening()
	<-disk.opening
	disk.outcomes <- nil
	requireOpen(t, r)
	node := r.currentNode()
	r.reconciler = repeater.New(clock, replicaReconcileInterval, func(context.Context) { r.resetDisk(node) })
	disk.syncing.Lock()
	r.reconciler.Start()
	r.reconciler.Trigger()
	require.Eventually(t, func() bool { return r.currentNode() == nil }, time.Minute, time.Millisecond)
	requireStopDespiteTheDisk(t, r, clock)
	disk.syncing.Unlock()
	r.reconciler.Stop()
}

// requireStopDespiteTheDisk requires that the replica stops without an error once closeTimeout has passed, while the disk stalls.
func requireStopDespiteTheDisk(t *testing.T, r *replica, clock *clockwork.FakeClock) {
	t.Helper()
	stopped := make(chan error, 1)
	go func() { stopped <- r.stop(t.Context()) }()
	require.Eventually(t, func() bool {
		clock.Advance(closeTimeout)
		return len(stopped) == 1
	}, time.Minute, time.Millisecond, "it waits for the disk")
	require.NoError(t, <-stopped)
}
