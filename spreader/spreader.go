package spreader

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"celeryvalve/catcher"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
	"celeryvalve/registrar"
	"celeryvalve/repeater"
)

const (
	// heartbeatInterval is the interval at which a stream sends heartbeats. Three in
	// a row are missed before heartbeatTimeout expires.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a stream may be silent before it is replaced. It
	// is short enough for a change to arrive over another stream within 2 s.
	heartbeatTimeout = 1600 * time.Millisecond
	dialTimeout      = time.Second
	reconnectDelay   = 200 * time.Millisecond
	// seedRetryDelay is how often a control replica tries a seed that doesn't respond.
	seedRetryDelay = 2 * time.Second
	// reportInterval is the interval at which a process sends refreshes of the upstreams that
	// reported to it. A replica sends those of all upstreams at every second one, so that
	// refreshes arrive within three intervals, in time for none to count as stale.
	reportInterval = 1250 * time.Millisecond
	// loadBatchInterval is the time over which loads are collected into one update.
	// An engine reads a request within about the same time.
	loadBatchInterval = 100 * time.Millisecond
	// maxHistory is the number of recent declarations from which a difference can be
	// computed. A process with an older one fetches the whole declaration.
	maxHistory = 16
	// noLeaderTimeout is how long an agent stays with a replica that knows no leader.
	noLeaderTimeout = 2 * time.Second
	// nearRetryDelay is how often an agent that follows a replica in another region tries one
	// in its own: seldom, since all records are sent once more.
	nearRetryDelay = 30 * time.Second
)

// Endpoint connects to the system's other processes.
type Endpoint interface {
	Open(ctx context.Context, addr netip.AddrPort, first any) (*connector.Stream, error)
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
	// Replace drops the connection to addr, so that the next use dials a new one.
	Replace(addr netip.AddrPort)
}

// Config describes the process that a Spreader runs in.
type Config struct {
	Process string
	// Address is the address on which the process accepts streams.
	Address netip.AddrPort
	Region  identifier.Region
	// AvailabilityZone is told to the other processes.
	AvailabilityZone identifier.AvailabilityZone
	// FollowAll makes the process follow all control replicas, as entries and
	// replicas do. Without it the process follows one of them, as agents do.
	FollowAll bool
	// Metrics is the set in which the spreader registers its metrics. Nil selects a set of
	// its own.
	Metrics *metrics.Set
}

// Spreader runs the streams of one process and keeps the state that they carry.
type Spreader struct {
	cfg      Config
	view     *declarer.View
	endpoint Endpoint
	clock    clockwork.Clock
	log      *zap.Logger

	refreshPublisher *repeater.Repeater
	loadPublisher    *repeater.Repeater
	ctx              context.Context
	cancel           context.CancelFunc
	done             sync.WaitGroup

	// fetchMu guards fetchAnswers.
	fetchMu      sync.Mutex
	fetchAnswers fetchAnswers

	mu sync.Mutex
	// changed is closed and replaced whenever the streams have a change to send.
	changed  chan struct{}
	table    *registrar.Table
	watchers []func()
	seeds    []netip.AddrPort
	// replicas is the newest list, received or set. ownReplicas is the list that was
	// set; it is nil unless the process is a control replica.
	replicas    *Replicas
	ownReplicas *Replicas
	// regions maps the addresses of this process and its followers to their regions.
	regions      map[string]identifier.Region
	history      []declarer.Declaration
	streams      map[netip.AddrPort]context.CancelFunc
	refreshes    []registrar.Refresh
	refreshRound uint64
	// reported holds the upstreams that have reported to this process since the last report
	// round, and ownRefreshes are their refreshes.
	reported     map[identifier.Upstream]bool
	ownRefreshes []registrar.Refresh
	reportRound  uint64
	// primary is the replica that this process gets refreshes from.
	primary netip.AddrPort
	// nearTriedAt is when this process last left a replica for one in its region.
	nearTriedAt time.Time
	// loads holds the last load of each upstream and the round in which it changed.
	loads        map[identifier.Upstream]loadEntry
	loadRound    uint64
	loadsChanged bool
	loadWatchers []func([]registrar.Load)
	// quarantine is the newest summary, received or set.
	quarantine         quarantiner.Summary
	quarantineWatchers []func(quarantiner.Summary)
	// entriesSeen holds when each process of an entry that follows this one was last
	// heard, and entries is the largest number of entries known.
	entriesSeen   map[string]seenEntry
	entries       int
	entryWatchers []func(int)
	// caches holds the entries in this region, as a followed replica told them.
	caches []netip.AddrPort
	// takesRequests reports whether callers send requests to this process, or is nil.
	takesRequests   func() bool
	servingWatchers []func([]ServingEntry)
	startedAt       time.Time
	// led is how long this process, a control replica, has known a leader.
	led             ledSpan
	control         ControlStatus
	controlWatchers []func(ControlStatus)
	// catcher decides from whom the declared state is fetched.
	catcher *catcher.Catcher
	// behindLogged is the revision that this process was logged to be behind of, or 0. It is
	// used by the goroutine of run.
	behindLogged declarer.Revision
	// followedLogged holds the processes that this one follows as they were last logged.
	followedLogged []netip.AddrPort
	fetches        fetchMetrics
	leftOutLimit   *rate.Limiter
	// statuses holds the status of each followed replica that has sent an update.
	statuses map[netip.AddrPort]replicaStatus
}

