package encoder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

type greeting struct {
	Upstream identifier.Upstream
	Count    int
}

func newCodec(t testing.TB) *encoder.Codec {
	codec, err := encoder.New(encoder.Message[greeting]("Greeting"))
	require.NoError(t, err)
	return codec
}

func TestRoundTrip(t *testing.T) {
	codec := newCodec(t)
	data, err := codec.Encode(7, greeting{Upstream: "u1", Count: 3})
	require.NoError(t, err)
	header, msg, err := codec.Decode(data)
	require.NoError(t, err)
	require.Equal(t, identifier.ConfigurationVersion(7), header.ConfigurationVersion)
	require.Equal(t, &greeting{Upstream: "u1", Count: 3}, msg)
}

// FuzzDecode checks that a malformed frame from the network neither makes Decode panic nor
// causes an error of a kind other than Corrupt.
func FuzzDecode(f *testing.F) {
	codec := newCodec(f)
	data, err := codec.Encode(1, greeting{Upstream: "u1"})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0x84, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, msg, err := codec.Decode(data)
		if err != nil {
			require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
			return
		}
		require.NotNil(t, msg)
	})
}

// Guards against releases that can't read each other's messages: a field that only one of them
// knows is left out by the other.
func TestFieldsOfAnotherReleaseAreLeftOut(t *testing.T) {
	type newer struct {
		Upstream identifier.Upstream
		Count    int
		Added    string `cbor:",omitempty"`
	}
	older := newCodec(t)
	later, err := encoder.New(encoder.Message[newer]("Greeting"))
	require.NoError(t, err)
	fromLater, err := later.Encode(7, newer{Upstream: "u1", Count: 3, Added: "x"})
	require.NoError(t, err)
	_, read, err := older.Decode(fromLater)
	require.NoError(t, err)
	require.Equal(t, &greeting{Upstream: "u1", Count: 3}, read)
	fromOlder, err := older.Encode(7, greeting{Upstream: "u1", Count: 3})
	require.NoError(t, err)
	_, read, err = later.Decode(fromOlder)
	require.NoError(t, err)
	require.Equal(t, &newer{Upstream: "u1", Count: 3}, read)
	require.Equal(t, []string{"Greeting.Upstream string", "Greeting.Count int"}, older.Layout())
	require.Subset(t, later.Layout(), older.Layout())
}
