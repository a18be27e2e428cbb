package spreader

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/repeater"
)

const (
	// beatInterval is how often a stream carries a sign of life. Three of them in a
	// row may be lost before silenceTimeout.
	beatInterval = 500 * time.Millisecond
	// silenceTimeout is after how long a silent stream is replaced: early enough
	// for a change to come over another one within two seconds.
	silenceTimeout = 1600 * time.Millisecond
	dialTimeout    = time.Second
	retryPause     = 200 * time.Millisecond
	fetchTimeout   = time.Second
	// fetchPause is how long one replica may take to answer before another is asked.
	fetchPause = 250 * time.Millisecond
	// refreshInterval is how often it is told that upstreams were heard, below half
	// of the time after which they count as stale.
	refreshInterval = 2500 * time.Millisecond
	// loadInterval is how long loads are gathered into one message. A request is
	// read by an engine within about that time.
	loadInterval = 100 * time.Millisecond
	// declarationsKept is for how many versions back a difference is made; a
	// process further behind gets the whole.
	declarationsKept = 16
	// unledPatience is how long an agent stays with a replica that hears no leader.
	unledPatience = 2 * time.Second
)

// Endpoint reaches the system's other processes.
type Endpoint interface {
	Open(ctx context.Context, addr netip.AddrPort, first any) (*connector.Stream, error)
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
	Replace(addr netip.AddrPort)
}

// Config says who spreads.
type Config struct {
	Process string
	// Address is where the process itself is reached.
	Address netip.AddrPort
	Region  identifier.Region
	// FollowAll is set on entries and replicas; others follow one replica.
	FollowAll bool
}

// Spreader runs the streams of one process.
type Spreader struct {
	cfg      Config
	view     *declarer.View
	endpoint Endpoint
	clock    clockwork.Clock
	log      *zap.Logger

	refresher *repeater.Repeater
	loader    *repeater.Repeater
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu sync.Mutex
	// changed is closed at each change that streams must tell.
	changed  chan struct{}
	table    *registrar.Table
	watchers []func()
	seeds    []netip.AddrPort
	// replicas is the newest list that came, own that of a control replica itself.
	replicas *Replicas
	own      *Replicas
	// regions are those of the processes that follow this one.
	regions  map[string]identifier.Region
	history  []declarer.Declaration
	streams  map[netip.AddrPort]context.CancelFunc
	refresh  []registrar.Refresh
	refreshN uint64
	// loads are the last of each upstream, with the round in which they changed.
	loads        map[identifier.Upstream]loadEntry
	loadRound    uint64
	loadsChanged bool
	loadWatchers []func([]registrar.Load)
	// fetchedAt is when the fetch under way began.
	fetchedAt time.Time
	// heard says when a followed replica told something last, and whether it was led.
	heard map[netip.AddrPort]sign
}

// loadEntry is a load with the round of its last change.
type loadEntry struct {
	load  registrar.Load
	round uint64
}

// sign is what is known of a followed replica.
type sign struct {
	at    time.Time
	ledAt time.Time
}

// New returns a spreader that is not started.
func New(cfg Config, seeds []netip.AddrPort, table *registrar.Table, view *declarer.View, endpoint Endpoint,
	clock clockwork.Clock, log *zap.Logger) *Spreader {
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
		heard:    make(map[netip.AddrPort]sign),
		replicas: &Replicas{},
		loads:    make(map[identifier.Upstream]loadEntry),
		regions:  map[string]identifier.Region{cfg.Address.String(): cfg.Region},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.refresher = repeater.New(clock, refreshInterval, s.gatherRefreshes)
	s.loader = repeater.New(clock, loadInterval, s.tellLoads)
	view.Watch(s.declaredChanged)
	return s
}

// Watch calls f whenever the table changed. Call it before Start.
func (s *Spreader) Watch(f func()) {
	s.watchers = append(s.watchers, f)
}

// WatchLoads calls f with the loads that came. Call it before Start.
func (s *Spreader) WatchLoads(f func([]registrar.Load)) {
	s.loadWatchers = append(s.loadWatchers, f)
}

// ReportLoad takes in the load of the upstream beside this process.
func (s *Spreader) ReportLoad(l registrar.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLoads([]registrar.Load{l})
}

// setLoads takes in loads to be told with the next round. The caller holds the
// lock.
func (s *Spreader) setLoads(loads []registrar.Load) {
	for _, l := range loads {
		if s.loads[l.Upstream].load == l {
			continue
		}
		s.loads[l.Upstream] = loadEntry{load: l, round: s.loadRound + 1}
		s.loadsChanged = true
	}
}

// tellLoads ends a round.
func (s *Spreader) tellLoads(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loadsChanged {
		return
	}
	s.loadsChanged = false
	s.loadRound++
	s.tell()
}

// loadsSince returns the loads that changed after the round.
func (s *Spreader) loadsSince(round uint64) []registrar.Load {
	var list []registrar.Load
	for _, e := range s.loads {
		if e.round > round && e.round <= s.loadRound {
			list = append(list, e.load)
		}
	}
	return list
}

// Start begins to follow.
func (s *Spreader) Start() {
	s.refresher.Start()
	s.loader.Start()
	s.done.Go(s.run)
}

// Stop ends all streams.
func (s *Spreader) Stop() {
	s.cancel()
	s.refresher.Stop()
	s.loader.Stop()
	s.done.Wait()
}

