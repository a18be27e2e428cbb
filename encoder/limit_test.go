package encoder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

type chain struct {
	Next *chain
}

type bulk struct {
	Data  []byte          `cbor:",omitempty"`
	Flags []bool          `cbor:",omitempty"`
	Set   map[uint32]bool `cbor:",omitempty"`
	Chain *chain          `cbor:",omitempty"`
}

// Guards against messages beyond the limits of the decoder: their sender must hear of it, since
// no receiver could read them.
func TestMessageBeyondALimitIsNotEncoded(t *testing.T) {
	codec, err := encoder.New(encoder.Message[bulk]("Bulk"))
	require.NoError(t, err)
	const overhead = 32
	sound := bulk{Data: make([]byte, encoder.MaxFrameSize-overhead)}
	data, err := codec.Encode(0, sound)
	require.NoError(t, err)
	require.LessOrEqual(t, identifier.ByteCount(len(data)), encoder.MaxFrameSize)
	_, msg, err := codec.Decode(data)
	require.NoError(t, err)
	require.Equal(t, &sound, msg)

	manyKeys := make(map[uint32]bool)
	for i := range uint32(1<<17 + 1) {
		manyKeys[i] = true
	}
	deep := &chain{}
	for range 40 {
		deep = &chain{Next: deep}
	}
	for _, beyond := range []bulk{
		{Data: make([]byte, encoder.MaxFrameSize)},
		{Flags: make([]bool, 1<<20+1)},
		{Set: manyKeys},
		{Chain: deep},
	} {
		_, err := codec.Encode(0, beyond)
		require.Equal(t, explainer.InvalidInput, explainer.KindOf(err), "%v", err)
	}
	snapshots, err := encoder.NewForSnapshots(encoder.Message[bulk]("Bulk"))
	require.NoError(t, err)
	data, err = snapshots.Encode(0, bulk{Data: make([]byte, 2*encoder.MaxFrameSize)})
	require.NoError(t, err)
	_, _, err = snapshots.Decode(data)
	require.NoError(t, err)
}

// Guards against replicas of two releases that disagree on a command: what is no text is none for
// all of them, and is not written.
func TestLogHoldsTextOnly(t *testing.T) {
	log, err := encoder.NewForLog(encoder.Message[greeting]("Greeting"))
	require.NoError(t, err)
	_, err = log.Encode(0, greeting{Upstream: "i-\xff"})
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
	data, err := newCodec(t).Encode(0, greeting{Upstream: "i-\xff"})
	require.NoError(t, err)
	_, _, err = log.Decode(data)
	require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
}

// Guards against one element that can't be read and that keeps the rest of its message back.
func TestUnreadablePartIsLeftOut(t *testing.T) {
	type update struct {
		Revision int
		Records  []greeting
		Latest   *greeting
	}
	type spoilt struct {
		Revision any
		Records  any
		Latest   any
	}
	reader, err := encoder.New(encoder.Message[update]("Update").Optional("Records", "Latest"))
	require.NoError(t, err)
	sender, err := encoder.New(encoder.Message[spoilt]("Update"))
	require.NoError(t, err)
	send := func(msg spoilt) (encoder.Header, any, error) {
		data, err := sender.Encode(3, msg)
		require.NoError(t, err)
		return reader.Decode(data)
	}
	header, msg, err := send(spoilt{7, []any{greeting{"a", 1}, "odd-one", map[string]any{"Upstream": 5}, greeting{"b", 2}}, "odd"})
	require.NoError(t, err)
	require.Equal(t, &update{Revision: 7, Records: []greeting{{"a", 1}, {"b", 2}}}, msg)
	require.Len(t, header.LeftOut, 3)
	require.Equal(t, "Records", header.LeftOut[0].Field)
	require.ErrorContains(t, header.LeftOut[0].Err, "Records[1]")
	require.ErrorContains(t, header.LeftOut[0].Err, "odd-one")
	require.ErrorContains(t, header.LeftOut[1].Err, "Records[2]")
	require.Equal(t, "Latest", header.LeftOut[2].Field)

	header, msg, err = send(spoilt{7, 5, greeting{"a", 1}})
	require.NoError(t, err)
	require.Equal(t, &update{Revision: 7, Latest: &greeting{"a", 1}}, msg)
	require.Len(t, header.LeftOut, 1)

	_, _, err = send(spoilt{"odd", []greeting{}, nil})
	require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
	_, err = encoder.New(encoder.Message[update]("Update").Optional("Absent"))
	require.Error(t, err)
}
