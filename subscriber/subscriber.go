package subscriber

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/identifier"
)

const (
	reportInterval = time.Second
	// UpdateInterval is the longest time between two updates of a live replica.
	UpdateInterval = time.Second
	// silenceTimeout and dialTimeout leave time for two replicas in a row that are
	// gone before a change must be in force.
	silenceTimeout = 3 * UpdateInterval
	dialTimeout    = time.Second
	retryPause     = 250 * time.Millisecond
	// reportsRemembered bounds the reports whose renewal is awaited.
	reportsRemembered = 64
)

// Opener opens a stream to an address.
type Opener interface {
	Open(ctx context.Context, addr netip.AddrPort, first any) (*connector.Stream, error)
	Replace(addr netip.AddrPort)
}

// Holder is the upstream's side of the lease. A process without an upstream has none.
type Holder interface {
	// Fill adds the upstream's identity and progress to a report.
	Fill(r *Report)
	// Renewed says that the lease counts from when the report was sent.
	Renewed(sent time.Time)
	// Superseded says that a newer incarnation is registered.
	Superseded()
}

// Config says who subscribes, and where.
type Config struct {
	Process   string
	Need      configurer.Need
	Upstream  identifier.Upstream
	Addresses []netip.AddrPort
}

// Subscriber runs the subscription.
type Subscriber struct {
	cfg    Config
	view   *View
	opener Opener
	holder Holder
	clock  clockwork.Clock
	logger *zap.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	sequence uint64
	sent     map[uint64]time.Time
	nudge    chan struct{}
}

// New returns a subscriber that is not started. holder may be nil.
func New(cfg Config, view *View, opener Opener, holder Holder, clock clockwork.Clock, logger *zap.Logger) *Subscriber {
	return &Subscriber{
		cfg:    cfg,
		view:   view,
		opener: opener,
		holder: holder,
		clock:  clock,
		logger: logger.Named("subscriber"),
		sent:   make(map[uint64]time.Time),
		nudge:  make(chan struct{}, 1),
	}
}

// Start begins to subscribe in the background.
func (s *Subscriber) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.run(ctx)
	}()
}

// Stop ends the subscription.
func (s *Subscriber) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
}

// Nudge sends a report at once, because something in it changed.
func (s *Subscriber) Nudge() {
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// run goes from replica to replica, beginning at one that the process's name
// selects, so that processes spread over the replicas.
func (s *Subscriber) run(ctx context.Context) {
	next := int(xxhash.Sum64String(s.cfg.Process) % uint64(len(s.cfg.Addresses)))
	for ctx.Err() == nil {
		addr := s.cfg.Addresses[next%len(s.cfg.Addresses)]
		err := s.subscribe(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		s.logger.Info("Left a control replica.", zap.Stringer("address", addr), zap.Error(err))
		next++
		select {
		case <-ctx.Done():
		case <-s.clock.After(retryPause):
		}
	}
}

// subscribe follows one replica until it goes silent or ends the stream.
func (s *Subscriber) subscribe(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, index := s.view.Members()
	first := &Subscribe{
		Process:     s.cfg.Process,
		Need:        s.cfg.Need,
		Upstream:    s.cfg.Upstream,
		Have:        s.view.Current(),
		HaveMembers: index,
	}
	dialCtx, dialled := context.WithTimeout(ctx, dialTimeout)
	stream, err := s.opener.Open(dialCtx, addr, first)
	dialled()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		defer cancel()
		s.report(ctx, stream)
	}()
	err = s.follow(ctx, stream)
	if errors.Is(err, context.DeadlineExceeded) {
		s.opener.Replace(addr)
	}
	return err
}

func (s *Subscriber) follow(ctx context.Context, stream *connector.Stream) error {
	for {
		receiveCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
		msg, err := stream.Receive(receiveCtx)
		cancel()
		if err != nil {
			return err
		}
		update, ok := msg.(*Update)
		if !ok {
			continue
		}
		if err := s.view.Apply(update); err != nil {
			return err
		}
		if update.Configuration != nil || update.Members != nil {
			s.Nudge()
		}
		s.renew(update)
	}
}

func (s *Subscriber) renew(update *Update) {
	if s.holder == nil {
		return
	}
	if update.Superseded {
		s.holder.Superseded()
	}
	s.mu.Lock()
	at, ok := s.sent[update.Renewed]
	for sequence := range s.sent {
		if sequence <= update.Renewed {
			delete(s.sent, sequence)
		}
	}
	s.mu.Unlock()
	if ok {
		s.holder.Renewed(at)
	}
}

// report sends a report at every interval, and at once after a change.
func (s *Subscriber) report(ctx context.Context, stream *connector.Stream) {
	ticker := s.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := stream.Send(s.nextReport()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.nudge:
		}
	}
}

func (s *Subscriber) nextReport() *Report {
	_, index := s.view.Members()
	r := &Report{Version: s.view.Current(), Members: index}
	if s.holder != nil {
		s.holder.Fill(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	r.Sequence = s.sequence
	if s.holder != nil {
		s.sent[r.Sequence] = s.clock.Now()
		delete(s.sent, r.Sequence-reportsRemembered)
	}
	return r
}