// Report takes in what an upstream said of itself here, and reports whether it
// changed what is known.
func (s *Spreader) Report(r registrar.Record) bool {
	s.mu.Lock()
	changed := s.table.Merge(s.clock.Now(), r)
	if changed {
		s.tell()
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
	return changed
}

// Note takes in what the agent beside an upstream says that it serves.
func (s *Spreader) Note(name identifier.Upstream, noted declarer.ReleaseNumber, stamp uint64) {
	s.mu.Lock()
	changed := s.table.Note(name, noted, stamp)
	if changed {
		s.tell()
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
}

// Known returns the upstreams that are not gone.
func (s *Spreader) Known() []registrar.Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Known(s.clock.Now())
}

// Find returns what is known of one upstream.
func (s *Spreader) Find(name identifier.Upstream) (registrar.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Find(name)
}

// SetSeeds replaces the addresses from which replicas are found.
func (s *Spreader) SetSeeds(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// SetReplicas is told by a control replica what it knows of all of them.
func (s *Spreader) SetReplicas(r Replicas) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Regions = make(map[string]identifier.Region, len(r.Addresses))
	for _, a := range r.Addresses {
		if region, ok := s.regions[a.String()]; ok {
			r.Regions[a.String()] = region
		}
	}
	same := s.own != nil && s.own.Index == r.Index && s.own.Led == r.Led &&
		slices.Equal(s.own.Addresses, r.Addresses) && maps.Equal(s.own.Regions, r.Regions)
	if same {
		return
	}
	s.own = &r
	s.learnReplicas(r)
	s.tell()
}

// Membership returns the newest list of control replicas that is known here.
func (s *Spreader) Membership() Replicas {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.replicas
}

// Replicas returns where control replicas are to be found, nearest knowledge
// first: the newest list, or the seeds before any list came.
func (s *Spreader) Replicas() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets()
}

// RegionOf returns the region of a control replica, or nothing where it is not
// known.
func (s *Spreader) RegionOf(addr netip.AddrPort) identifier.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas.Regions[addr.String()]
}

// Connected reports whether the process is in touch with control: it hears a
// led replica, or is one.
func (s *Spreader) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own != nil && s.own.Led {
		return true
	}
	for _, h := range s.heard {
		if s.clock.Since(h.ledAt) < silenceTimeout {
			return true
		}
	}
	return false
}

func (s *Spreader) targets() []netip.AddrPort {
	list := slices.Clone(s.replicas.Addresses)
	if len(list) == 0 || s.lost() {
		for _, seed := range s.seeds {
			if !slices.Contains(list, seed) {
				list = append(list, seed)
			}
		}
	}
	return list
}

// lost reports whether no replica of the list has been heard for long: all of
// them may have been replaced meanwhile.
func (s *Spreader) lost() bool {
	if s.own != nil {
		return false
	}
	for _, h := range s.heard {
		if s.clock.Since(h.at) < 2*silenceTimeout {
			return false
		}
	}
	return true
}

func (s *Spreader) learnReplicas(r Replicas) {
	if !r.Led || len(r.Addresses) == 0 || r.Index < s.replicas.Index {
		return
	}
	same := r.Index == s.replicas.Index && slices.Equal(r.Addresses, s.replicas.Addresses) && maps.Equal(r.Regions, s.replicas.Regions)
	if !same {
		s.replicas = &r
	}
}

// tell wakes the streams. The caller holds the lock.
func (s *Spreader) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Spreader) notify() {
	for _, f := range s.watchers {
		f()
	}
}

// declaredChanged keeps the version for differences and tells followers.
func (s *Spreader) declaredChanged() {
	declaration := s.view.Declared().Declaration
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.history); n == 0 || s.history[n-1].Version < declaration.Version {
		s.history = append(s.history, declaration)
		s.history = s.history[max(0, len(s.history)-declarationsKept):]
	}
	s.tell()
}

func (s *Spreader) gatherRefreshes(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(s.clock.Now())
	for name := range s.loads {
		if _, ok := s.table.Find(name); !ok {
			delete(s.loads, name)
		}
	}
	s.refresh = s.table.Refreshes()
	s.refreshN++
	s.tell()
}

// run keeps one stream to each process that is to be followed.
func (s *Spreader) run() {
	for s.ctx.Err() == nil {
		s.adjust()
		select {
		case <-s.ctx.Done():
		case <-s.clock.After(beatInterval):
		}
	}
}

func (s *Spreader) adjust() {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := s.followed()
	for addr, cancel := range s.streams {
		if !slices.Contains(wanted, addr) {
			cancel()
			delete(s.streams, addr)
			delete(s.heard, addr)
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

// followed returns whom to follow. An agent stays with one replica while that one
// is heard and led; where it must choose, its name selects the first.
func (s *Spreader) followed() []netip.AddrPort {
	list := slices.DeleteFunc(s.targets(), func(a netip.AddrPort) bool { return a == s.cfg.Address })
	if s.cfg.FollowAll || len(list) == 0 {
		return list
	}
	for addr := range s.streams {
		h, ok := s.heard[addr]
		if slices.Contains(list, addr) && ok && s.clock.Since(h.at) < silenceTimeout && s.clock.Since(h.ledAt) < unledPatience {
			return []netip.AddrPort{addr}
		}
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	turn := uint64(s.clock.Now().UnixNano() / int64(unledPatience))
	if len(s.streams) == 0 {
		turn = 0
	}
	first := (xxhash.Sum64String(s.cfg.Process) + turn) % uint64(len(list))
	return []netip.AddrPort{list[first]}
}
