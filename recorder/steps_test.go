package recorder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/recorder"
)

// stepScript returns calls that save a snapshot in steps with entries between them, and the state
// after each call. The calls must be made in order on one recorder.
func stepScript() (calls []func(*recorder.Recorder) error, after []recorder.State) {
	list := entries(recorder.Position{}, 1, 12)
	snapshot := recorder.Snapshot{Position: list[5].Position(), At: list[5].At, Data: []byte("state of 6")}
	var steps []func() error
	add := func(s recorder.State, call func(*recorder.Recorder) error) {
		calls, after = append(calls, call), append(after, s)
	}
	appendUpTo := func(s *recorder.Snapshot, from, to int) {
		state := recorder.State{Snapshot: s, Entries: list[:to]}
		if s != nil {
			state.Entries = list[s.Position.Index:to]
			state.Committed = s.Position.Index
		}
		add(state, func(r *recorder.Recorder) error { return r.Append(recorder.Batch{Entries: list[from:to]}) })
	}
	step := func(i int, s recorder.State) {
		add(s, func(*recorder.Recorder) error { return steps[i]() })
	}
	appendUpTo(nil, 0, 6)
	add(after[0], func(r *recorder.Recorder) error {
		steps = r.SnapshotSteps(snapshot)
		return steps[0]()
	})
	appendUpTo(nil, 6, 8)
	step(1, recorder.State{Snapshot: &snapshot, Entries: list[6:8], Committed: 6})
	appendUpTo(&snapshot, 8, 10)
	step(2, after[4])
	appendUpTo(&snapshot, 10, 12)
	return calls, after
}

// TestCrashBetweenStepsOfASnapshot guards against the loss of entries that were synced while a snapshot was being saved.
func TestCrashBetweenStepsOfASnapshot(t *testing.T) {
	for failAt := 0; ; failAt++ {
		fs := newMemFS()
		r, err := open(fs)
		require.NoError(t, err)
		fs.failAt = fs.operations + failAt
		calls, after := stepScript()
		done := 0
		for done < len(calls) && calls[done](r) == nil {
			done++
		}
		if done == len(calls) {
			return
		}
		acked := recorder.State{}
		if done > 0 {
			acked = after[done-1]
		}
		for kept := range 3 {
			for mode := range nameSurvivalModes {
				requireRecovery(t, fs.crash(kept, 2, mode), acked, action{after: after[done], truncated: acked})
			}
		}
	}
}

// TestStepOfASnapshotIsShort guards against entries that wait for most of a snapshot on a slow disk.
func TestStepOfASnapshotIsShort(t *testing.T) {
	fs := newMemFS()
	r, err := open(fs)
	require.NoError(t, err)
	list := entries(recorder.Position{}, 1, 1)
	require.NoError(t, r.Append(recorder.Batch{Entries: list}))
	before := fs.syncs
	for _, step := range r.SnapshotSteps(recorder.Snapshot{Position: list[0].Position()}) {
		start := fs.syncs
		require.NoError(t, step())
		require.LessOrEqual(t, fs.syncs-start, 2)
	}
	require.Equal(t, 4, fs.syncs-before, "the snapshot, its name and the new segment, the first frame, the removal")
}

// TestInstalledSnapshotOvertakesAnOwnOne guards against a replica that stops, or goes back, because a newer snapshot was installed while its own was being saved.
func TestInstalledSnapshotOvertakesAnOwnOne(t *testing.T) {
	list := entries(recorder.Position{}, 1, 20)
	for installedAfter := range 3 {
		fs := newMemFS()
		r, err := open(fs)
		require.NoError(t, err)
		require.NoError(t, r.Append(recorder.Batch{Entries: list[:8]}))
		installed := recorder.Snapshot{Position: list[19].Position(), At: list[19].At, Data: []byte("state of 20")}
		for i, step := range r.SnapshotSteps(recorder.Snapshot{Position: list[5].Position()}) {
			if i == installedAfter {
				require.NoError(t, r.InstallSnapshot(installed))
			}
			require.NoError(t, step())
		}
		requireReopens(t, fs.crash(0, 1, keepNoNames), recorder.State{Snapshot: &installed, Committed: 20})
	}
}

// TestOpenTakesFewSyncs guards against a replica that starts late on a slow disk, after all were killed, since it first
// removes what older snapshots left.
func TestOpenTakesFewSyncs(t *testing.T) {
	fs := newMemFS()
	r, err := open(fs)
	require.NoError(t, err)
	list := entries(recorder.Position{}, 1, 20)
	for _, e := range list {
		require.NoError(t, r.Append(recorder.Batch{Entries: []recorder.Entry{e}}))
		if e.Index%5 != 0 {
			continue
		}
		for _, step := range r.SnapshotSteps(recorder.Snapshot{Position: e.Position(), At: e.At})[:2] {
			require.NoError(t, step())
		}
	}
	fs = fs.clone()
	before := fs.syncs
	r, err = open(fs)
	require.NoError(t, err)
	require.LessOrEqual(t, fs.syncs-before, 2, "the new segment's name and its first frame")
	require.Empty(t, r.State().Entries)
}
