package spreader

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// tableNetwork passes the updates of followers and one replica on without a network, and
// counts the records in them.
type tableNetwork struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	replica *Spreader
	streams []*tableStream
	records int
}

// tableStream is the stream of one follower, with what both of its ends have sent.
type tableStream struct {
	follower *Spreader
	up, down *sentState
}

func (n *tableNetwork) newSpreader(name string, followAll bool) *Spreader {
	table := registrar.New(registrar.Config{StaleAfter: time.Hour, ForgetAfter: time.Hour})
	return New(Config{Process: name, FollowAll: followAll}, nil, table, declarer.NewView(asserter.Strict{}), &fetchEndpoint{t: n.t}, n.clock, zap.NewNop())
}

func (n *tableNetwork) restartReplica() {
	n.replica = n.newSpreader("replica", true)
	n.replica.ownReplicas = &Replicas{Index: 1, Led: true}
}

// follow begins a stream of the follower to the replica.
func (n *tableNetwork) follow(s *Spreader) {
	request, up := s.newFollowRequest(netip.MustParseAddrPort("10.0.0.1:1"))
	down := &sentState{follower: request, includeLoads: true, known: newKnownRecords(n.clock.Now(), request.Digests)}
	n.streams = append(n.streams, &tableStream{follower: s, up: up, down: down})
}

// run passes updates on every 100 ms: small ones would be sent at once.
func (n *tableNetwork) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		for _, stream := range n.streams {
			up, _ := stream.follower.nextUpdate(stream.up)
			n.records += len(up.Records)
			n.replica.applyUpdate(up, netip.AddrPort{}, stream.down)
			down, _ := n.replica.nextUpdate(stream.down)
			n.records += len(down.Records)
			stream.follower.applyUpdate(down, stream.up.followed, stream.up)
		}
		n.clock.Advance(100 * time.Millisecond)
	}
}

// Guards against a control that doesn't come back after a restart of all replicas where there
// are thousands of upstreams: each process sent its whole table to each replica and got it
// back, again and again as streams timed out, over the links that elections need.
func TestTablesAreNotSentToWhomHasThem(t *testing.T) {
	const followers, upstreams = 60, 400
	n := &tableNetwork{t: t, clock: clockwork.NewFakeClock()}
	n.restartReplica()
	var all []*Spreader
	for i := range followers {
		s := n.newSpreader(fmt.Sprint("p", i), i%2 == 0)
		s.entries = followers / 2
		for u := range upstreams {
			s.table.Merge(n.clock.Now(), registrar.Record{
				Upstream: identifier.Upstream(fmt.Sprint("u", u)), Sequence: 1, Service: "s", State: registrar.Ready,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(u >> 8), byte(u)}), 80),
			})
		}
		all = append(all, s)
		n.follow(s)
	}
	complete := func() bool {
		for _, s := range append([]*Spreader{n.replica}, all...) {
			if s.table.Sum() != all[0].table.Sum() {
				return false
			}
		}
		return true
	}
	n.run(2 * time.Second)
	require.True(t, complete(), "the replica has the table")
	n.run(20 * time.Second)
	require.Less(t, n.records, 4*upstreams, "of %d that all tables have", followers*upstreams)

	// Streams that begin anew bring nothing but what has changed meanwhile.
	n.records, n.streams = 0, nil
	changed, _ := n.replica.table.Find("u7")
	changed.State, changed.Sequence = registrar.Draining, 2
	n.replica.table.Merge(n.clock.Now(), changed)
	for _, s := range all {
		n.follow(s)
	}
	n.run(20 * time.Second)
	require.True(t, complete())
	require.Less(t, n.records, 2*followers)
}

// Guards against an upstream whose record is as a follower said that it had, but was another
// one meanwhile: the follower would keep that.
func TestRecordThatReturnsToWhatItWasIsSent(t *testing.T) {
	n := &tableNetwork{t: t, clock: clockwork.NewFakeClock()}
	n.restartReplica()
	s := n.newSpreader("p", true)
	record := func(sequence uint64, slots int) registrar.Record {
		return registrar.Record{Upstream: "u0", Sequence: sequence, Service: "s", State: registrar.Ready, Slots: slots}
	}
	for _, table := range []*registrar.Table{s.table, n.replica.table} {
		for u := range largeTable {
			table.Merge(n.clock.Now(), registrar.Record{Upstream: identifier.Upstream(fmt.Sprint("u", u)), Sequence: 1, Service: "s", State: registrar.Ready, Slots: 4})
		}
	}
	n.follow(s)
	for i, slots := range []int{8, 4} {
		n.replica.table.Merge(n.clock.Now(), record(uint64(i+2), slots))
		n.run(100 * time.Millisecond)
		got, _ := s.table.Find("u0")
		require.Equal(t, slots, got.Slots)
	}
}

// Guards against a table that no follower can receive: with thousands of long names its update
// was larger than a frame, and each stream to the replica ended with it.
func TestLargeTableIsSentInSeveralUpdates(t *testing.T) {
	const upstreams = 8000
	codec, err := encoder.New(Messages()...)
	require.NoError(t, err)
	n := &tableNetwork{t: t, clock: clockwork.NewFakeClock()}
	n.restartReplica()
	long := strings.Repeat("n", identifier.MaxNameLength-4)
	for u := range upstreams {
		name := identifier.Upstream(fmt.Sprint(long, u))
		n.replica.table.Merge(n.clock.Now(), registrar.Record{
			Upstream: name, Sequence: 1, State: registrar.Ready, Service: identifier.Service(long), Model: identifier.Model(long),
			AvailabilityZone: identifier.AvailabilityZone(long), Region: identifier.Region(long),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(u >> 8), byte(u)}), 80),
		})
	}
	s := n.newSpreader("p", true)
	down := &sentState{follower: &FollowRequest{}}
	update, _ := n.replica.nextUpdate(down)
	for _, part := range update.parts() {
		frame, err := codec.Encode(1, part)
		require.NoError(t, err)
		require.LessOrEqual(t, identifier.ByteCount(len(frame)), encoder.MaxFrameSize)
		s.applyUpdate(part, netip.AddrPort{}, &sentState{})
	}
	require.Equal(t, upstreams, s.table.Len())
}
