package assembler

import (
	"fmt"
	"net/netip"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/publisher"
	"celeryvalve/sampler"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

// FuzzDecode checks that the codec of all messages between processes decodes any bytes
// to a message or to an error of kind Corrupt.
func FuzzDecode(f *testing.F) {
	codec, err := newCodec()
	require.NoError(f, err)
	for _, msg := range []any{
		&subscriber.Subscribe{Process: "agent-1", Have: 3},
		&subscriber.Update{Members: &subscriber.MembersUpdate{Index: 4, Changed: []subscriber.Member{{Upstream: "u1"}}}},
		&subscriber.Report{Sequence: 5, Transfers: []subscriber.Transfer{{Model: "summaries"}}},
		&publisher.RenewLeases{Renewals: []publisher.Renewal{{Upstream: "u1", Incarnation: 6}}},
		&submitter.Refused{Kind: explainer.Unavailable},
		&submitter.LeaderAnswer{Term: 4},
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

// BenchmarkEncodedSizes reports the encoded size in bytes of the messages that grow
// with the number of members or with the configuration, and of a report.
func BenchmarkEncodedSizes(b *testing.B) {
	codec, err := newCodec()
	require.NoError(b, err)
	measure := func(name string, msg any) {
		b.Run(name, func(b *testing.B) {
			var data []byte
			for range b.N {
				data, err = codec.Encode(1, msg)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
	for _, n := range []int{16, 64, 720} {
		update := &subscriber.MembersUpdate{Whole: true}
		for i := range n {
			name := fmt.Sprintf("drafting-hobart-%d", i)
			update.Changed = append(update.Changed, subscriber.Member{
				Upstream: identifier.Upstream(name), Instance: identifier.Instance(name), Incarnation: 1796330459878,
				Token: 900, Address: netip.MustParseAddrPort("10.1.1.1:7400"), Region: "hobart", AvailabilityZone: "hobart-a",
				Service: "drafting", ReportsLoad: true, Ready: true, Model: "summaries", Version: "v1",
			})
		}
		measure(fmt.Sprintf("Members/%d", n), &subscriber.Update{Members: update})
	}
	source, err := os.ReadFile("../docs/operators/examples/callback-services.toml")
	require.NoError(b, err)
	cfg, err := configurer.Apply(configurer.New(), configurer.Patch{ID: "first", Source: source})
	require.NoError(b, err)
	slice := cfg.DeltaFor(0, configurer.Need{Services: []identifier.Service{"drafting"}})
	measure("Slice", &subscriber.Update{Configuration: &slice})
	measure("Report", &subscriber.Report{Sequence: 100, Version: 5, Upstream: "drafting-hobart-1", Incarnation: 1796330459878})
}
