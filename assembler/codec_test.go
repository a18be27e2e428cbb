package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/publisher"
	"celeryvalve/sampler"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

// FuzzDecode feeds bytes to the codec of all messages between processes.
func FuzzDecode(f *testing.F) {
	codec, err := newCodec()
	require.NoError(f, err)
	for _, msg := range []any{
		&subscriber.Subscribe{Process: "agent-1", Have: 3},
		&subscriber.Update{Members: &subscriber.MembersUpdate{Index: 4, Changed: []subscriber.Member{{Upstream: "u1"}}}},
		&subscriber.Report{Sequence: 5, Transfers: []subscriber.Transfer{{Model: "summaries"}}},
		&publisher.RenewLeases{Renewals: []publisher.Renewal{{Upstream: "u1", Incarnation: 6}}},
		&submitter.Refused{Kind: explainer.Unavailable},
		&controller.ClaimAnswer{Status: controller.Granted, Token: 7},
		&fetcher.ChunkRequest{Chunk: 8, Wait: true},
		&sampler.HistoryAnswer{},
	} {
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
		require.NotNil(t, msg)
	})
}
