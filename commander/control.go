package commander

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"celeryvalve/administrator"
	"celeryvalve/certifier"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

const (
	pollInterval = 500 * time.Millisecond
	// silentAfter is the age of the last report from which a lagging process is
	// shown as silent. A live process reports again sooner.
	silentAfter = 3 * time.Second
)

// client returns a client of the control plane with the operator's key.
func (s *session) client() *administrator.Client {
	source := certifier.NewSource(certifier.PathsIn(s.line.KeysFolder, s.line.Name))
	return administrator.NewClient(s.line.Control, source)
}

// table renders the rows in aligned columns, one row per line.
func table(rows ...[]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	// Writing to a strings.Builder does not fail.
	_ = w.Flush()
	return b.String()
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.NotFound, "can't read the file", "name an existing file")
	}
	return data, nil
}

type versionCommand struct{}

// Run shows the current version, how many processes have which version, and why
// others lag.
func (c *versionCommand) Run(s *session) error {
	v, err := administrator.Get[administrator.VersionView](context.Background(), s.client(), "/v1/version")
	if err != nil {
		return err
	}
	rows := [][]string{{"Version", fmt.Sprint(v.Version)}, {"Leader", v.Leader}}
	for _, version := range sortedVersions(v.Processes) {
		rows = append(rows, []string{fmt.Sprintf("In force %d", version), fmt.Sprintf("%d processes", v.Processes[version])})
	}
	for _, l := range v.Lagging {
		reason := "catching up"
		if s.clock.Since(l.Reported) > silentAfter {
			reason = "silent since " + l.Reported.Format(time.RFC3339)
		}
		rows = append(rows, []string{"Lagging", fmt.Sprintf("%s has %d, %s", l.Process, l.Version, reason)})
	}
	for _, name := range v.Unheard {
		rows = append(rows, []string{"Unheard", name + " did not answer"})
	}
	return s.print(v, table(rows...))
}

func sortedVersions(counts map[identifier.ConfigurationVersion]int) []identifier.ConfigurationVersion {
	versions := make([]identifier.ConfigurationVersion, 0, len(counts))
	for version := range counts {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

type servicesCommand struct{}

// Run lists the services with their model, version and ready upstreams.
func (c *servicesCommand) Run(s *session) error {
	v, err := administrator.Get[administrator.ServicesView](context.Background(), s.client(), "/v1/services")
	if err != nil {
		return err
	}
	rows := [][]string{{"SERVICE", "MODEL", "VERSION", "READY"}}
	for _, service := range v.Services {
		ready := fmt.Sprintf("%d of %d", service.Ready, service.Upstreams)
		rows = append(rows, []string{string(service.Service), string(service.Model), string(service.Version), ready})
	}
	return s.print(v, table(rows...))
}

type upstreamsCommand struct{}

// Run lists all upstreams.
func (c *upstreamsCommand) Run(s *session) error {
	v, err := administrator.Get[administrator.UpstreamsView](context.Background(), s.client(), "/v1/upstreams")
	if err != nil {
		return err
	}
	rows := [][]string{{"UPSTREAM", "SERVICE", "REGION", "ZONE", "ADDRESS", "STATE", "SERVES"}}
	for _, m := range v.Upstreams {
		state := "waiting"
		switch {
		case m.Leaving:
			state = "leaving"
		case m.Serving:
			state = "ready"
		}
		serves := strings.Trim(string(m.Model)+" "+string(m.Version), " ")
		rows = append(rows, []string{string(m.Upstream), string(m.Service), string(m.Region),
			string(m.AvailabilityZone), m.Address, state, serves})
	}
	return s.print(v, table(rows...))
}

type waitCommand struct {
	Service   string        `arg:"" help:"Service to wait for."`
	Upstreams int           `help:"How many upstreams must be ready." default:"1"`
	Timeout   time.Duration `help:"How long to wait." default:"1m"`
}

// Run polls until enough upstreams are ready, and shows progress. It returns
// Unavailable if that takes longer than the timeout. While the control plane is
// unavailable it goes on polling.
func (c *waitCommand) Run(s *session) error {
	start := s.clock.Now()
	lastLine := ""
	for {
		ready, known, err := c.countReady(s)
		if err != nil && explainer.KindOf(err) != explainer.Unavailable {
			return err
		}
		line := fmt.Sprintf("%s %s %d of %d ready\n", c.Service, progressBar(ready, c.Upstreams), ready, c.Upstreams)
		if line != lastLine && s.output == "text" {
			fmt.Fprint(s.w, line)
			lastLine = line
		}
		took := s.clock.Since(start)
		if ready >= c.Upstreams {
			text := fmt.Sprintf("%s is ready on %d upstreams after %.1f s.\n", c.Service, ready, took.Seconds())
			return s.print(map[string]any{"Service": c.Service, "Ready": ready, "Seconds": took.Seconds()}, text)
		}
		if took > c.Timeout {
			return explainer.New(explainer.Unavailable,
				fmt.Sprintf("%s has %d of %d upstreams ready, %d known, after %s", c.Service, ready, c.Upstreams, known, c.Timeout),
				"see celeryvalve upstreams and celeryvalve transfers")
		}
		s.clock.Sleep(pollInterval)
	}
}

// countReady returns how many upstreams of the service are ready and how many are
// known. Both are 0 if the service does not exist.
func (c *waitCommand) countReady(s *session) (ready, known int, err error) {
	v, err := administrator.Get[administrator.ServicesView](context.Background(), s.client(), "/v1/services")
	if err != nil {
		return 0, 0, err
	}
	for _, service := range v.Services {
		if string(service.Service) == c.Service {
			return service.Ready, service.Upstreams, nil
		}
	}
	return 0, 0, nil
}

// progressBar draws a bar of 20 characters. It is full if total is 0.
func progressBar(done, total int) string {
	const width = 20
	filled := width
	if total > 0 {
		filled = min(width, width*done/total)
	}
	return "[" + strings.Repeat("#", filled) + strings.Repeat("-", width-filled) + "]"
}

type transfersCommand struct {
	Service string `help:"Only this upstream's or service's name prefix."`
}

// Run lists the transfers and the use of the origin's read budgets.
func (c *transfersCommand) Run(s *session) error {
	v, err := administrator.Get[administrator.TransfersView](context.Background(), s.client(), "/v1/transfers")
	if err != nil {
		return err
	}
	rows := [][]string{{"UPSTREAM", "WEIGHTS", "PROGRESS", "CHUNKS", "FROM ORIGIN", "FROM PEERS", "TOOK", "PROBLEM"}}
	for _, t := range v.Transfers {
		if !strings.HasPrefix(string(t.Upstream), c.Service) {
			continue
		}
		rows = append(rows, []string{
			string(t.Upstream),
			string(t.Model) + string(t.Adapter) + " " + string(t.Version),
			progressBar(t.ChunksHeld, t.Chunks),
			fmt.Sprintf("%d/%d", t.ChunksHeld, t.Chunks),
			bytesText(t.FromOrigin), bytesText(t.FromPeers),
			durationText(t.Started, t.Ready),
			t.Problem,
		})
	}
	text := table(rows...)
	for _, use := range v.Origin {
		text += fmt.Sprintf("Origin: %s granted of %d copies of %s, %s again.\n",
			bytesText(use.Granted), use.Copies, bytesText(use.TotalSize), bytesText(use.Reserve))
	}
	return s.print(v, text)
}

func bytesText(n identifier.ByteCount) string {
	return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20))
}

