package coordinator_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/recorder"
)

// commandBytes is the size of a large command in these tests.
const commandBytes = 50_000

func largeCommand() []byte {
	return append(number(1), make([]byte, commandBytes-len(number(1)))...)
}

// metric returns the value of a metric of the replica.
func (n *node) metric(t *testing.T, name string) float64 {
	var text bytes.Buffer
	n.metrics.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			var value float64
			_, err := fmt.Sscan(rest, &value)
			require.NoError(t, err)
			return value
		}
	}
	return 0
}

// TestStartLoadsNoMoreThanTheState guards against a start that reads and applies minutes of changes of a small state.
func TestStartLoadsNoMoreThanTheState(t *testing.T) {
	const commands, floor, patience = 150, 256 << 10, 30 * time.Second
	for _, state := range []int{0, 1 << 20} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			c := newFakeCluster(t, 1)
			c.ballast = state
			c.startAll()
			limit := max(floor, state)
			for range commands {
				c.proposeCommand(1, largeCommand())
			}
			end := c.clocks[0].Now().Add(patience)
			c.until(func() bool {
				s := c.nodes[0].Status()
				return int(s.Last-s.SnapshotIndex)*commandBytes <= limit || c.clocks[0].Now().After(end)
			})
			taken := c.nodes[0].metric(t, "celeryvalve_control_snapshots_taken_total")
			c.stop(0)
			store, err := recorder.Open(recorder.OSFileSystem{}, recorder.Config{Folder: c.dataFolder(0), Name: c.cfg.Members[0].Name}, c.random)
			require.NoError(t, err)
			loaded := 0
			for _, e := range store.State().Entries {
				loaded += len(e.Data)
			}
			require.NoError(t, store.Close())
			require.LessOrEqual(t, loaded, limit)
			require.LessOrEqual(t, taken, float64(commands*commandBytes/limit+1), "snapshots are more than the commands")
		})
	}
}

// stallingDisk blocks each sync between stall and release.
type stallingDisk struct {
	recorder.OSFileSystem
	mu sync.Mutex
}

type stallingFile struct {
	recorder.File
	disk *stallingDisk
}

func (d *stallingDisk) wait() {
	d.mu.Lock()
	defer d.mu.Unlock()
}

func (d *stallingDisk) stall()   { d.mu.Lock() }
func (d *stallingDisk) release() { d.mu.Unlock() }

func (d *stallingDisk) Create(path string) (recorder.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return stallingFile{File: f, disk: d}, err
}

func (d *stallingDisk) SyncFolder(path string) error {
	d.wait()
	return d.OSFileSystem.SyncFolder(path)
}

func (f stallingFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

// TestSnapshotsDontPileUp guards against a disk that is slower than the changes and writes outdated snapshots one after the other.
func TestSnapshotsDontPileUp(t *testing.T) {
	const name, commands = "celeryvalve_control_snapshots_taken_total", 5
	c := newFakeCluster(t, 3)
	c.cfg.SnapshotEvery = 1
	disks := make([]*stallingDisk, len(c.nodes))
	for i := range c.nodes {
		disks[i] = &stallingDisk{}
		c.start(i, disks[i])
	}
	c.propose(0)
	i := (c.leader() + 1) % len(c.nodes)
	c.agree()
	n, disk := c.nodes[i], disks[i]
	disk.stall()
	applied, before := n.Status().Applied, n.metric(t, name)
	for range commands {
		c.propose(1)
		want := applied + 1
		c.until(func() bool { return n.Status().Applied >= want })
		applied = n.Status().Applied
	}
	taken := n.metric(t, name) - before
	disk.release()
	require.LessOrEqual(t, taken, 1.0)
	c.until(func() bool { s := n.Status(); return s.SnapshotIndex == s.Applied })
}

// slowDisk takes time for each sync, by the replica's clock.
type slowDisk struct {
	recorder.OSFileSystem
	clock *pausableClock
	sync  time.Duration
}

type slowFile struct {
	recorder.File
	disk slowDisk
}

func (d slowDisk) Create(path string) (recorder.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return slowFile{File: f, disk: d}, err
}

func (d slowDisk) SyncFolder(path string) error {
	d.clock.advance(d.sync)
	return d.OSFileSystem.SyncFolder(path)
}

func (f slowFile) Sync() error {
	f.disk.clock.advance(f.disk.sync)
	return f.File.Sync()
}

// TestEntriesGetTheirShareOfASlowDisk guards against a slow disk that writes snapshots for most of the time while changes wait.
func TestEntriesGetTheirShareOfASlowDisk(t *testing.T) {
	const syncTime, commands = 300 * time.Millisecond, 40
	c := newFakeCluster(t, 1)
	c.cfg.SnapshotEvery = 1
	clock := c.clocks[0].(*pausableClock)
	c.start(0, slowDisk{clock: clock, sync: syncTime})
	n := c.nodes[0]
	c.propose(0)
	start, busy := clock.Now(), n.metric(t, "celeryvalve_control_snapshot_write_seconds_sum")
	for range commands {
		c.propose(1)
	}
	elapsed := clock.Since(start).Seconds()
	busy = n.metric(t, "celeryvalve_control_snapshot_write_seconds_sum") - busy
	one := 7 * syncTime.Seconds()
	require.LessOrEqual(t, busy, elapsed/2+one, "of %.1f s", elapsed)
	require.Greater(t, busy, 0.0)
}

// orderedDisk tells whether entries are written while the first snapshot is being saved. The sync of that
// snapshot's file blocks until release is closed.
type orderedDisk struct {
	recorder.OSFileSystem
	staging, release chan struct{}
	stage, rename    sync.Once
	// staged is set once the file is synced, logged once a file of the log is synced after it, and between if
	// that was before the file got its name.
	staged, logged, between atomic.Bool
}

type orderedFile struct {
	recorder.File
	disk     *orderedDisk
	snapshot bool
}

func (d *orderedDisk) Create(path string) (recorder.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return orderedFile{File: f, disk: d, snapshot: strings.HasPrefix(filepath.Base(path), "Snapshot-")}, err
}

func (d *orderedDisk) Rename(from, to string) error {
	if strings.HasPrefix(filepath.Base(to), "Snapshot-") {
		d.rename.Do(func() { d.between.Store(d.logged.Load()) })
	}
	return d.OSFileSystem.Rename(from, to)
}

func (f orderedFile) Sync() error {
	if f.snapshot {
		f.disk.stage.Do(func() {
			close(f.disk.staging)
			<-f.disk.release
			f.disk.staged.Store(true)
		})
	} else if f.disk.staged.Load() {
		f.disk.logged.Store(true)
	}
	return f.File.Sync()
}

// TestEntriesDontWaitForAWholeSnapshot guards against entries that wait on a slow disk until each sync of a snapshot is done.
func TestEntriesDontWaitForAWholeSnapshot(t *testing.T) {
	c := newFakeCluster(t, 1)
	c.cfg.SnapshotEvery = 3
	disk := &orderedDisk{staging: make(chan struct{}), release: make(chan struct{})}
	c.start(0, disk)
	n := c.nodes[0]
	var proposing sync.WaitGroup
	proposing.Go(func() {
		for range 4 {
			c.propose(1)
		}
	})
	<-disk.staging
	for range 2 { // once the second is in the log of the reducer, the first is queued for the disk
		last := n.Status().Last
		proposing.Go(func() { c.propose(1) })
		c.until(func() bool { return n.Status().Last > last })
	}
	close(disk.release)
	proposing.Wait()
	c.until(func() bool { return n.Status().SnapshotIndex > 0 })
	require.True(t, disk.between.Load())
}
