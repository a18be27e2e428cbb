//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

// lateHeartbeat: the runners of a service are partitioned from control, crash there and start
// again as new incarnations at their addresses. A heartbeat that each old one sent before it
// crashed is delivered after its successor has registered.
func lateHeartbeat(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	const first, added = "records", "booking"
	for i, zone := range zones[:2] {
		if _, err := startRunner(f, fmt.Sprintf("i-4a%d0b7c1d2", i), first, f.address(), zone, i, false); err != nil {
			return false, err
		}
	}
	var old []*runner
	for i, zone := range zones {
		u, err := startRunner(f, []string{"i-9e16b79e8c", "i-e2e9145aec", "i-d840f93bc3"}[i], added, f.address(), zone, i, false)
		if err != nil {
			return false, err
		}
		old = append(old, u)
	}
	services := []map[string]any{plainService(first), plainService(added)}
	routes := []route{plainRoute("r-1", "jepu9.example", "/records/", first, "idempotent")}
	if err := f.declare(configuration(1, routes, services, 16384)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * contactWindow)
	if err := replaceRunners(f, old, trouble); err != nil {
		return false, err
	}
	time.Sleep(contactWindow)
	routes = append(routes, plainRoute("r-2", "jepu9.example", "/bookings/", added, "idempotent"))
	if err := f.declare(configuration(2, routes, services, 16384)); err != nil {
		return false, err
	}
	time.Sleep(configMS*time.Millisecond + contactWindow)
	return compareRoutes(f)
}

// Times of the partition, counted from its beginning.
const (
	crashAfter   = time.Second
	restartAfter = 3200 * time.Millisecond // runners are back after some seconds
	healAfter    = 5 * time.Second
	// deliverAfter is longer than a heartbeat's interval after the end: all new incarnations
	// have registered.
	deliverAfter = healAfter + 1500*time.Millisecond
)

// replaceRunners has each runner crash and start again. With trouble that happens behind a
// partition, and the last heartbeat of each old one comes through when it has healed.
func replaceRunners(f *fleet, old []*runner, trouble bool) error {
	began := time.Now()
	if trouble {
		f.record.add("platform", "the runners of booking are cut off from control")
		for _, u := range old {
			u.setCut(true)
		}
	}
	time.Sleep(time.Until(began.Add(crashAfter)))
	var late []func()
	for _, u := range old {
		// Sent, and held by the partition, on its way to the machine that it went to before.
		body, control := u.heartbeat("ready"), u.controls[0]
		if trouble {
			late = append(late, func() { u.send(control, body) })
		}
		u.crash()
	}
	time.Sleep(time.Until(began.Add(restartAfter)))
	var reborn []*runner
	for i, u := range old {
		id := []string{"i-18ca9fbafc", "i-76e77ecba1", "i-5b8f93bc30"}[i]
		// The new incarnation calls another node first.
		next, err := startRunner(f, id, u.service, u.addr, u.zon, i+1, trouble)
		if err != nil {
			return err
		}
		reborn = append(reborn, next)
	}
	time.Sleep(time.Until(began.Add(healAfter)))
	for _, u := range reborn {
		u.setCut(false)
	}
	if trouble {
		f.record.add("platform", "the runners of booking reach control")
	}
	time.Sleep(time.Until(began.Add(deliverAfter)))
	for _, deliver := range late {
		f.record.add("platform", "a heartbeat that the partition has delayed comes through")
		deliver()
	}
	return nil
}

// compareRoutes sends requests on the first route and on the added one, and reports whether the
// added one is served less than a quarter as often: the rule CONFIG.
func compareRoutes(f *fleet) (bool, error) {
	var sent, served [2]int
	for i := range 40 {
		for k, path := range []string{"/records/2f", "/bookings/2f"} {
			sent[k]++
			if f.ask(f.machines, i, "jepu9.example", path).served() {
				served[k]++
			}
		}
	}
	isBroken := sent[1] >= 20 && 4*served[1]*sent[0] < served[0]*sent[1]
	f.record.add("result", "first route: %d of %d served; added route: %d of %d served; CONFIG broken: %t", served[0], sent[0], served[1], sent[1], isBroken)
	fmt.Printf("first route: %d of %d served; added route: %d of %d served\n", served[0], sent[0], served[1], sent[1])
	if 2*served[0] < sent[0] {
		return false, errors.New("the first route should be served")
	}
	return isBroken, nil
}
