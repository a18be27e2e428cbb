package recorder_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/explainer"
	"celeryvalve/recorder"
)

const folder = "data"

var config = recorder.Config{Folder: folder, Name: "c1", SegmentBytes: 300}

func open(fs recorder.FileSystem) (*recorder.Recorder, error) {
	return recorder.Open(fs, config, bytes.NewReader([]byte("identity")))
}

// entries returns n entries of the given term that follow the position after.
func entries(after recorder.Position, term recorder.Term, n int) []recorder.Entry {
	var list []recorder.Entry
	for range n {
		e := recorder.Entry{
			Index: after.Index + 1, Term: term,
			At:   time.Unix(int64(after.Index), 0).UTC(),
			Data: fmt.Appendf(nil, "command %d of term %d", after.Index+1, term),
		}
		e.Chain = e.ChainAfter(after.Chain)
		list = append(list, e)
		after = e.Position()
	}
	return list
}

// action is one call of a recorder and the expected state after it.
type action struct {
	call  func(*recorder.Recorder) error
	after recorder.State
	// truncated is the state in which the last batch of entries has removed those that
	// it replaces but has not added its own yet.
	truncated recorder.State
}

// script returns a sequence of calls that replace entries, save a snapshot of the
// replica itself and install one of another replica.
func script() []action {
	var s recorder.State
	var actions []action
	truncated := s
	add := func(call func(*recorder.Recorder) error) {
		actions = append(actions, action{call: call, after: s, truncated: truncated})
	}
	appendBatch := func(b recorder.Batch) {
		if b.HardState != nil {
			s.HardState = *b.HardState
		}
		if len(b.Entries) > 0 {
			kept := []recorder.Entry{}
			for _, e := range s.Entries {
				if e.Index < b.Entries[0].Index {
					kept = append(kept, e)
				}
			}
			truncated = recorder.State{HardState: s.HardState, Snapshot: s.Snapshot, Entries: kept, Committed: s.Committed}
			s.Entries = append(slices.Clone(kept), b.Entries...)
		}
		s.Committed = max(s.Committed, b.Committed)
		add(func(r *recorder.Recorder) error { return r.Append(b) })
	}
	last := func() recorder.Position { return s.Entries[len(s.Entries)-1].Position() }

	appendBatch(recorder.Batch{HardState: &recorder.HardState{Cluster: "x", Term: 1, Vote: "c1"}})
	first := entries(recorder.Position{}, 1, 6)
	appendBatch(recorder.Batch{Entries: first})
	appendBatch(recorder.Batch{HardState: &recorder.HardState{Cluster: "x", Term: 2}, Entries: entries(first[3].Position(), 2, 4)})
	appendBatch(recorder.Batch{Entries: entries(last(), 2, 3), Committed: 4})
	saved := recorder.Snapshot{Position: s.Entries[5].Position(), At: s.Entries[5].At, Data: []byte("state of 6")}
	s.Snapshot, s.Entries, s.Committed = &saved, s.Entries[6:], saved.Position.Index
	add(func(r *recorder.Recorder) error { return r.SaveSnapshot(saved) })
	appendBatch(recorder.Batch{Entries: entries(last(), 3, 5), Committed: 8})
	appendBatch(recorder.Batch{Committed: 9})
	distant := entries(last(), 4, 20)[19].Position()
	installed := recorder.Snapshot{Position: distant, Data: []byte("state of another replica")}
	s.Snapshot, s.Entries, s.Committed = &installed, nil, distant.Index
	add(func(r *recorder.Recorder) error { return r.InstallSnapshot(installed) })
	appendBatch(recorder.Batch{Entries: entries(distant, 5, 2)})
	appendBatch(recorder.Batch{HardState: &recorder.HardState{Cluster: "x", Term: 6, Vote: "c2"}})
	return actions
}

// requireState requires equal states. A nil list of entries equals an empty one.
func requireState(t *testing.T, want, got recorder.State) {
	t.Helper()
	require.Equal(t, want.HardState, got.HardState)
	require.Equal(t, want.Snapshot, got.Snapshot)
	require.Equal(t, want.Committed, got.Committed)
	require.Len(t, got.Entries, len(want.Entries))
	for i := range want.Entries {
		require.Equal(t, want.Entries[i], got.Entries[i])
	}
}

func runScript(t *testing.T, fs recorder.FileSystem) recorder.State {
	r, err := open(fs)
	require.NoError(t, err)
	var state recorder.State
	for _, a := range script() {
		require.NoError(t, a.call(r))
		state = a.after
	}
	require.NoError(t, r.Close())
	return state
}

