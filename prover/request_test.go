package prover_test

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const slot = `{"slot":"10:30"}`

// slow is how long a booking takes in tests that interrupt it and let it end.
const slow = "2s"

// startBookings starts entries and n booking upstreams that take the given time.
func startBookings(c *cluster, n int, delay string) {
	c.entries()
	for i := 1; i <= n; i++ {
		c.booking(i, "--delay", delay)
	}
	c.declare("")
	c.ready("booking", n)
	c.inForce(1, entries+n)
}

// startHeldBookings starts entries and n booking upstreams that answer nothing until
// release. Requests have a deadline that they don't reach meanwhile.
func startHeldBookings(c *cluster, n int) {
	startBookings(c, n, "0s")
	c.deadline = "1h"
	for i := 1; i <= n; i++ {
		c.misbehave(c.upstreamIP("booking", i)+":9000", `{"Hold":true}`)
	}
}

// release lets the booking stand-ins 1 to n answer.
func release(c *cluster, n int) {
	for i := 1; i <= n; i++ {
		c.misbehave(c.upstreamIP("booking", i)+":9000", `{}`)
	}
}

// untilStarted waits until the key runs at one of n stand-ins and returns which.
func untilStarted(c *cluster, n int, key string) int {
	running := 0
	c.eventually(key+" starts", func() bool {
		for i := 1; i <= n; i++ {
			out, _ := c.try("standin", "runs", "--url", "http://"+c.upstreamIP("booking", i)+":9000", "--key", key)
			if strings.TrimSpace(out) == "1" {
				running = i
				return true
			}
		}
		return false
	})
	return running
}

func TestResentBookingRunsOnce(t *testing.T) {
	c := newCluster(t, 71)
	startBookings(c, 3, "5ms")
	first := c.post(1, "/booking/slots", "slot-1", slot)
	require.NoError(t, first.err)
	require.Equal(t, "Completed", first.outcome, first)
	for i := 1; i <= entries; i++ {
		again := c.post(i, "/booking/slots", "slot-1", slot)
		require.Equal(t, first.body, again.body)
		require.Equal(t, "Completed", again.outcome)
	}
	other := c.post(2, "/booking/slots", "slot-1", `{"slot":"11:00"}`)
	require.Equal(t, "NotRun", other.outcome, other)
	require.Equal(t, 1, c.runs(3, "slot-1"))
}

func TestKilledAgentMakesABookingUnknownAndNeverRunsItAgain(t *testing.T) {
	c := newCluster(t, 72)
	startHeldBookings(c, 3)
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	at := untilStarted(c, 3, "slot-1")
	c.processes[fmt.Sprintf("booking-%d", at)].kill()
	got := <-pending
	require.Equal(t, "Unknown", got.outcome, got)
	again := c.post(2, "/booking/slots", "slot-1", slot)
	require.Equal(t, "Unknown", again.outcome, again)
	c.agent("booking", at, "Plain")
	c.ready("booking", 3)
	again = c.post(3, "/booking/slots", "slot-1", slot)
	require.NotEqual(t, "NotRun", again.outcome, again)
	require.Equal(t, 1, c.runs(3, "slot-1"))
}

func TestKilledUpstreamMakesABookingUnknown(t *testing.T) {
	c := newCluster(t, 73)
	startHeldBookings(c, 2)
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	at := untilStarted(c, 2, "slot-1")
	c.processes[fmt.Sprintf("service-%d", at)].kill()
	got := <-pending
	require.Contains(t, []string{"Unknown", "Failed"}, got.outcome, got)
	again := c.post(2, "/booking/slots", "slot-1", slot)
	require.Equal(t, got.outcome, again.outcome, again)
	other := 3 - at
	out := c.run("standin", "runs", "--url", "http://"+c.upstreamIP("booking", other)+":9000", "--key", "slot-1")
	require.Equal(t, "0", strings.TrimSpace(out))
}