// replicaStatus holds the times of the last updates from a followed replica.
type replicaStatus struct {
	lastReceived time.Time
	// lastLed is the time of the last update with Led set.
	lastLed time.Time
	// entries is the number of entries that the replica counts, and serving those that take
	// requests.
	entries int
	serving []ServingEntry
	// ledFor is how long the replica had known a leader at lastLed.
	ledFor time.Duration
	// startedAt is when the replica started, or the last one that it knows of, and
	// startedAgo how long ago that was at its last update.
	startedAt  time.Time
	startedAgo time.Duration
}

// New returns a Spreader. Call Start to open its streams.
func New(cfg Config, seeds []netip.AddrPort, table *registrar.Table, view *declarer.View, endpoint Endpoint,
	clock clockwork.Clock, log *zap.Logger) *Spreader {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Spreader{
		cfg:      cfg,
		view:     view,
		endpoint: endpoint,
		clock:    clock,
		log:      log.Named("spreader"),
		changed:  make(chan struct{}),
		table:    table,
		seeds:    seeds,
		streams:  make(map[netip.AddrPort]context.CancelFunc),
		statuses: make(map[netip.AddrPort]replicaStatus),
		replicas: &Replicas{},
		reported: make(map[identifier.Upstream]bool),
		loads:    make(map[identifier.Upstream]loadEntry),
		regions:  map[string]identifier.Region{cfg.Address.String(): cfg.Region},

		entriesSeen: make(map[string]seenEntry),
		startedAt:   clock.Now(),
		catcher:     newCatcher(cfg),
		fetches:     newFetchMetrics(cfg.Metrics),

		leftOutLimit: newLeftOutLimit(),
	}
	s.catcher.Reduce(clock.Now(), catcher.Held{Revision: catcher.Revision(view.Declared().Revision)})
	s.exposeProgress(cfg.Metrics)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.refreshPublisher = repeater.New(clock, reportInterval, s.publishRefreshes)
	s.loadPublisher = repeater.New(clock, loadBatchInterval, s.publishLoads)
	view.Watch(s.declarationChanged)
	return s
}

// Watch registers f, which is called when a report or an update has changed the
// table of upstreams. Call it before Start.
func (s *Spreader) Watch(f func()) {
	s.watchers = append(s.watchers, f)
}

// Start opens the streams to control replicas and keeps them open.
func (s *Spreader) Start() {
	s.refreshPublisher.Start()
	s.loadPublisher.Start()
	s.done.Go(s.run)
}

// Stop closes all streams and waits until their goroutines have ended.
func (s *Spreader) Stop() {
	s.mu.Lock()
	s.cancel() // no fetch begins after this
	s.mu.Unlock()
	s.refreshPublisher.Stop()
	s.loadPublisher.Stop()
	s.done.Wait()
}

// Report merges a record that an upstream reported to this process into the table,
// and returns whether that changed what is known of the upstream. The error is that of
// registrar.Table.Report.
func (s *Spreader) Report(r registrar.Record) (changed bool, err error) {
	s.mu.Lock()
	changed, err = s.table.Report(s.clock.Now(), r)
	if err == nil {
		s.reported[r.Upstream] = true
	}
	if changed {
		s.signalChange()
	}
	s.mu.Unlock()
	if changed {
		s.notifyWatchers()
	}
	return changed, err
}

// RecordServing records the release that an upstream serves, as its agent sees it. A call
// whose stamp is not higher than the last one is ignored.
func (s *Spreader) RecordServing(name identifier.Upstream, noted declarer.ReleaseNumber, stamp uint64) {
	s.recordNote(func() bool { return s.table.RecordServing(name, noted, stamp) })
}

// recordNote changes the table and tells the other processes if record returns true.
func (s *Spreader) recordNote(record func() bool) {
	s.mu.Lock()
	changed := record()
	if changed {
		s.signalChange()
	}
	s.mu.Unlock()
	if changed {
		s.notifyWatchers()
	}
}