func TestReopenAfterEachCall(t *testing.T) {
	fs := newMemFS()
	for _, a := range script() {
		r, err := open(fs)
		require.NoError(t, err)
		require.NoError(t, a.call(r))
		fs = fs.crash(0, 1, keepNoNames)
		again, err := open(fs)
		require.NoError(t, err)
		require.Equal(t, r.Replica(), again.Replica())
		requireState(t, a.after, again.State())
		require.NoError(t, again.Close())
	}
}

// TestCrashAtEachOperation guards against loss of acknowledged data at a crash. The
// disk fails at each operation in turn, and the crash then keeps none, half or all
// of the unsynced bytes. The state must be that of the acknowledged calls, that
// after the failed call, or that with only the replaced entries removed.
func TestCrashAtEachOperation(t *testing.T) {
	reference := newMemFS()
	runScript(t, reference)
	for failAt := range reference.operations {
		fs := newMemFS()
		fs.failAt = failAt
		acked, next := runUntilFailure(t, fs)
		for kept := range 3 {
			for mode := range nameSurvivalModes {
				requireRecovery(t, fs.crash(kept, 2, mode), acked, next)
			}
		}
		after := fs.crash(1, 2, keepNoNames)
		r, err := open(after.clone())
		require.NoError(t, err)
		crashWhileOpening(t, after, r.State())
	}
}

func requireRecovery(t *testing.T, fs *memFS, acked recorder.State, next action) {
	r, err := open(fs)
	require.NoError(t, err)
	got := r.State()
	if !stateEqual(next.after, got) && !stateEqual(next.truncated, got) {
		requireState(t, acked, got)
	}
	require.NoError(t, r.Append(recorder.Batch{HardState: &got.HardState}))
	requireReopens(t, fs.crash(0, 1, keepNoNames), got)
}

func requireReopens(t *testing.T, fs *memFS, want recorder.State) {
	t.Helper()
	r, err := open(fs)
	require.NoError(t, err)
	requireState(t, want, r.State())
}

// crashWhileOpening lets the disk fail at each operation of the Open that follows a
// crash.
func crashWhileOpening(t *testing.T, fs *memFS, want recorder.State) {
	for failAt := range 40 {
		opening := fs.clone()
		opening.failAt = failAt
		r, err := open(opening)
		if err == nil {
			requireState(t, want, r.State())
			return
		}
		for mode := range nameSurvivalModes {
			requireReopens(t, opening.crash(1, 2, mode), want)
		}
	}
}

// runUntilFailure returns the acknowledged state and the action that failed.
func runUntilFailure(t *testing.T, fs *memFS) (acked recorder.State, next action) {
	r, err := open(fs)
	if err != nil {
		return acked, next
	}
	for _, a := range script() {
		if err := a.call(r); err != nil {
			require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
			require.ErrorIs(t, r.Append(recorder.Batch{}), err, "a failed recorder must stay failed")
			return acked, a
		}
		acked = a.after
	}
	return acked, action{after: acked, truncated: acked}
}

func stateEqual(a, b recorder.State) bool {
	if !reflect.DeepEqual(a.HardState, b.HardState) || len(a.Entries) != len(b.Entries) || (a.Snapshot == nil) != (b.Snapshot == nil) {
		return false
	}
	if a.Snapshot != nil && a.Snapshot.Position != b.Snapshot.Position {
		return false
	}
	for i := range a.Entries {
		if a.Entries[i].Position() != b.Entries[i].Position() {
			return false
		}
	}
	return true
}

// TestDamageIsFound guards against damage that Open does not detect. It alters each
// byte, truncates each file at each length and removes each file. Open must return
// an error of kind Corrupt or the whole stored state.
func TestDamageIsFound(t *testing.T) {
	fs := newMemFS()
	want := runScript(t, fs)
	refused := 0
	check := func(damaged *memFS, damage string, args ...any) {
		r, err := open(damaged)
		if err != nil {
			require.Equal(t, explainer.Corrupt, explainer.KindOf(err), damage, args)
			refused++
			return
		}
		require.True(t, stateEqual(want, r.State()), "silent loss: "+damage, args)
	}
	for path, f := range fs.files {
		for i := range f.data {
			damaged := fs.clone()
			damaged.files[path].data[i] ^= 0x41
			check(damaged, "flip", path, i)
			damaged = fs.clone()
			damaged.files[path].data = damaged.files[path].data[:i]
			check(damaged, "cut", path, i)
		}
		damaged := fs.clone()
		delete(damaged.files, path)
		check(damaged, "removal", path)
	}
	require.Positive(t, refused)
}

