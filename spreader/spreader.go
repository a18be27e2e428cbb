package spreader

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

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
