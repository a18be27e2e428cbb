//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	firstHeaderLimit = 16384
	laterHeaderLimit = 65536
	cookieBytes      = 30_000
	limitRequests    = 60
)

// headerLimit: a configuration raises max_header_bytes. Later than config_ms after its
// confirmation, consumers send requests with headers that are below the new limit, and above the
// one before. Without trouble the first configuration has that limit already.
func headerLimit(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := startRunner(f, fmt.Sprintf("i-4a%d0b7c1d2", i), "records", f.address(), zone, i, false); err != nil {
			return false, err
		}
	}
	services := []map[string]any{plainService("records")}
	routes := []route{plainRoute("r-1", "jepu9.example", "/records/", "records", "idempotent")}
	limit := firstHeaderLimit
	if !trouble {
		limit = laterHeaderLimit
	}
	if err := f.declare(configuration(1, routes, services, limit)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * contactWindow)
	if err := f.declare(configuration(2, routes, services, laterHeaderLimit)); err != nil {
		return false, err
	}
	time.Sleep(configMS*time.Millisecond + contactWindow)
	cookie := "case=" + strings.Repeat("5c1e07a2", cookieBytes/8)
	denied, served, sent, small := 0, 0, 0, 0
	for i := range limitRequests {
		for _, more := range []map[string]string{nil, {"Cookie": cookie}} {
			sent++
			switch a := f.send(f.machines[i%len(f.machines)], http.MethodGet, "jepu9.example", "/records/2f", 3*time.Second, more); {
			case a.served():
				served++
				if more == nil {
					small++
				}
			case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.signed:
				denied++
			}
		}
	}
	isBroken := denied > 5+sent/500
	f.record.add("result", "%d requests, %d served, %d ended with a 4xx of the system; DENIED broken: %t", sent, served, denied, isBroken)
	fmt.Printf("%d requests, %d served, %d ended with a 4xx of the system\n", sent, served, denied)
	if 2*small < limitRequests {
		return false, errors.New("requests with small headers should be served")
	}
	return isBroken, nil
}
