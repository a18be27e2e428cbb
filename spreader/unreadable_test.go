package spreader_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
)

// Guards against a record with an id that is not UTF-8, as an earlier release took it, that keeps
// the declaration and the other records from all processes that follow its replica.
func TestUnreadableRecordKeepsNothingElseBack(t *testing.T) {
	const spoilt = "i-\xff"
	c := newCluster(t)
	c.records = []registrar.Record{record(spoilt, registrar.Ready)}
	hub := c.replica(1)
	entry, agent := c.process("north", true, hub.address), c.process("south", false, hub.address)
	hub.view.Set(declarer.Declared{Revision: 1, Declaration: declarer.Declaration{Version: 7}})
	sound := record("u", registrar.Ready)
	sound.Sequence++
	_, err := hub.Report(sound)
	require.NoError(t, err)
	for _, p := range []*process{entry, agent} {
		c.eventually(func() bool { return p.Connected() && p.Progress().Held == 1 })
		c.eventually(hasState(p, "u", registrar.Ready))
		_, ok := p.Find(spoilt)
		require.False(t, ok)
	}
}

// Guards against one message or one record that can't be decoded and that ends the stream of a
// follower, with all that comes after it.
func TestUnreadableMessageEndsNoStream(t *testing.T) {
	type update struct {
		Revision any
		Records  any
		Led      bool
	}
	c := newCluster(t)
	codec, err := encoder.New(encoder.Message[spreader.FollowRequest](spreader.FollowKind), encoder.Message[update]("Spreader.Told"))
	require.NoError(t, err)
	address := c.nextAddress()
	c.next++
	peer := connector.New(connector.Config{Listen: address}, codec, certifier.NewSource(certifier.PathsIn(c.keys, "entry")), noConfiguration{}, zap.NewNop())
	var streams atomic.Int32
	peer.Handle(spreader.FollowKind, func(ctx context.Context, s *connector.Stream, _ any) {
		streams.Add(1)
		for _, msg := range []update{
			{Revision: "odd"},
			{Revision: 0, Led: true, Records: []any{record("u", registrar.Ready), "odd", record("i-\xff", registrar.Ready)}},
		} {
			if s.Send(&msg) != nil {
				return
			}
		}
		<-ctx.Done()
	})
	require.NoError(t, peer.Start())
	t.Cleanup(func() { require.NoError(t, peer.Stop()) })
	follower := c.process("north", true, address)
	c.eventually(hasState(follower, "u", registrar.Ready))
	_, ok := follower.Find("i-\xff")
	require.False(t, ok)
	require.EqualValues(t, 1, streams.Load())
}

// Guards against a table that is too large for one message, which no follower got, and with it
// no declaration.
func TestLargeTableIsSentInParts(t *testing.T) {
	const records = 8_000
	c := newCluster(t)
	padding := strings.Repeat("x", identifier.MaxNameLength-4)
	name := func(i int) identifier.Upstream { return identifier.Upstream(fmt.Sprint(padding, i)) }
	for i := range records {
		r := record(name(i), registrar.Ready)
		r.Address = netip.AddrPortFrom(r.Address.Addr(), uint16(i+1))
		r.Service, r.AvailabilityZone, r.Model = identifier.Service(padding), identifier.AvailabilityZone(padding), identifier.Model(padding)
		c.records = append(c.records, r)
	}
	hub := c.replica(1)
	hub.view.Set(declarer.Declared{Revision: 1, Declaration: declarer.Declaration{Version: 7}})
	follower := c.process("north", true, hub.address)
	c.eventually(func() bool { return follower.Progress().Held == 1 && len(follower.Upstreams()) == records })
}
