package prover_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
)

const prompt = `{"model":"summaries","prompt":"Summarise the call.","max_tokens":4}`

// startDrafting starts entries, an origin and n engines on the first version.
func startDrafting(c *cluster, n int, originArgs ...string) {
	manifest := c.weights("v1", 1)
	c.origin(originArgs...)
	c.entries()
	for i := 1; i <= n; i++ {
		c.engine(i)
	}
	c.declare(manifest)
}

// rollout declares another version of the weights.
func rollout(c *cluster, base identifier.ConfigurationVersion, version, manifest string) {
	answer, code := c.patch("rollout-"+version, base, fmt.Sprintf(`
[Models.summaries.Versions.%[1]s]
Manifest = %[2]q
Source = "/summaries/%[1]s"

[Services.drafting]
Version = %[1]q
`, version, manifest))
	require.Equal(c.t, 0, code, "%v", answer)
}

func TestDraftsComeFromTheDeclaredVersion(t *testing.T) {
	c := newCluster(t, 81)
	startDrafting(c, 3)
	c.ready("drafting", 3)
	got := c.post(1, "/drafting/v1/completions", "", prompt)
	require.Equal(t, "Completed", got.outcome, got)
	require.Contains(t, got.body, "summaries@v1")
	rollout(c, 1, "v2", c.weights("v2", 2))
	c.eventually("drafts of v2", func() bool {
		got := c.post(1, "/drafting/v1/completions", "", prompt)
		return strings.Contains(got.body, "summaries@v2")
	})
	c.ready("drafting", 3)
}

func TestCorruptOriginIsReadAgainAndNothingCorruptIsServed(t *testing.T) {
	c := newCluster(t, 82)
	startDrafting(c, 3, "--misbehave", `{"CorruptFraction":0.2}`)
	c.ready("drafting", 3)
	got := c.post(1, "/drafting/v1/completions", "", prompt)
	require.Contains(t, got.body, "summaries@v1")
}

func TestChangedContentNeverLoads(t *testing.T) {
	c := newCluster(t, 83)
	startDrafting(c, 2)
	c.ready("drafting", 2)
	manifest := c.weights("v2", 2)
	c.misbehave(c.originAddress(), `{"Changed":true}`)
	rollout(c, 1, "v2", manifest)
	c.inForce(2, entries+2)
	got := c.post(1, "/drafting/v1/completions", "", prompt)
	require.NotContains(t, got.body, "summaries@v2")
	c.misbehave(c.originAddress(), `{}`)
	c.ready("drafting", 2)
	got = c.post(1, "/drafting/v1/completions", "", prompt)
	require.Contains(t, got.body, "summaries@v2")
}

func TestOriginGoneHalfWayComesBack(t *testing.T) {
	c := newCluster(t, 84)
	startDrafting(c, 3, "--link-rate", "1048576")
	origin := c.processes["origin"]
	c.eventually("something is read", func() bool {
		out, code := c.try("standin", "counters", "--url", "http://"+c.originAddress())
		return code == 0 && !strings.Contains(out, "0 bytes") && len(out) > 0
	})
	origin.kill()
	c.origin()
	c.ready("drafting", 3)
}

func TestKilledAgentsAreReplacedInTheMiddleOfATransfer(t *testing.T) {
	c := newCluster(t, 85)
	startDrafting(c, 6, "--link-rate", "1048576")
	for i := 1; i <= 2; i++ {
		c.processes[fmt.Sprintf("drafting-%d", i)].kill()
		c.agent("drafting", i, "Engine")
	}
	c.ready("drafting", 6)
}

func TestVersionChangedHalfWay(t *testing.T) {
	c := newCluster(t, 86)
	startDrafting(c, 3, "--link-rate", "1048576")
	rollout(c, 1, "v2", c.weights("v2", 2))
	c.ready("drafting", 3)
	got := c.post(1, "/drafting/v1/completions", "", prompt)
	require.Contains(t, got.body, "summaries@v2")
}

func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	c := newCluster(t, 87)
	manifest := c.weights("v1", 1)
	c.origin()
	c.entries()
	const engines = 4
	for i := 1; i <= engines; i++ {
		c.engine(i, "--misbehave", `{"CrashOn":"poison"}`)
	}
	c.declare(manifest)
	c.ready("drafting", engines)
	poison := strings.Replace(prompt, "Summarise", "poison", 1)
	for range 8 {
		c.post(1, "/drafting/v1/completions", "", poison)
	}
	alive := 0
	for i := 1; i <= engines; i++ {
		select {
		case <-c.processes[fmt.Sprintf("engine-%d", i)].ended:
		default:
			alive++
		}
	}
	require.GreaterOrEqual(t, alive, engines-2)
	c.eventually("others are served", func() bool {
		return c.post(2, "/drafting/v1/completions", "", prompt).outcome == "Completed"
	})
}
