package announcer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/subscriber"
)

const (
	submitTimeout = 5 * time.Second
	retryPause    = 500 * time.Millisecond
	// leaseMargin is the fraction of the lease duration that the agent does not use,
	// because its clock and the leader's may run at different rates.
	leaseMargin = 0.2
)

// Submitter submits an encoded command to the leader of the control replicas and returns
// the result of the state machine.
type Submitter interface {
	Submit(ctx context.Context, data []byte) (any, error)
}

// ServingState is the state of an upstream: whether it is ready, and which model, version and
// adapters it serves.
type ServingState struct {
	Ready    bool
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters map[identifier.Adapter]identifier.WeightVersion
}

func (s ServingState) equal(other ServingState) bool {
	return s.Ready == other.Ready && s.Model == other.Model && s.Version == other.Version &&
		maps.Equal(s.Adapters, other.Adapters)
}

// Lease is the permission to send orders to the upstream for a limited time.
type Lease struct {
	Token identifier.FencingToken
	// From and Until are the start and the end of the time in which orders may be sent.
	From, Until time.Time
}

// Announcer maintains the membership and the lease of one upstream.
type Announcer struct {
	announcement   controller.Announce
	submitter      Submitter
	clock          clockwork.Clock
	logger         *zap.Logger
	transferSource func() []subscriber.Transfer

	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu            sync.Mutex
	lease         Lease
	leaseDuration time.Duration
	isMember      bool
	superseded    bool
	serving       ServingState
	reported      *ServingState // the last state that was reported, or nil after an announcement
	onChange      func()
}

// New returns an announcer that announces nothing until Start is called.
func New(announcement controller.Announce, submitter Submitter, clock clockwork.Clock, logger *zap.Logger) *Announcer {
	return &Announcer{
		announcement:   announcement,
		submitter:      submitter,
		clock:          clock,
		logger:         logger.Named("announcer"),
		wake:           make(chan struct{}, 1),
		transferSource: func() []subscriber.Transfer { return nil },
		onChange:       func() {},
	}
}

// OnLeaseChange sets the function that is called after a lease is granted, and after the
// control plane has rejected this incarnation as too old. It is not called when a lease
// expires. OnLeaseChange must be called before Start.
func (a *Announcer) OnLeaseChange(f func()) {
	a.onChange = f
}

// SetTransferSource sets the function that returns the transfers to include in each report. It
// must be called before Start.
func (a *Announcer) SetTransferSource(f func() []subscriber.Transfer) {
	a.transferSource = f
}

// Start announces the upstream in the background and reports its serving state.
func (a *Announcer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.done.Go(func() { a.run(ctx) })
}

// Stop ends the background work. The upstream stays a member until Leave is called or its
// lease expires on the control plane.
func (a *Announcer) Stop() {
	if a.cancel != nil {
		a.cancel()
	}
	a.done.Wait()
}

// run submits one command after another until the control plane has the current state
// of the upstream, and again after each change.
func (a *Announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.step(ctx) {
			a.wait(ctx)
		}
	}
}

// step submits the next command. It returns false if there is nothing to submit or the
// command must be retried later.
func (a *Announcer) step(ctx context.Context) bool {
	a.mu.Lock()
	superseded, member := a.superseded, a.isMember
	serving, reported := a.serving, a.reported
	a.mu.Unlock()
	switch {
	case superseded:
		return false
	case !member:
		return a.announce(ctx)
	case reported == nil || !reported.equal(serving):
		return a.reportServing(ctx, serving)
	default:
		return false
	}
}

func (a *Announcer) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-a.clock.After(retryPause):
	}
}

func (a *Announcer) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Announcer) announce(ctx context.Context) bool {
	sent := a.clock.Now()
	result, err := a.submit(ctx, &a.announcement)
	if err != nil {
		a.logger.Warn("Can't announce the upstream to the control plane.", zap.Error(err))
		return false
	}
	switch answer := result.(type) {
	case *controller.AnnounceAnswer:
		a.handleGrant(sent, answer)
		return true
	case *controller.Rejected:
		a.handleRejection(answer)
	}
	return false
}

