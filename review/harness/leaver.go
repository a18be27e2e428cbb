//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	leaverRequests = 40 // of each kind
	// leaverShare is the share of the consumers that leave: one in leaverShare.
	leaverShare = 4
	// leaveAfter is when they leave: half of target_latency_ms, as give_up does.
	leaveAfter   = 150 * time.Millisecond
	leaverEvents = 20
	bookingWork  = 250 * time.Millisecond
	draftWork    = 600 * time.Millisecond
)

// leavingConsumers: a quarter of the consumers leave before their time limit. They end their side
// of the channel and read on until the other side ends, as an orderly close does.
func leavingConsumers(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		for _, service := range []string{"booking", "drafting"} {
			u, err := newRunner(f, fmt.Sprintf("i-%x%d0b7c1d2", len(service), i), service, f.address(), zone, i)
			if err != nil {
				return false, err
			}
			u.work = bookingWork
			if service == "drafting" {
				u.work, u.events = draftWork, leaverEvents
			}
			u.start()
		}
	}
	stream := plainRoute("r-2", "jepu9.example", "/drafts/", "drafting", "streaming")
	stream["target_gap_ms"] = 400
	routes := []route{plainRoute("r-1", "jepu9.example", "/bookings/", "booking", "non_idempotent"), stream}
	if err := f.declare(configuration(1, routes, []map[string]any{plainService("booking"), plainService("drafting")}, 16384)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * contactWindow)
	broken, served := 0, 0
	for i := range leaverRequests {
		for _, path := range []string{"/bookings/2f", "/drafts/2f"} {
			leaves := trouble && i%leaverShare == 0
			o, err := f.sendAndLeave(f.machines[i%len(f.machines)], path, leaves)
			if err != nil {
				return false, err
			}
			switch o {
			case falseSuccess:
				broken++
			case wholeAnswer:
				served++
			}
		}
	}
	f.record.add("result", "%d requests, %d served, %d false successes; MIXED broken: %t", 2*leaverRequests, served, broken, broken > 0)
	fmt.Printf("%d requests, %d served, %d got a false success\n", 2*leaverRequests, served, broken)
	if served < leaverRequests {
		return false, errors.New("the requests of consumers that stay should be served")
	}
	return broken > 0, nil
}

// outcome says what a consumer got.
type outcome int

const (
	noAnswer     outcome = iota // the channel ended, or the answer ended early and showed it
	ownFailure                  // a status that is no success
	falseSuccess                // a success without the signature, or that looks whole and isn't
	wholeAnswer                 // the runner's whole answer
)

// sendAndLeave sends a request on a channel of its own, and reads the answer. One that leaves
// ends its side of the channel first.
func (f *fleet) sendAndLeave(m *machine, path string, leaves bool) (outcome, error) {
	attempt := fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1))
	conn, err := net.DialTimeout("tcp4", m.front(), time.Second)
	if err != nil {
		return noAnswer, err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nCeleryvalve-Attempt-Id: %s\r\n"+
		"Celeryvalve-Deadline-Remaining: 3000\r\nApi-Key: %s\r\nContent-Length: 4\r\n\r\nslot", path, attempt, apiKey)
	if err != nil {
		return noAnswer, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return noAnswer, err
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.record.add("consumer", "%s POST %s at %s, leaves %t: no answer, %v", attempt, path, m.name, leaves, err)
		return noAnswer, nil
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	signed := response.Header.Get("Celeryvalve-Response-Signature") != ""
	answers := strings.Count(string(body), "answered "+attempt)
	isWhole := answers == 1 && path == "/bookings/2f" || answers == leaverEvents
	f.record.add("consumer", "%s POST %s at %s, leaves %t -> %d, signed %t, %d parts, looks complete %t, is complete %t",
		attempt, path, m.name, leaves, response.StatusCode, signed, answers, err == nil, isWhole)
	switch {
	case response.StatusCode != http.StatusOK:
		return ownFailure, nil
	case err != nil:
		return noAnswer, nil
	case !signed || !isWhole:
		return falseSuccess, nil
	default:
		return wholeAnswer, nil
	}
}
