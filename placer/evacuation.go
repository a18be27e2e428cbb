package placer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// freshOrderTime is how long after its arrival an order may still be submitted anew with what
// the control replicas know. An operator waits for a second at least before it sends an order
// to another process, and only then can a later one contradict it.
const freshOrderTime = 300 * time.Millisecond

// hangUpNotice is how long after its arrival an order is submitted. A process that was frozen
// or cut off may find an order whose operator has hung up since, which the server notices
// within a fraction of that.
const hangUpNotice = 10 * time.Millisecond

// coldReports is how many heartbeats an upstream has to say that it has become cold: one may
// be lost or late.
const coldReports = 2

// applyEvacuations passes the evacuated zones to the relayer if they have changed.
func (e *entry) applyEvacuations(evacuations declarer.Evacuations) {
	zones := slices.Sorted(maps.Keys(evacuations))
	if slices.Equal(zones, e.evacuated) {
		return
	}
	e.evacuated = zones
	e.relayer.ChangeEvacuations(zones)
	e.log.Info("Evacuated zones changed.", zap.Strings("zones", zoneNames(zones)))
}

func zoneNames(zones []identifier.AvailabilityZone) []string {
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = string(z)
	}
	return names
}

// Evacuate submits an order to evacuate an availability zone, or to take that back. An order
// that another process has overtaken while it was held up here is not carried out.
func (c *controlAPI) Evacuate(ctx context.Context, zone identifier.AvailabilityZone, finished bool) error {
	err := c.checkZone(zone)
	if err == nil {
		err = c.submitEvacuation(ctx, zone, finished)
	}
	outcome := "acknowledged"
	if err != nil {
		outcome = string(explainer.KindOf(err))
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_evacuation_orders_total{finished="%t",outcome=%q}`, finished, outcome)).Inc()
	return err
}

func (c *controlAPI) submitEvacuation(ctx context.Context, zone identifier.AvailabilityZone, finished bool) error {
	arrivedAt := c.clock.Now()
	select {
	case <-ctx.Done():
	case <-c.clock.After(hangUpNotice):
	}
	if err := ctx.Err(); err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "the operator has hung up", "send the order again if it is still wanted")
	}
	command := &declarer.Evacuate{AvailabilityZone: zone, Finished: finished, Seen: c.view.Declared().Revision}
	for {
		answer, err := c.send(ctx, command)
		if err != nil {
			return err
		}
		// This process may not have learned yet of an order that the operator had given before.
		superseded, ok := answer.(*declarer.Superseded)
		if !ok || c.clock.Since(arrivedAt) > freshOrderTime {
			return answerError(answer)
		}
		command.Seen = superseded.Revision
	}
}

// checkZone returns an error of kind InvalidInput if the zone does not exist: it is in the
// settings, or an upstream is in it, or it is evacuated.
func (c *controlAPI) checkZone(zone identifier.AvailabilityZone) error {
	known := make(map[identifier.AvailabilityZone]bool)
	for z := range c.placement.Regions {
		known[z] = true
	}
	for _, u := range c.spreader.Upstreams() {
		known[u.AvailabilityZone] = true
	}
	for z := range c.view.Declared().Evacuations {
		known[z] = true
	}
	if zone != "" && known[zone] {
		return nil
	}
	names := strings.Join(zoneNames(slices.Sorted(maps.Keys(known))), ", ")
	return explainer.New(explainer.InvalidInput, fmt.Sprintf("zone %q does not exist", zone), "name one of "+names)
}
