package replicator

import (
	"fmt"
	"net/netip"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// Role is the Raft role of a replica in its current term.
type Role string

// The roles of a replica. A PreCandidate asks for pre-votes, without entering a
// new term.
const (
	Follower     Role = "Follower"
	PreCandidate Role = "PreCandidate"
	Candidate    Role = "Candidate"
	Leader       Role = "Leader"
)

// Replicator is the consensus state of one replica. It is not safe for concurrent
// use.
type Replicator struct {
	cfg     Config
	assert  asserter.Asserter
	halted  bool
	now     time.Time
	effects []Effect

	cluster recorder.Cluster
	term    recorder.Term
	vote    replica
	role    Role
	leader  peer

	log log
	// snapshot is the last one on the disk, without its data, and stateBytes the size of the newest
	// one that this replica has taken, sent or installed.
	snapshot   recorder.Snapshot
	stateBytes identifier.ByteCount
	membership recorder.Membership
	// membershipIndex is the index of the entry or snapshot that membership is
	// taken from.
	membershipIndex recorder.Index
	commit          recorder.Index
	// committedBefore is the commit index that the disk held at the start. It takes effect
	// with the first tick.
	committedBefore recorder.Index

	disk             disk
	election         election
	incomingSnapshot incomingSnapshot
	// joiners holds the replicas without entries that announced themselves, by name.
	joiners map[string]joiner
	// emptyFounders holds the replicas that answered that they are empty, by name.
	// Bootstrapping looks up the founders in it.
	emptyFounders map[string]joiner
	// foundersSaved is set once the disk names the founders.
	foundersSaved bool
	// contacts are the addresses at which this replica announces itself while it is
	// empty, in addition to the founders.
	contacts []netip.AddrPort
	// startedAt is the time of the first event.
	startedAt time.Time
	// lastHeard is when each other member last sent a message, to this replica or, as far
	// as known, to the leader.
	lastHeard map[replica]time.Time
	// verified is the last index up to which the log is known to equal that of the leader of this term.
	verified recorder.Index
	// leaving is set once this replica is about to stop.
	leaving bool

	// The fields below are used by the leader only.
	leaderSince time.Time
	progress    map[replica]*progress
	round       Round
	reads       readQueue
	transfer    *transfer
	change      *pendingChange
	// pendingBytes is the size of the commands in the log that are not committed.
	pendingBytes int
	waiting      proposalQueue
	unreceived   unreceived
	// capturing is set while the caller has been asked for the state.
	capturing bool
}

// peer is the identity and the address of a replica. The zero value is no replica.
type peer struct {
	replica replica
	addr    netip.AddrPort
}

// New returns a replicator that starts as a follower from the stored state.
func New(cfg Config, state recorder.State, assert asserter.Asserter) *Replicator {
	r := &Replicator{
		cfg:           cfg.withDefaults(),
		assert:        assert,
		cluster:       state.HardState.Cluster,
		term:          state.HardState.Term,
		vote:          state.HardState.Vote,
		role:          Follower,
		joiners:       make(map[string]joiner),
		emptyFounders: make(map[string]joiner),
		lastHeard:     make(map[replica]time.Time),
		election:      election{needsJitter: true},
	}
	if len(cfg.Founders) == 0 {
		r.cfg.Founders = state.HardState.Founders
	}
	r.foundersSaved = len(state.HardState.Founders) > 0
	if state.Snapshot != nil {
		r.noteSnapshot(*state.Snapshot)
		r.log.reset(*state.Snapshot)
		r.commit = state.Snapshot.Position.Index
	}
	r.log.append(state.Entries...)
	r.disk.stable = r.log.last().Index
	r.committedBefore = min(state.Committed, r.disk.stable)
	r.disk.notedCommit = max(r.commit, r.committedBefore)
	r.reloadMembership()
	return r
}

// Reduce handles one event and returns the effects that the caller has to carry
// out, in order. If now is before the time of an earlier event, that time is used
// instead.
func (r *Replicator) Reduce(now time.Time, event Event) []Effect {
	if r.halted {
		return nil
	}
	if now.After(r.now) {
		r.now = now
	}
	if r.startedAt.IsZero() {
		r.startedAt = r.now
	}
	r.effects = nil
	r.dispatch(event)
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Replicator) dispatch(event Event) {
	switch ev := event.(type) {
	case Ticked:
		r.tick(ev.Jitter)
	case Received:
		r.receive(ev.Message)
	case Persisted:
		r.handlePersisted(ev.Sequence)
	case Proposed:
		r.propose(ev.Proposals)
	case Withdrawn:
		r.waiting.remove(ev.ID)
	case ReadRequested:
		r.read(ev.ID)
	case SnapshotTaken:
		r.compact(ev.Snapshot)
	case StateCaptured:
		r.sendState(ev.Snapshot)
	case AdmitRequested:
		r.admit(ev)
	case RemoveRequested:
		r.remove(ev.ID, ev.Name)
	case ReplaceRequested:
		r.replace(ev)
	case LeaveAnnounced:
		r.leaving = true
	case TransferRequested:
		r.startTransfer(ev.ID)
	case ContactsChanged:
		r.contacts = ev.Addrs
	}
}

func (r *Replicator) emit(e Effect) {
	if !r.halted {
		r.effects = append(r.effects, e)
	}
}

// check asserts an invariant of consensus. If it does not hold and the asserter
// does not panic, the replica halts.
func (r *Replicator) check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	detail := fmt.Sprintf("replica %s: ", r.cfg.Replica) + fmt.Sprintf(format, args...)
	if !r.assert.Check(asserter.VersionsOnlyRise, false, detail) {
		r.emit(Halted{Detail: detail})
		r.halted = true
	}
	return false
}

func (r *Replicator) tick(jitter float64) {
	r.commitTo(r.committedBefore)
	r.noteCommit()
	if r.election.needsJitter {
		r.election.needsJitter = false
		r.election.jitter = jitter
		if r.election.timerStart.IsZero() {
			r.election.timerStart = r.now
		}
	}
	if r.empty() {
		r.discover()
	}
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.tickFollower()
}

// envelopeTo returns the envelope of a message of the current term.
func (r *Replicator) envelopeTo(to replica) Envelope {
	return Envelope{Cluster: r.cluster, From: r.cfg.Replica, Addr: r.cfg.Addr, To: to, Term: r.term}
}

func (r *Replicator) send(addr netip.AddrPort, m Message) {
	r.emit(Send{To: addr, Message: m})
}

// empty reports whether the replica has neither an entry nor a snapshot of any
// cluster.
func (r *Replicator) empty() bool {
	return r.log.last().Index == 0
}

func (r *Replicator) isLeader() bool {
	return r.role == Leader
}

func (r *Replicator) hardState() recorder.HardState {
	hs := recorder.HardState{Cluster: r.cluster, Term: r.term, Vote: r.vote}
	if r.empty() {
		hs.Founders = r.cfg.Founders
	}
	return hs
}

func (r *Replicator) roleChanged() {
	r.emit(RoleChanged{Role: r.role, Term: r.term, Leader: r.leader.addr})
}
