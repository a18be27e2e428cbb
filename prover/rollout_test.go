package prover_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/administrator"
)

func TestPausedRolloutKeepsTheOldVersionUntilItResumes(t *testing.T) {
	c := newCluster(t, 101)
	startDrafting(c, 2)
	c.ready("drafting", 2)
	answer, code := c.patch("pause", 1, "[Services.drafting]\nPauseRollout = true\n")
	require.Equal(t, 0, code, "%v", answer)
	rollout(c, 2, "v2", c.weights("v2", 2))
	c.inForce(3, entries+2)
	got := c.post(1, "/drafting/v1/completions", "", prompt)
	require.Contains(t, got.body, "summaries@v1", got)
	answer, code = c.patch("resume", 3, "[Services.drafting]\nPauseRollout = false\n")
	require.Equal(t, 0, code, "%v", answer)
	c.ready("drafting", 2)
	// Taken back by a patch, the former version is served again.
	answer, code = c.patch("back", 4, "[Services.drafting]\nVersion = \"v1\"\n")
	require.Equal(t, 0, code, "%v", answer)
	c.ready("drafting", 2)
	got = c.post(1, "/drafting/v1/completions", "", prompt)
	require.Contains(t, got.body, "summaries@v1", got)
}

func TestAdapterIsServedBesideItsModel(t *testing.T) {
	c := newCluster(t, 102)
	startDrafting(c, 2)
	digest := strings.TrimSpace(c.run("standin", "weights", "--folder", c.path("weights"), "--model", "summaries",
		"--adapter", "formal", "--version", "a1", "--size", "256KiB", "--files", "1", "--seed", "7"))
	c.ready("drafting", 2)
	answer, code := c.patch("adapter", 1, fmt.Sprintf(`
[Adapters.formal]
Model = "summaries"

[Adapters.formal.Versions.a1]
Manifest = %q
Source = "/summaries/formal/a1"

[Services.drafting.Adapters]
formal = "a1"
`, digest))
	require.Equal(t, 0, code, "%v", answer)
	body := strings.Replace(prompt, `"model":"summaries"`, `"model":"formal"`, 1)
	c.eventually("drafts of the adapter", func() bool {
		got := c.post(1, "/drafting/v1/completions", "", body)
		return strings.Contains(got.body, "formal@a1")
	})
}

func TestEngineThatIgnoresFencingIsOrderedByOneGiverAtATime(t *testing.T) {
	c := newCluster(t, 103)
	manifest := c.weights("v1", 1)
	c.origin()
	c.entries()
	c.unfenced = true
	c.engine(1, "--ignore-fencing")
	c.declare(manifest)
	c.ready("drafting", 1)
	c.processes["drafting-1"].kill()
	c.agent("drafting", 1, "Engine")
	rollout(c, 1, "v2", c.weights("v2", 2))
	c.ready("drafting", 1)
	got := c.post(1, "/drafting/v1/completions", "", prompt)
	require.Contains(t, got.body, "summaries@v2", got)
}

func TestRequestsFlowWhileControlIsLost(t *testing.T) {
	c := newCluster(t, 104)
	startDrafting(c, 2)
	c.ready("drafting", 2)
	c.eventually("entry 1 knows them", func() bool {
		return c.post(1, "/drafting/v1/completions", "", prompt).outcome == "Completed"
	})
	c.processes["entry-2"].kill()
	c.processes["entry-3"].kill()
	// Longer than every lease: what serves goes on serving.
	for range 10 {
		time.Sleep(time.Second)
		got := c.post(1, "/drafting/v1/completions", "", prompt)
		require.Equal(t, "Completed", got.outcome, got)
	}
	c.entry(2)
	c.entry(3)
	c.ready("drafting", 2)
}

func TestLeaderAndAgentLostTogether(t *testing.T) {
	c := newCluster(t, 105)
	startHeldBookings(c, 3)
	leader, other := c.leader()
	pending := c.background(other, "/booking/slots", "slot-1", slot)
	at := untilStarted(c, 3, "slot-1")
	c.processes[c.entryName(leader)].kill()
	c.processes[fmt.Sprintf("booking-%d", at)].kill()
	got := <-pending
	require.Equal(t, "Unknown", got.outcome, got)
	c.eventually("the resend is answered", func() bool {
		return c.post(other, "/booking/slots", "slot-1", slot).outcome == "Unknown"
	})
	require.Equal(t, 1, c.runs(3, "slot-1"))
	release(c, 3)
	c.eventually("others run", func() bool {
		return c.post(other, "/booking/slots", "slot-2", slot).outcome == "Completed"
	})
	require.Equal(t, 1, c.runs(3, "slot-2"))
}

func TestLeavingUpstreamIsListedAsSuch(t *testing.T) {
	c := newCluster(t, 106)
	startBookings(c, 2, slow)
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	at := untilStarted(c, 2, "slot-1")
	name := fmt.Sprintf("booking-%d", at)
	require.NoError(t, c.processes[name].cmd.Process.Signal(termination))
	c.eventually("it is leaving", func() bool {
		v, ok := view[administrator.UpstreamsView](c, "upstreams")
		if !ok {
			return false
		}
		for _, u := range v.Upstreams {
			if string(u.Upstream) == name {
				return u.Leaving
			}
		}
		return true
	})
	for i := range 4 {
		got := c.post(2, "/booking/slots", fmt.Sprintf("after-%d", i), slot)
		require.Equal(t, "Completed", got.outcome, got)
	}
	out := c.run("standin", "runs", "--url", "http://"+c.upstreamIP("booking", at)+":9000")
	require.Equal(t, "1", strings.TrimSpace(out))
	require.Equal(t, "Completed", (<-pending).outcome)
}
