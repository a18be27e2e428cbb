package recorder_test

import (
	"bytes"
	"fmt"
	"path/filepath"
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

// entries returns n entries of the term that follow position.
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

// action is one call of a recorder, and what the state is after it.
type action struct {
	call  func(*recorder.Recorder) error
	after recorder.State
	// between is the state once replaced entries are gone.
	between recorder.State
}

// script is a sequence of calls with overwritten entries, a snapshot of the
// replica's own and an installed one.
func script() []action {
	var s recorder.State
	var actions []action
	between := s
	add := func(call func(*recorder.Recorder) error) {
		actions = append(actions, action{call: call, after: s, between: between})
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
			between = recorder.State{HardState: s.HardState, Snapshot: s.Snapshot, Entries: kept}
			s.Entries = append(slices.Clone(kept), b.Entries...)
		}
		add(func(r *recorder.Recorder) error { return r.Append(b) })
	}
	last := func() recorder.Position { return s.Entries[len(s.Entries)-1].Position() }

	appendBatch(recorder.Batch{HardState: &recorder.HardState{Cluster: "x", Term: 1, Vote: "c1"}})
	first := entries(recorder.Position{}, 1, 6)
	appendBatch(recorder.Batch{Entries: first})
	appendBatch(recorder.Batch{HardState: &recorder.HardState{Cluster: "x", Term: 2}, Entries: entries(first[3].Position(), 2, 4)})
	appendBatch(recorder.Batch{Entries: entries(last(), 2, 3)})
	own := recorder.Snapshot{Position: s.Entries[5].Position(), At: s.Entries[5].At, Data: []byte("state of 6")}
	s.Snapshot, s.Entries = &own, s.Entries[6:]
	add(func(r *recorder.Recorder) error { return r.SaveSnapshot(own) })
	appendBatch(recorder.Batch{Entries: entries(last(), 3, 5)})
	far := entries(last(), 4, 20)[19].Position()
	installed := recorder.Snapshot{Position: far, Data: []byte("state of another replica")}
	s.Snapshot, s.Entries = &installed, nil
	add(func(r *recorder.Recorder) error { return r.InstallSnapshot(installed) })
	appendBatch(recorder.Batch{Entries: entries(far, 5, 2)})
	appendBatch(recorder.Batch{HardState: &recorder.HardState{Cluster: "x", Term: 6, Vote: "c2"}})
	return actions
}

// requireState compares but for the difference of nil and empty.
func requireState(t *testing.T, want, got recorder.State) {
	t.Helper()
	require.Equal(t, want.HardState, got.HardState)
	require.Equal(t, want.Snapshot, got.Snapshot)
	require.Len(t, got.Entries, len(want.Entries))
	for i := range want.Entries {
		require.Equal(t, want.Entries[i], got.Entries[i])
	}
}

func play(t *testing.T, fs recorder.FileSystem) recorder.State {
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
	fs := newMemory()
	for _, a := range script() {
		r, err := open(fs)
		require.NoError(t, err)
		require.NoError(t, a.call(r))
		fs = fs.crash(0, 1, noNames)
		again, err := open(fs)
		require.NoError(t, err)
		require.Equal(t, r.Replica(), again.Replica())
		requireState(t, a.after, again.State())
		require.NoError(t, again.Close())
	}
}

// TestCrashAtEachOperation lets every single operation of the disk fail, then
// loses none, half or all of the unsynced bytes. What was acknowledged must be
// there; of the call that failed all or nothing.
func TestCrashAtEachOperation(t *testing.T) {
	whole := newMemory()
	play(t, whole)
	for failAt := range whole.operations {
		fs := newMemory()
		fs.failAt = failAt
		acked, next := playUntilFailure(t, fs)
		for kept := range 3 {
			for mode := range namesModes {
				requireRecovery(t, fs.crash(kept, 2, mode), acked, next)
			}
		}
		after := fs.crash(1, 2, noNames)
		r, err := open(after.clone())
		require.NoError(t, err)
		crashWhileOpening(t, after, r.State())
	}
}