func (a *Announcer) handleGrant(sent time.Time, answer *controller.AnnounceAnswer) {
	a.mu.Lock()
	a.isMember = true
	a.reported = nil
	a.leaseDuration = answer.LeaseDuration
	if answer.Token > a.lease.Token {
		a.lease = Lease{Token: answer.Token, From: a.clock.Now().Add(answer.OrdersAfter)}
	}
	a.extendLease(sent)
	a.mu.Unlock()
	a.logger.Info("Announced the upstream to the control plane.", zap.Uint64("token", uint64(answer.Token)))
	a.onChange()
}

func (a *Announcer) handleRejection(answer *controller.Rejected) {
	a.logger.Error("The control plane rejected the announcement of the upstream.", zap.Error(answer.Err()))
	if answer.Kind != explainer.Fenced {
		return
	}
	a.mu.Lock()
	a.superseded = true
	a.lease = Lease{}
	a.mu.Unlock()
	a.onChange()
}

func (a *Announcer) reportServing(ctx context.Context, serving ServingState) bool {
	command := &controller.Ready{
		Upstream:    a.announcement.Upstream,
		Incarnation: a.announcement.Incarnation,
		Serving:     serving.Ready,
		Model:       serving.Model,
		Version:     serving.Version,
		Adapters:    serving.Adapters,
	}
	result, err := a.submit(ctx, command)
	if err != nil {
		a.logger.Warn("Can't report the serving state of the upstream to the control plane.", zap.Error(err))
		return false
	}
	if _, refused := result.(*controller.Rejected); refused {
		a.Superseded()
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = &serving
	return true
}

func (a *Announcer) submit(ctx context.Context, command any) (any, error) {
	data, err := controller.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return a.submitter.Submit(ctx, data)
}

// SetServing sets the serving state of the upstream. It returns at once, and the state is
// reported to the control plane in the background.
func (a *Announcer) SetServing(serving ServingState) {
	a.mu.Lock()
	a.serving = serving
	a.mu.Unlock()
	a.wakeUp()
}

// Lease returns the lease, and whether it is valid now.
func (a *Announcer) Lease() (Lease, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	holds := a.isMember && !now.Before(a.lease.From) && now.Before(a.lease.Until)
	return a.lease, holds
}

// IsSuperseded reports whether the control plane has rejected this incarnation as too
// old. The upstream is not announced any more in that case.
func (a *Announcer) IsSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}

// Leave reports to the control plane that the upstream accepts no new requests. If gone
// is true, it ends the membership.
func (a *Announcer) Leave(ctx context.Context, gone bool) error {
	_, err := a.submit(ctx, &controller.Leave{
		Upstream:    a.announcement.Upstream,
		Incarnation: a.announcement.Incarnation,
		Gone:        gone,
	})
	return err
}

// Fill sets the transfers of a report and, if the upstream is a member, its identity.
// Only a report with an identity renews the lease.
func (a *Announcer) Fill(r *subscriber.Report) {
	a.mu.Lock()
	member := a.isMember
	a.mu.Unlock()
	if member {
		r.Upstream = a.announcement.Upstream
		r.Incarnation = a.announcement.Incarnation
	}
	r.Transfers = a.transferSource()
}

// Renewed extends the lease after the leader has accepted a report as a renewal. The
// duration is counted from sent, the time at which the report was sent.
func (a *Announcer) Renewed(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extendLease(sent)
}

func (a *Announcer) extendLease(sent time.Time) {
	usable := time.Duration(float64(a.leaseDuration) * (1 - leaseMargin))
	if until := sent.Add(usable); until.After(a.lease.Until) {
		a.lease.Until = until
	}
}

// Superseded is called when this incarnation is not the member on the control plane. The
// upstream is then announced again. The control plane rejects the announcement if a
// newer incarnation exists.
func (a *Announcer) Superseded() {
	a.mu.Lock()
	a.isMember = false
	a.mu.Unlock()
	a.wakeUp()
}