// Guards against a resend that runs a booking again, or doesn't get its answer, while it still runs.
func TestKilledEntryLeavesTheBookingToItsResend(t *testing.T) {
	c := newCluster(t, 74)
	startHeldBookings(c, 3)
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	untilStarted(c, 3, "slot-1")
	c.processes["entry-1"].kill()
	require.Error(t, (<-pending).err)
	resend := make(chan answer, 1)
	go func() {
		got := c.post(2, "/booking/slots", "slot-1", slot)
		for got.outcome == "NotRun" {
			time.Sleep(pollInterval)
			got = c.post(2, "/booking/slots", "slot-1", slot)
		}
		resend <- got
	}()
	// An entry asks the holder of a claim about the booking, so the resend has arrived then.
	c.eventually("the resend finds the booking running", func() bool {
		return c.counter(2, "celeryvalve_entry_asks_total") > 0 || len(resend) > 0
	})
	require.Zero(t, len(resend), "the resend is answered while the booking runs")
	release(c, 3)
	again := <-resend
	require.Equal(t, "Completed", again.outcome, again)
	require.Equal(t, 1, c.runs(3, "slot-1"))
}

func TestBookingsWithoutAQuorumAreNotRun(t *testing.T) {
	c := newCluster(t, 75)
	startBookings(c, 2, "5ms")
	c.processes["entry-2"].kill()
	c.processes["entry-3"].kill()
	refused := c.post(1, "/booking/slots", "slot-1", slot)
	require.Equal(t, "NotRun", refused.outcome, refused)
	require.NotEmpty(t, refused.retry)
	require.Equal(t, 0, c.runs(2, "slot-1"))
	c.entry(2)
	c.eventually("bookings run again", func() bool {
		return c.post(1, "/booking/slots", "slot-1", slot).outcome == "Completed"
	})
	require.Equal(t, 1, c.runs(2, "slot-1"))
}

func TestKilledLeaderInTheMiddleOfBookings(t *testing.T) {
	c := newCluster(t, 76)
	startBookings(c, 3, "200ms")
	leader, other := c.leader()
	const bookings = 20
	answers := make(chan answer, bookings)
	for i := range bookings {
		go func() {
			key := fmt.Sprintf("slot-%d", i)
			got := c.post(other, "/booking/slots", key, slot)
			for got.outcome == "NotRun" {
				time.Sleep(pollInterval)
				got = c.post(other, "/booking/slots", key, slot)
			}
			answers <- got
		}()
		if i == bookings/2 {
			c.processes[c.entryName(leader)].kill()
		}
	}
	for range bookings {
		got := <-answers
		require.Contains(t, []string{"Completed", "Unknown"}, got.outcome, got)
	}
	for i := range bookings {
		require.LessOrEqual(t, c.runs(3, fmt.Sprintf("slot-%d", i)), 1)
	}
}

func TestDrainCutsNothingOff(t *testing.T) {
	c := newCluster(t, 77)
	startBookings(c, 2, slow)
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	at := untilStarted(c, 2, "slot-1")
	agent := c.processes[fmt.Sprintf("booking-%d", at)]
	entry := c.processes["entry-1"]
	agent.signal(syscall.SIGTERM)
	entry.signal(syscall.SIGTERM)
	// A second signal cuts nothing off either.
	agent.signal(syscall.SIGTERM)
	entry.signal(syscall.SIGTERM)
	got := <-pending
	require.NoError(t, got.err)
	require.Equal(t, "Completed", got.outcome, got)
	require.NoError(t, agent.wait())
	require.NoError(t, entry.wait())
	next := c.post(2, "/booking/slots", "slot-2", slot)
	require.Equal(t, "Completed", next.outcome, next)
}

func TestFrozenAgentIsLeftForAnother(t *testing.T) {
	c := newCluster(t, 78)
	startBookings(c, 2, "5ms")
	c.processes["booking-1"].signal(syscall.SIGSTOP)
	for i := range 6 {
		key := fmt.Sprintf("slot-%d", i)
		c.eventually(key+" runs", func() bool {
			return c.post(1, "/booking/slots", key, slot).outcome != "NotRun"
		})
	}
	c.processes["booking-1"].signal(syscall.SIGCONT)
	for i := range 6 {
		require.LessOrEqual(t, c.runs(2, fmt.Sprintf("slot-%d", i)), 1)
	}
}

func TestDrainDeadlineCutsOffAndNamesWhatItCut(t *testing.T) {
	c := newCluster(t, 79)
	c.drain = "200ms"
	startBookings(c, 1, "1h")
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	untilStarted(c, 1, "slot-1")
	agent := c.processes["booking-1"]
	agent.signal(syscall.SIGTERM)
	_ = agent.wait()
	got := <-pending
	require.Equal(t, "Unknown", got.outcome, got)
	log, err := os.ReadFile(c.path("booking-1.log"))
	require.NoError(t, err)
	require.Contains(t, string(log), "The drain deadline cut a request off.")
}
