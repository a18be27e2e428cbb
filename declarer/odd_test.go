package declarer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
)

// Guards against a disk of an earlier release on which a name is not UTF-8: a replica must start
// with it, and write snapshots that others can read.
func TestSnapshotWithOddNamesIsRestored(t *testing.T) {
	type snapshot struct {
		Index    uint64
		Declared declarer.Declared
	}
	codec, err := encoder.New(encoder.Message[snapshot]("Declarer.Snapshot"))
	require.NoError(t, err)
	d := declaration(7)
	d.Services["s-\xff"] = declarer.Service{Origin: "\x00"}
	data, err := codec.Encode(0, snapshot{Index: 9, Declared: declarer.Declared{
		Revision: 3, Declaration: d,
		Releases:    map[identifier.Model]declarer.Release{"m-\xff": {Wanted: 2}},
		Evacuations: declarer.Evacuations{"z-\xc3": time.Unix(1, 0)},
	}})
	require.NoError(t, err)
	for range 2 {
		state := declarer.New(asserter.Strict{})
		require.NoError(t, state.Restore(data))
		declared := state.Declared()
		require.EqualValues(t, 2, declared.Releases["m-\xff"].Wanted)
		require.Contains(t, declared.Evacuations, identifier.AvailabilityZone("z-\xc3"))
		delta, err := declared.Declaration.DeltaFrom(declarer.Declaration{}).Encode()
		require.NoError(t, err)
		read, err := delta.Decode()
		require.NoError(t, err)
		require.Contains(t, read.Changed.Services, identifier.Service("s-\xff"))
		data, err = state.Snapshot()
		require.NoError(t, err)
	}
}

// Guards against replicas that disagree on a command of an earlier release whose names are not
// UTF-8, and against one that ends at it.
func TestCommandWithOddNamesIsRejectedByAll(t *testing.T) {
	h := newHarness()
	h.replace(t, 7)
	codec, err := encoder.New(declarer.Messages()...)
	require.NoError(t, err)
	data, err := codec.Encode(0, declarer.NameRelease{Model: "m-\xff", Number: 2})
	require.NoError(t, err)
	before := h.state.Declared()
	h.index++
	require.IsType(t, &declarer.Rejected{}, h.state.Apply(h.index, start, data))
	require.Equal(t, before, h.state.Declared())
	_, err = declarer.EncodeCommand(&declarer.NameRelease{Model: "m-\xff", Number: 2})
	require.Error(t, err)
	require.Equal(t, &declarer.Answer{Changed: true, Version: 8}, h.replace(t, 8))
}

// Guards against a snapshot that is larger than a message may be and that could be written but
// not read, so that its replica never started again.
func TestSnapshotLargerThanAMessageIsRestored(t *testing.T) {
	const digests = 100_000
	h := newHarness()
	pinned := declarer.Pinned{Number: 1, ChunkSize: 1, Digests: make([]identifier.Digest, digests)}
	for _, model := range []identifier.Model{"a", "b", "c"} {
		h.apply(t, &declarer.NameRelease{Model: model, Number: 1})
		require.Equal(t, &declarer.Answer{Changed: true}, h.apply(t, &declarer.PinRelease{Model: model, Pinned: pinned}))
	}
	data, err := h.state.Snapshot()
	require.NoError(t, err)
	require.Greater(t, identifier.ByteCount(len(data)), encoder.MaxFrameSize)
	restored := declarer.New(asserter.Strict{})
	require.NoError(t, restored.Restore(data))
	require.Len(t, restored.Declared().Releases["c"].Pins[0].Digests, digests)
}
