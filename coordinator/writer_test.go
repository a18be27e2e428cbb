package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

func entryRange(term recorder.Term, first, last recorder.Index) []recorder.Entry {
	var entries []recorder.Entry
	for i := first; i <= last; i++ {
		entries = append(entries, recorder.Entry{Index: i, Term: term})
	}
	return entries
}

func entryJob(sequence replicator.Sequence, entries []recorder.Entry) replicator.Persist {
	return replicator.Persist{Sequence: sequence, Entries: entries}
}

// TestGroupKeepsWhatCameLast guards against stale data in a batch of queued
// writes: of hard states and of entries at the same index the last one counts.
func TestGroupKeepsWhatCameLast(t *testing.T) {
	older := &recorder.HardState{Term: 1}
	newer := &recorder.HardState{Term: 2}
	jobs := []replicator.Persist{
		{Sequence: 1, HardState: older},
		entryJob(2, entryRange(1, 5, 8)),
		{Sequence: 3, HardState: newer},
		entryJob(4, entryRange(2, 7, 7)),
		entryJob(5, entryRange(2, 8, 9)),
		{Sequence: 6, Install: &recorder.Snapshot{}},
		entryJob(7, entryRange(2, 20, 20)),
	}
	n, batch, sequence := group(jobs)
	require.Equal(t, 5, n)
	require.Equal(t, replicator.Sequence(5), sequence)
	require.Equal(t, newer, batch.HardState)
	require.Equal(t, append(entryRange(1, 5, 6), entryRange(2, 7, 9)...), batch.Entries)

	n, _, _ = group(jobs[5:])
	require.Zero(t, n, "a snapshot is written alone")
	require.Equal(t, entryRange(3, 4, 5), overwrite(entryRange(1, 5, 8), entryRange(3, 4, 5)))
}
