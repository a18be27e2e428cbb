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
	// UpdateInterval is the longest time between two updates from a replica that is
	// alive. If nothing has changed, the replica sends an update without changes.
	UpdateInterval = time.Second
	// silenceTimeout and dialTimeout are short enough that a change is in force in
	// time even if two replicas in a row have failed.
	silenceTimeout = 3 * UpdateInterval
	dialTimeout    = time.Second
	retryPause     = 250 * time.Millisecond
	// maxPendingReports bounds the reports whose send times are kept until control
	// confirms their renewal.
	maxPendingReports = 64
)

// Opener opens streams to addresses.
type Opener interface {
	// Open opens a stream to addr and sends first on it.
	Open(ctx context.Context, addr netip.AddrPort, first any) (*connector.Stream, error)
	// Replace closes the connection to addr, so that the next stream uses a new one.
	Replace(addr netip.AddrPort)
}

// LeaseHolder holds the lease of this process's upstream. A process without an upstream has
// no holder.
type LeaseHolder interface {
	// Fill adds the upstream's identity and progress to a report.
	Fill(r *Report)
	// Renewed is called when control has confirmed a renewal. The lease runs from sent,
	// the time when the report that asked for it was sent.
	Renewed(sent time.Time)
	// Superseded is called when control has refused to renew the lease, because this
	// incarnation is not the registered member.
	Superseded()
}

// Config configures a Subscriber.
type Config struct {
	Process   string              // the name of this process
	Need      configurer.Need     // the part of the configuration to subscribe to
	Upstream  identifier.Upstream // the upstream of this agent; empty for other processes
	Addresses []netip.AddrPort    // the control replicas; at least one
}

// Subscriber keeps a subscription to one control replica at a time, and applies its
// updates to a View.
type Subscriber struct {
	cfg         Config
	view        *View
	opener      Opener
	leaseHolder LeaseHolder
	clock       clockwork.Clock
	logger      *zap.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu            sync.Mutex
	sequence      uint64
	sentAt        map[uint64]time.Time
	reportTrigger chan struct{}
}

// New returns a subscriber that is not started. leaseHolder is nil if the process has no
// upstream.
func New(cfg Config, view *View, opener Opener, leaseHolder LeaseHolder, clock clockwork.Clock, logger *zap.Logger) *Subscriber {
	return &Subscriber{
		cfg:           cfg,
		view:          view,
		opener:        opener,
		leaseHolder:   leaseHolder,
		clock:         clock,
		logger:        logger.Named("subscriber"),
		sentAt:        make(map[uint64]time.Time),
		reportTrigger: make(chan struct{}, 1),
	}
}

// Start starts the subscription in the background.
func (s *Subscriber) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.run(ctx)
	}()
}

// Stop ends the subscription and waits until its goroutines have returned.
func (s *Subscriber) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
}

// TriggerReport has a report sent at once instead of at the next interval. Call it when the
// content of the report has changed.
func (s *Subscriber) TriggerReport() {
	select {
	case s.reportTrigger <- struct{}{}:
	default:
	}
}

// run subscribes to one replica after the other. A hash of the process's name selects
// the first one, so that the processes are spread over the replicas.
func (s *Subscriber) run(ctx context.Context) {
	if len(s.cfg.Addresses) == 0 {
		s.logger.Error("No address of a control replica is set. Nothing will be received.")
		return
	}
	next := int(xxhash.Sum64String(s.cfg.Process) % uint64(len(s.cfg.Addresses)))
	for ctx.Err() == nil {
		addr := s.cfg.Addresses[next%len(s.cfg.Addresses)]
		err := s.subscribe(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		s.logger.Info("Subscription to a control replica ended; trying the next replica.", zap.Stringer("address", addr), zap.Error(err))
		next++
		select {
		case <-ctx.Done():
		case <-s.clock.After(retryPause):
		}
	}
}

// subscribe runs the subscription to one replica until the stream fails or the replica
// sends nothing for silenceTimeout.
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
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	stream, err := s.opener.Open(dialCtx, addr, first)
	cancelDial()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		defer cancel()
		s.sendReports(ctx, stream)
	}()
	err = s.receiveUpdates(ctx, stream)
	if errors.Is(err, context.DeadlineExceeded) {
		s.opener.Replace(addr)
	}
	return err
}

// receiveUpdates applies the updates of the stream until one does not arrive in time or
// can't be applied.
func (s *Subscriber) receiveUpdates(ctx context.Context, stream *connector.Stream) error {
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
			s.TriggerReport()
		}
		s.handleRenewal(update)
	}
}

// handleRenewal passes the result of the latest renewal on to the lease holder.
func (s *Subscriber) handleRenewal(update *Update) {
	if s.leaseHolder == nil {
		return
	}
	if update.Superseded {
		s.leaseHolder.Superseded()
	}
	s.mu.Lock()
	at, ok := s.sentAt[update.Renewed]
	for sequence := range s.sentAt {
		if sequence <= update.Renewed {
			delete(s.sentAt, sequence)
		}
	}
	s.mu.Unlock()
	if ok {
		s.leaseHolder.Renewed(at)
	}
}

// sendReports sends a report at every reportInterval, and at once after TriggerReport.
func (s *Subscriber) sendReports(ctx context.Context, stream *connector.Stream) {
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
		case <-s.reportTrigger:
		}
	}
}

func (s *Subscriber) nextReport() *Report {
	_, index := s.view.Members()
	r := &Report{Version: s.view.Current(), Members: index}
	if s.leaseHolder != nil {
		s.leaseHolder.Fill(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	r.Sequence = s.sequence
	if s.leaseHolder != nil {
		s.sentAt[r.Sequence] = s.clock.Now()
		delete(s.sentAt, r.Sequence-maxPendingReports)
	}
	return r
}
