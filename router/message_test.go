package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

func sampleMessages() []any {
	load := router.LoadReport{Running: 1, Queued: 2, Limit: 3, QueueRoom: 4, Reported: true, Latency: time.Second, Leaving: true}
	return []any{
		&router.AttemptStart{Request: "r", Attempt: "r/1", Upstream: "u", Incarnation: 2, Header: []router.HeaderField{{Name: "A", Value: "b"}},
			Class: router.NonIdempotent, Key: "k", Token: 7, Timeout: time.Minute, Alone: true, BodyDigest: identifier.DigestOf([]byte("x"))},
		&router.BodyChunk{Attempt: "r/1", Offset: 3, Data: []byte{1, 2}},
		&router.BodyEnd{Attempt: "r/1", Length: 5},
		&router.AttemptAsk{Request: "r", Attempt: "r/1", Offset: 9, WantHead: true},
		&router.AttemptCancel{Request: "r", Attempt: "r/1"},
		&router.AttemptAccepted{Request: "r", Attempt: "r/1", Load: load},
		&router.AttemptRefused{Request: "r", Attempt: "r/1", Reason: router.Busy, RetryAfter: time.Second, Load: load},
		&router.AttemptAlive{Request: "r", Attempt: "r/1", Load: load},
		&router.AttemptGone{Request: "r", Attempt: "r/1", Reason: router.Restarted},
		&router.ResponseHead{Request: "r", Attempt: "r/1", Status: 200, Length: -1},
		&router.ResponseData{Request: "r", Attempt: "r/1", Offset: 1, Data: []byte{3}},
		&router.ResponseEnd{Request: "r", Attempt: "r/1", Length: 2, Trailer: []router.HeaderField{{Name: "T", Value: "v"}}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	codec, err := encoder.New(router.Messages()...)
	require.NoError(t, err)
	for _, msg := range sampleMessages() {
		data, err := codec.Encode(1, msg)
		require.NoError(t, err)
		_, got, err := codec.Decode(data)
		require.NoError(t, err)
		require.Equal(t, msg, got)
	}
}

func FuzzMessages(f *testing.F) {
	codec, err := encoder.New(router.Messages()...)
	require.NoError(f, err)
	for _, msg := range sampleMessages() {
		data, err := codec.Encode(1, msg)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, msg, err := codec.Decode(data)
		if err != nil {
			require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
			return
		}
		again, err := codec.Encode(1, msg)
		require.NoError(t, err)
		_, same, err := codec.Decode(again)
		require.NoError(t, err)
		require.Equal(t, msg, same)
	})
}