// durationText returns how long a transfer took, or nothing if it is not finished.
func durationText(started, ready time.Time) string {
	if ready.IsZero() {
		return ""
	}
	return ready.Sub(started).Round(time.Millisecond).String()
}

type quarantineCommand struct {
	List  quarantineList  `cmd:"" default:"1" help:"List requests that crashed upstreams."`
	Clear quarantineClear `cmd:"" help:"Let requests run again."`
}

type quarantineList struct{}

// Run lists the requests suspected of having crashed upstreams.
func (c *quarantineList) Run(s *session) error {
	v, err := administrator.Get[administrator.QuarantineView](context.Background(), s.client(), "/v1/quarantine")
	if err != nil {
		return err
	}
	rows := [][]string{{"FINGERPRINT", "SERVICE", "CRASHES", "REFUSED"}}
	for _, suspect := range v.Suspects.List {
		rows = append(rows, []string{fmt.Sprint(uint64(suspect.Fingerprint)), string(suspect.Service),
			fmt.Sprint(suspect.Crashes), fmt.Sprint(suspect.Refused)})
	}
	return s.print(v, table(rows...))
}

type quarantineClear struct {
	Fingerprints []uint64 `arg:"" help:"Fingerprints to take off the list."`
}

// Run removes fingerprints from the quarantine.
func (c *quarantineClear) Run(s *session) error {
	body := administrator.ClearSubmission{}
	for _, f := range c.Fingerprints {
		body.Fingerprints = append(body.Fingerprints, quarantiner.Fingerprint(f))
	}
	v, err := administrator.Post[map[string]any](context.Background(), s.client(), "/v1/quarantine", body)
	if err != nil {
		return err
	}
	return s.print(v, fmt.Sprintf("Cleared %d fingerprints.\n", len(c.Fingerprints)))
}

type replicaCommand struct {
	List   replicaList   `cmd:"" default:"1" help:"List the control replicas."`
	Admit  replicaAdmit  `cmd:"" help:"Admit a replica that waits, in place of one of the same name whose disk was lost."`
	Remove replicaRemove `cmd:"" help:"Remove a replica."`
}

type replicaList struct{}

// Run lists the control replicas, then those that wait to be admitted.
func (c *replicaList) Run(s *session) error {
	v, err := administrator.Get[administrator.ReplicasView](context.Background(), s.client(), "/v1/replicas")
	if err != nil {
		return err
	}
	rows := [][]string{{"NAME", "ADDRESS", "REPLICA", "STATE", "SYNCED"}}
	for _, r := range v.Replicas {
		state := "learner"
		if r.Voter {
			state = "voter"
		}
		if r.Address == v.Leader {
			state = "leader"
		}
		rows = append(rows, []string{r.Name, r.Address, string(r.Replica), state, fmt.Sprint(r.Match)})
	}
	for _, r := range v.Waiting {
		rows = append(rows, []string{r.Name, r.Address, string(r.Replica), "waiting", ""})
	}
	return s.print(v, table(rows...))
}

type replicaAdmit struct {
	Name string `arg:"" help:"Name of the replica."`
}

// Run admits a replica that waits, and returns once it votes.
func (c *replicaAdmit) Run(s *session) error {
	path := "/v1/replicas/" + url.PathEscape(c.Name)
	v, err := administrator.Post[administrator.ReplicaAnswer](context.Background(), s.client(), path, nil)
	if err != nil {
		return err
	}
	return s.print(v, fmt.Sprintf("%s votes and has synced the log.\n", c.Name))
}

type replicaRemove struct {
	Name string `arg:"" help:"Name of the replica."`
}

// Run removes a control replica.
func (c *replicaRemove) Run(s *session) error {
	path := "/v1/replicas/" + url.PathEscape(c.Name)
	v, err := administrator.Delete[administrator.ReplicaAnswer](context.Background(), s.client(), path)
	if err != nil {
		return err
	}
	return s.print(v, fmt.Sprintf("%s is no longer a replica.\n", c.Name))
}