func TestTornTailIsDropped(t *testing.T) {
	fs := newMemFS()
	want := runScript(t, fs)
	segment := newest(fs, "Log-")
	torn := entries(recorder.Position{Index: 500}, 9, 1)[0].Data
	fs.files[segment].data = append(fs.files[segment].data, torn...)
	r, err := open(fs)
	require.NoError(t, err)
	requireState(t, want, r.State())
}

func newest(fs *memFS, prefix string) string {
	found := ""
	for path := range fs.files {
		if strings.HasPrefix(filepath.Base(path), prefix) {
			found = max(found, path)
		}
	}
	return found
}

// TestDamageBeforeWholeFrame guards against dropping synced bytes when the mark file
// is lost: an intact frame after the damage still proves that the damaged bytes had
// been synced.
func TestDamageBeforeWholeFrame(t *testing.T) {
	fs := newMemFS()
	r, err := open(fs)
	require.NoError(t, err)
	require.NoError(t, r.Append(recorder.Batch{Entries: entries(recorder.Position{}, 1, 1)}))
	segment := newest(fs, "Log-")
	delete(fs.files, newest(fs, "Mark-"))
	fs.files[segment].data[10] ^= 1
	_, err = open(fs)
	require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
	require.Contains(t, err.Error(), "admit the replica again")
}

func TestFullDiskStopsForGood(t *testing.T) {
	fs := newMemFS()
	r, err := open(fs)
	require.NoError(t, err)
	fs.capacity = 40
	batch := recorder.Batch{Entries: entries(recorder.Position{}, 1, 5)}
	err = r.Append(batch)
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
	require.Contains(t, err.Error(), "disk is full")
	fs.capacity = -1
	require.ErrorIs(t, r.Append(batch), err)
	require.ErrorIs(t, r.Err(), err)
	again, err := open(fs.crash(1, 1, keepAllNames))
	require.NoError(t, err)
	require.Empty(t, again.State().Entries)
}

// TestCloseAfterAFailureReleasesTheFolder guards against a data folder that can't be opened again since the recorder that
// failed still holds its lock, and against files that stay open. The disk fails at each operation in turn.
func TestCloseAfterAFailureReleasesTheFolder(t *testing.T) {
	reference := newMemFS()
	runScript(t, reference)
	for failAt := range reference.operations {
		fs := newMemFS()
		fs.failAt = failAt
		r, err := open(fs)
		if err != nil {
			require.Empty(t, fs.open)
			continue
		}
		for _, a := range script() {
			if err = a.call(r); err != nil {
				break
			}
		}
		closeErr := r.Close()
		require.ErrorIs(t, closeErr, errDisk)
		if err != nil {
			require.ErrorIs(t, closeErr, err)
		}
		require.Empty(t, fs.open)
		require.ErrorIs(t, r.Close(), closeErr)
	}
}

func TestForeignFolderIsRefused(t *testing.T) {
	fs := newMemFS()
	runScript(t, fs)
	other := config
	other.Name = "c2"
	_, err := recorder.Open(fs, other, bytes.NewReader([]byte("identity")))
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
}

func TestDiskOfOperatingSystem(t *testing.T) {
	cfg := config
	cfg.Folder = filepath.Join(t.TempDir(), "a", "b")
	random := bytes.NewReader([]byte("identity"))
	r, err := recorder.Open(recorder.OSFileSystem{}, cfg, random)
	require.NoError(t, err)
	_, err = recorder.Open(recorder.OSFileSystem{}, cfg, random)
	require.Equal(t, explainer.Conflict, explainer.KindOf(err))
	var want recorder.State
	for _, a := range script() {
		require.NoError(t, a.call(r))
		want = a.after
	}
	require.NoError(t, r.Close())
	again, err := recorder.Open(recorder.OSFileSystem{}, cfg, random)
	require.NoError(t, err)
	requireState(t, want, again.State())
	require.NoError(t, again.Close())
}

func FuzzOpen(f *testing.F) {
	fs := newMemFS()
	r, err := open(fs)
	require.NoError(f, err)
	for _, a := range script()[:4] {
		require.NoError(f, a.call(r))
	}
	segment := newest(fs, "Log-")
	f.Add(fs.files[segment].data)
	f.Add(fs.files[segment].data[:50])
	f.Add([]byte{})
	f.Add([]byte("CVL1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		damaged := fs.clone()
		for path := range damaged.files {
			if !strings.HasSuffix(path, "Identity") {
				delete(damaged.files, path)
			}
		}
		damaged.files[segment] = &memFile{fs: damaged, data: data}
		if _, err := open(damaged); err != nil {
			require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
		}
	})
}
