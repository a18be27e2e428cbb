package placer

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/parser"
	"celeryvalve/quarantiner"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

const (
	// crashQueueLength bounds the reports that wait for a leader. More are dropped.
	crashQueueLength = 256
	// A report says how long ago the crash was, so its first submission is short. Each
	// further one may take longer, up to maxCrashReportTimeout, since a commit on a slow
	// disk takes its time. The last one ends after about half a minute.
	minCrashReportTimeout = 300 * time.Millisecond
	maxCrashReportTimeout = 2 * time.Second
	crashReportAttempts   = 16
)

// crashReporter submits to the control replicas which requests were in flight when
// upstreams crashed, and which suspects ran to their end.
type crashReporter struct {
	placement parser.Placement
	submitter *submitter.Submitter
	spreader  *spreader.Spreader
	clock     clockwork.Clock
	log       *zap.Logger

	queue  chan func() any // each returns the command to submit at the time of the call
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newCrashReporter(lc fx.Lifecycle, placement parser.Placement, s *submitter.Submitter, sp *spreader.Spreader, clock clockwork.Clock, log *zap.Logger) *crashReporter {
	c := &crashReporter{
		placement: placement,
		submitter: s,
		spreader:  sp,
		clock:     clock,
		log:       log.Named("crash"),
		queue:     make(chan func() any, crashQueueLength),
		done:      make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { go c.run(); return nil },
		OnStop: func(context.Context) error {
			c.cancel()
			<-c.done
			return nil
		},
	})
	return c
}

// ReportCrash queues the report of a crash.
func (c *crashReporter) ReportCrash(r balancer.CrashReport) {
	c.enqueue(func() any {
		return &quarantiner.ReportCrash{
			Upstream:    r.Upstream,
			Incarnation: r.Incarnation,
			Crash:       uint64(r.At.UnixNano()),
			InFlight:    r.InFlight,
			Reporter:    string(c.placement.Instance),
			Ago:         c.clock.Since(r.At),
		}
	})
}

// ClearSuspects queues the report that suspects ran to their end, or that others had
// done so before.
func (c *crashReporter) ClearSuspects(cleared, completedBefore []quarantiner.Fingerprint) {
	c.enqueue(func() any { return &quarantiner.ClearSuspects{Fingerprints: cleared, CompletedBefore: completedBefore} })
}

func (c *crashReporter) enqueue(command func() any) {
	select {
	case c.queue <- command:
	default:
		c.log.Warn("Dropped a report on a crash, since too many are waiting.", zap.Int("waiting", crashQueueLength))
	}
}

func (c *crashReporter) run() {
	defer close(c.done)
	for {
		select {
		case <-c.ctx.Done():
			return
		case command := <-c.queue:
			c.submit(command)
		}
	}
}

// submit submits the command until the leader has applied it.
func (c *crashReporter) submit(command func() any) {
	var err error
	for i := range crashReportAttempts {
		timeout := min(maxCrashReportTimeout, minCrashReportTimeout<<min(i, 3))
		if err = c.submitOnce(command(), timeout); err == nil || c.ctx.Err() != nil || explainer.KindOf(err) != explainer.Unavailable {
			break
		}
	}
	if err != nil && !errors.Is(c.ctx.Err(), context.Canceled) {
		c.log.Warn("Can't report a crash to the control replicas.", zap.Error(err))
	}
}

func (c *crashReporter) submitOnce(command any, timeout time.Duration) error {
	data, err := declarer.EncodeCommand(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	c.submitter.SetAddresses(c.spreader.ReplicaAddresses())
	answer, err := c.submitter.Submit(ctx, data)
	if err != nil {
		return err
	}
	switch a := answer.(type) {
	case *quarantiner.Answer:
		c.logAnswer(command, a)
	case *declarer.Rejected:
		return a.Err()
	}
	return nil
}

// logAnswer logs how the command was counted.
func (c *crashReporter) logAnswer(command any, a *quarantiner.Answer) {
	totals := []zap.Field{zap.Int("suspects", a.Suspects), zap.Int("refused", a.Refused)}
	switch m := command.(type) {
	case *quarantiner.ReportCrash:
		c.log.Info("Reported a crash.", append(totals, zap.String("upstream", string(m.Upstream)), zap.Int("counted", a.Crashes), zap.Duration("ago", m.Ago))...)
	case *quarantiner.ClearSuspects:
		c.log.Info("Cleared suspects.", append(totals, zap.Any("fingerprints", m.Fingerprints), zap.Any("ranBefore", m.CompletedBefore))...)
	}
}
