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
	// leaseMargin is the part of a lease that the agent does not use.
	leaseMargin = 0.2
)

// Submitter brings commands to the leader.
type Submitter interface {
	Submit(ctx context.Context, data []byte) (any, error)
}

// Serving is what the upstream serves.
type Serving struct {
	Ready    bool
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters map[identifier.Adapter]identifier.WeightVersion
}

func (s Serving) equal(other Serving) bool {
	return s.Ready == other.Ready && s.Model == other.Model && s.Version == other.Version &&
		maps.Equal(s.Adapters, other.Adapters)
}

// Lease is the right to give the upstream orders.
type Lease struct {
	Token identifier.FencingToken
	// From and Until bound the time in which orders may be given.
	From, Until time.Time
}

// Announcer keeps one upstream's membership.
type Announcer struct {
	announcement controller.Announce
	submitter    Submitter
	clock        clockwork.Clock
	logger       *zap.Logger
	progress     func() []subscriber.Transfer

	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu         sync.Mutex
	lease      Lease
	duration   time.Duration
	member     bool
	superseded bool
	serving    Serving
	told       *Serving
	onChange   func()
}

// New returns an announcer that is not started.
func New(announcement controller.Announce, submitter Submitter, clock clockwork.Clock, logger *zap.Logger) *Announcer {
	return &Announcer{
		announcement: announcement,
		submitter:    submitter,
		clock:        clock,
		logger:       logger.Named("announcer"),
		wake:         make(chan struct{}, 1),
		progress:     func() []subscriber.Transfer { return nil },
		onChange:     func() {},
	}
}

// OnChange calls f after the lease was granted or lost. Call it before Start.
func (a *Announcer) OnChange(f func()) {
	a.onChange = f
}

// OnReport lets f tell the transfers for every report. Call it before Start.
func (a *Announcer) OnReport(f func() []subscriber.Transfer) {
	a.progress = f
}

// Start begins to announce in the background.
func (a *Announcer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.done.Go(func() { a.run(ctx) })
}

// Stop ends it without leaving.
func (a *Announcer) Stop() {
	if a.cancel != nil {
		a.cancel()
	}
	a.done.Wait()
}

// run brings control to what is wanted, one command after another.
func (a *Announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.step(ctx) {
			a.wait(ctx)
		}
	}
}

// step submits the next command. It returns false when there is nothing to do
// or the command must be tried again later.
func (a *Announcer) step(ctx context.Context) bool {
	a.mu.Lock()
	superseded, member := a.superseded, a.member
	serving, told := a.serving, a.told
	a.mu.Unlock()
	switch {
	case superseded:
		return false
	case !member:
		return a.announce(ctx)
	case told == nil || !told.equal(serving):
		return a.tell(ctx, serving)
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

func (a *Announcer) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Announcer) announce(ctx context.Context) bool {
	sent := a.clock.Now()
	result, err := a.submit(ctx, &a.announcement)
	if err != nil {
		a.logger.Warn("Can't announce the upstream.", zap.Error(err))
		return false
	}
	switch answer := result.(type) {
	case *controller.AnnounceAnswer:
		a.granted(sent, answer)
		return true
	case *controller.Rejected:
		a.rejected(answer)
	}
	return false
}

func (a *Announcer) granted(sent time.Time, answer *controller.AnnounceAnswer) {
	a.mu.Lock()
	a.member = true
	a.told = nil
	a.duration = answer.LeaseDuration
	if answer.Token > a.lease.Token {
		a.lease = Lease{Token: answer.Token, From: a.clock.Now().Add(answer.OrdersAfter)}
	}
	a.extend(sent)
	a.mu.Unlock()
	a.logger.Info("Announced the upstream.", zap.Uint64("token", uint64(answer.Token)))
	a.onChange()
}

func (a *Announcer) rejected(answer *controller.Rejected) {
	a.logger.Error("Control refused the upstream.", zap.Error(answer.Err()))
	if answer.Kind != explainer.Fenced {
		return
	}
	a.mu.Lock()
	a.superseded = true
	a.lease = Lease{}
	a.mu.Unlock()
	a.onChange()
}

func (a *Announcer) tell(ctx context.Context, serving Serving) bool {
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
		a.logger.Warn("Can't tell control what the upstream serves.", zap.Error(err))
		return false
	}
	if _, refused := result.(*controller.Rejected); refused {
		a.Superseded()
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = &serving
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

// SetServing tells control what the upstream serves, once it can.
func (a *Announcer) SetServing(serving Serving) {
	a.mu.Lock()
	a.serving = serving
	a.mu.Unlock()
	a.nudge()
}

// Lease returns the right to give orders, if it holds now.
func (a *Announcer) Lease() (Lease, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	holds := a.member && !now.Before(a.lease.From) && now.Before(a.lease.Until)
	return a.lease, holds
}

// IsSuperseded reports whether a newer incarnation replaced this one.
func (a *Announcer) IsSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}

// Leave tells control that the upstream takes no new work, with gone that it ended.
func (a *Announcer) Leave(ctx context.Context, gone bool) error {
	_, err := a.submit(ctx, &controller.Leave{
		Upstream:    a.announcement.Upstream,
		Incarnation: a.announcement.Incarnation,
		Gone:        gone,
	})
	return err
}

// Fill adds the upstream's identity and progress to a report.
func (a *Announcer) Fill(r *subscriber.Report) {
	a.mu.Lock()
	member := a.member
	a.mu.Unlock()
	if member {
		r.Upstream = a.announcement.Upstream
		r.Incarnation = a.announcement.Incarnation
	}
	r.Transfers = a.progress()
}

// Renewed says that the lease counts from when a report was sent.
func (a *Announcer) Renewed(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extend(sent)
}

func (a *Announcer) extend(sent time.Time) {
	usable := time.Duration(float64(a.duration) * (1 - leaseMargin))
	if until := sent.Add(usable); until.After(a.lease.Until) {
		a.lease.Until = until
	}
}

// Superseded says that control does not know this incarnation as the member. The
// upstream is announced again; control then says whether a newer one exists.
func (a *Announcer) Superseded() {
	a.mu.Lock()
	a.member = false
	a.mu.Unlock()
	a.nudge()
}