func requireRecovery(t *testing.T, fs *memory, acked recorder.State, next action) {
	r, err := open(fs)
	require.NoError(t, err)
	got := r.State()
	if !stateEqual(next.after, got) && !stateEqual(next.between, got) {
		requireState(t, acked, got)
	}
	require.NoError(t, r.Append(recorder.Batch{HardState: &got.HardState}))
	requireReopens(t, fs.crash(0, 1, noNames), got)
}

func requireReopens(t *testing.T, fs *memory, want recorder.State) {
	t.Helper()
	r, err := open(fs)
	require.NoError(t, err)
	requireState(t, want, r.State())
}

// crashWhileOpening lets each operation of the start after a crash fail too.
func crashWhileOpening(t *testing.T, fs *memory, want recorder.State) {
	for failAt := range 40 {
		opening := fs.clone()
		opening.failAt = failAt
		r, err := open(opening)
		if err == nil {
			requireState(t, want, r.State())
			return
		}
		for mode := range namesModes {
			requireReopens(t, opening.crash(1, 2, mode), want)
		}
	}
}

// playUntilFailure returns the acknowledged state and the action that failed.
func playUntilFailure(t *testing.T, fs *memory) (acked recorder.State, next action) {
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
	return acked, action{after: acked, between: acked}
}

func stateEqual(a, b recorder.State) bool {
	if a.HardState != b.HardState || len(a.Entries) != len(b.Entries) || (a.Snapshot == nil) != (b.Snapshot == nil) {
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

// TestDamageIsFound flips each byte, cuts each file at each length and removes
// each file. Open must refuse, unless nothing that was stored is missing.
func TestDamageIsFound(t *testing.T) {
	fs := newMemory()
	want := play(t, fs)
	refused := 0
	check := func(damaged *memory, what string, args ...any) {
		r, err := open(damaged)
		if err != nil {
			require.Equal(t, explainer.Corrupt, explainer.KindOf(err), what, args)
			refused++
			return
		}
		require.True(t, stateEqual(want, r.State()), "silent loss: "+what, args)
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
	fs := newMemory()
	want := play(t, fs)
	segment := newest(fs, "Log-")
	torn := entries(recorder.Position{Index: 500}, 9, 1)[0].Data
	fs.files[segment].data = append(fs.files[segment].data, torn...)
	r, err := open(fs)
	require.NoError(t, err)
	requireState(t, want, r.State())
}

func newest(fs *memory, prefix string) string {
	found := ""
	for path := range fs.files {
		if strings.HasPrefix(filepath.Base(path), prefix) {
			found = max(found, path)
		}
	}
	return found
}

// TestDamageBeforeWholeFrame: without a mark, a whole frame behind the damage
// still proves that the damaged bytes had been synced.
func TestDamageBeforeWholeFrame(t *testing.T) {
	fs := newMemory()
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
	fs := newMemory()
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
	again, err := open(fs.crash(1, 1, allNames))
	require.NoError(t, err)
	require.Empty(t, again.State().Entries)
}

func TestForeignFolderIsRefused(t *testing.T) {
	fs := newMemory()
	play(t, fs)
	other := config
	other.Name = "c2"
	_, err := recorder.Open(fs, other, bytes.NewReader([]byte("identity")))
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
}

func TestDiskOfOperatingSystem(t *testing.T) {
	cfg := config
	cfg.Folder = filepath.Join(t.TempDir(), "a", "b")
	random := bytes.NewReader([]byte("identity"))
	r, err := recorder.Open(recorder.Disk{}, cfg, random)
	require.NoError(t, err)
	_, err = recorder.Open(recorder.Disk{}, cfg, random)
	require.Equal(t, explainer.Conflict, explainer.KindOf(err))
	var want recorder.State
	for _, a := range script() {
		require.NoError(t, a.call(r))
		want = a.after
	}
	require.NoError(t, r.Close())
	again, err := recorder.Open(recorder.Disk{}, cfg, random)
	require.NoError(t, err)
	requireState(t, want, again.State())
	require.NoError(t, again.Close())
}

func FuzzOpen(f *testing.F) {
	fs := newMemory()
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
		damaged.files[segment] = &memoryFile{fs: damaged, data: data}
		if _, err := open(damaged); err != nil {
			require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
		}
	})
}