// RecordLimit records the limit that an incarnation of an upstream named in an answer to
// this process. A limit whose stamp is not higher than the last one is ignored.
func (s *Spreader) RecordLimit(name identifier.Upstream, incarnation identifier.Incarnation, limit limiter.RequestLimit) {
	s.recordNote(func() bool { return s.table.RecordLimit(name, incarnation, limit) })
}

// RecordLeaving records that an incarnation of an upstream has said in an answer to this
// process that it leaves.
func (s *Spreader) RecordLeaving(name identifier.Upstream, incarnation identifier.Incarnation) {
	s.recordNote(func() bool { return s.table.RecordLeaving(name, incarnation) })
}

// RecordDepartures merges the records of upstreams that accept no new requests, as the log of
// the control replicas holds them.
func (s *Spreader) RecordDepartures(records []registrar.Record) {
	s.recordNote(func() bool {
		changed := false
		for _, r := range records {
			changed = s.table.Merge(s.clock.Now(), r) || changed
		}
		return changed
	})
}

// Upstreams returns the upstreams of the table, without those that are gone or displaced.
func (s *Spreader) Upstreams() []registrar.KnownUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstreams(s.clock.Now())
}

// Find returns the record of an upstream, also of one that is gone or displaced.
func (s *Spreader) Find(name identifier.Upstream) (registrar.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Find(name)
}

// Connected reports whether the process receives updates from a control replica
// that knows the leader, or is such a replica itself.
func (s *Spreader) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isConnected()
}

// HasLostControl reports whether the process is not Connected. It is false for heartbeatTimeout after the start,
// in which a process finds control.
func (s *Spreader) HasLostControl() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isConnected() && s.clock.Since(s.startedAt) >= heartbeatTimeout
}

func (s *Spreader) isConnected() bool {
	if s.ownReplicas != nil && s.ownReplicas.Led {
		return true
	}
	for _, status := range s.statuses {
		if s.clock.Since(status.lastLed) < heartbeatTimeout {
			return true
		}
	}
	return false
}

// signalChange wakes the goroutines that send updates. The caller holds s.mu.
func (s *Spreader) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Spreader) notifyWatchers() {
	for _, f := range s.watchers {
		f()
	}
}

// declarationChanged adds a new version of the declaration to the history and
// wakes the streams, which send the new revision.
func (s *Spreader) declarationChanged() {
	declared := s.view.Declared()
	s.catchUp(catcher.Held{Revision: catcher.Revision(declared.Revision)})
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.history); n == 0 || s.history[n-1].Version < declared.Declaration.Version {
		s.history = append(s.history, declared.Declaration)
		s.history = s.history[max(0, len(s.history)-maxHistory):]
	}
	s.signalChange()
}

// publishRefreshes removes expired upstreams and has the streams send a refresh for
// each upstream that was heard since the last call.
func (s *Spreader) publishRefreshes(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(s.clock.Now())
	for name := range s.loads {
		if _, ok := s.table.Find(name); !ok {
			delete(s.loads, name)
		}
	}
	s.ownRefreshes = s.ownRefreshes[:0:0]
	for _, name := range slices.Sorted(maps.Keys(s.reported)) {
		if r, ok := s.table.Find(name); ok && !r.IsOver() {
			s.ownRefreshes = append(s.ownRefreshes, registrar.Refresh{Upstream: name, Incarnation: r.Incarnation, Sequence: r.Sequence})
		}
	}
	clear(s.reported)
	s.reportRound++
	if s.reportRound%2 == 0 {
		s.refreshes = s.table.Refreshes()
		s.refreshRound++
	}
	s.signalChange()
}

// run opens missing streams and closes unwanted ones, once per heartbeatInterval.
func (s *Spreader) run() {
	for s.ctx.Err() == nil {
		s.reconcileStreams()
		s.notifyServing()
		s.notifyControl()
		s.logProgress()
		select {
		case <-s.ctx.Done():
		case <-s.clock.After(heartbeatInterval):
		}
	}
}

func (s *Spreader) reconcileStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := s.replicasToFollow()
	s.choosePrimary(wanted)
	s.logFollowed(wanted)
	for addr, cancel := range s.streams {
		if !slices.Contains(wanted, addr) {
			cancel()
			delete(s.streams, addr)
			delete(s.statuses, addr)
		}
	}
	for _, addr := range wanted {
		if _, ok := s.streams[addr]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		s.streams[addr] = cancel
		s.done.Go(func() { s.follow(ctx, addr) })
	}
}
