package prover_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/administrator"
	"celeryvalve/controller"
	"celeryvalve/identifier"
)

const (
	entries      = 3
	callerToken  = "token"
	pollInterval = 50 * time.Millisecond
)

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "celeryvalve-prover")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder, "celeryvalve/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one started program.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	// ended is closed when the process has ended; err is set before.
	ended chan struct{}
	err   error
}

func (p *process) signal(s syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// wait returns how the process ended.
func (p *process) wait() error {
	<-p.ended
	return p.err
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.wait()
}

// cluster is one system with its stand-ins. Every cluster has IP numbers of its own.
type cluster struct {
	t         *testing.T
	net       string
	dir       string
	processes map[string]*process
	// linked puts a stand-in link before every process, at an address of its own.
	linked bool
	// unfenced says that engines take orders with any token.
	unfenced bool
	// drain is the drain deadline of every process, if any.
	drain string
	// deadline is that of every request, or empty for that of its service.
	deadline string
	// descriptors is how many files and sockets every process may have open, or 0 for no lower limit.
	descriptors int
	// memory is what every process may take, by its settings, or 0 where they don't say.
	memory int
}

// termination asks a process to drain.
const termination = syscall.SIGTERM

func newCluster(t *testing.T, network int) *cluster {
	t.Parallel()
	c := &cluster{t: t, net: fmt.Sprintf("127.%d", network), dir: t.TempDir(), processes: make(map[string]*process)}
	t.Cleanup(c.end)
	c.client("keys", "init", "--folder", c.path("keys"))
	c.client("keys", "issue", "--folder", c.path("keys"), "--role", "Operator", "operator")
	for i := 1; i <= entries; i++ {
		c.issue(c.entryName(i), "Entry", "Control")
	}
	return c
}

// end kills what still runs and shows the logs of a failed test.
func (c *cluster) end() {
	for _, p := range c.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
	}
	if !c.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(c.path("*.log"))
	for _, log := range logs {
		data, _ := os.ReadFile(log)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		c.t.Logf("%s:\n%s", filepath.Base(log), strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) entryIP(i int) string { return fmt.Sprintf("%s.1.%d", c.net, i) }

func (c *cluster) entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (c *cluster) issue(name string, roles ...string) {
	args := []string{"keys", "issue", "--folder", c.path("keys")}
	for _, role := range roles {
		args = append(args, "--role", role)
	}
	c.client(append(args, name)...)
}

// start runs a program; its output goes to NAME.log.
func (c *cluster) start(name, program string, args ...string) *process {
	log, err := os.OpenFile(c.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	if c.descriptors > 0 {
		limited := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, c.descriptors)
		cmd = exec.Command("sh", append([]string{"-c", limited, filepath.Join(binaries, program)}, args...)...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(c.t, cmd.Start())
	p := &process{t: c.t, name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	c.processes[name] = p
	return p
}

func (c *cluster) daemon(name, settings string) *process {
	file := c.path(name + ".toml")
	require.NoError(c.t, os.WriteFile(file, []byte(settings), 0o600))
	return c.start(name, "celeryvalved", "--settings", file)
}

// linkOffset leads from the subnet of a process to that of its link.
const linkOffset = 100

// through returns the IP number at which others reach the process, and starts
// the link that forwards from there.
func (c *cluster) through(name, ip string) string {
	if !c.linked {
		return ip
	}
	front := c.front(ip)
	if c.processes["link-"+name] == nil {
		c.start("link-"+name, "standin", "link", "--control", front+":7500", "--udp", front+":7400="+ip+":7400")
	}
	return front
}

func (c *cluster) front(ip string) string {
	var a, b, subnet, host int
	_, err := fmt.Sscanf(ip, "%d.%d.%d.%d", &a, &b, &subnet, &host)
	require.NoError(c.t, err)
	return fmt.Sprintf("%d.%d.%d.%d", a, b, subnet+linkOffset, host)
}

// link sets what the link before the IP number does to its traffic.
func (c *cluster) link(ip, settings string) {
	c.control("http://"+c.front(ip)+":7500/link", settings)
}

// silence makes the connections through the link go silent for good.
func (c *cluster) silence(ip string) {
	c.control("http://"+c.front(ip)+":7500/silence", "")
}

func (c *cluster) control(url, body string) {
	c.eventually("control of "+url, func() bool {
		resp, err := http.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode < 300
	})
}

func (c *cluster) common(name, ip, region string, roles string) string {
	drain := ""
	if c.drain != "" {
		drain = fmt.Sprintf("[Drain]\nDeadline = %q\n\n", c.drain)
	}
	memory := ""
	if c.memory > 0 {
		memory = fmt.Sprintf("Memory = \"%dB\"\n", c.memory)
	}
	return memory + fmt.Sprintf(`Name = %[1]q
Instance = %[1]q
Region = %[2]q
AvailabilityZone = "%[2]s-a"
Roles = [%[3]s]
DataFolder = %[4]q
Listen = "%[5]s:7400"
Advertise = "%[7]s:7400"
Admin = "%[5]s:7401"

[Keys]
Folder = %[6]q

`, name, region, roles, c.path(name+"-data"), ip, c.path("keys"), c.through(name, ip)) + drain
}

func (c *cluster) members() string {
	var b strings.Builder
	for i := 1; i <= entries; i++ {
		ip := c.entryIP(i)
		if c.linked {
			ip = c.front(ip)
		}
		fmt.Fprintf(&b, "[[Control.Members]]\nName = %q\nAddress = \"%s:7400\"\n\n", c.entryName(i), ip)
	}
	return b.String()
}

var regions = []string{"north", "middle", "south"}

// entry starts entry i, which holds a control replica.
func (c *cluster) entry(i int) *process {
	ip := c.entryIP(i)
	name := c.entryName(i)
	settings := c.common(name, ip, regions[i%3], `"Entry", "Control"`) +
		fmt.Sprintf("[Control]\nOperators = \"%s:7402\"\n\n", ip) + c.members() +
		fmt.Sprintf("[Entry]\nListen = \"%s:8080\"\n", ip)
	return c.daemon(name, settings)
}

func (c *cluster) entries() {
	for i := 1; i <= entries; i++ {
		c.entry(i)
	}
}

// agent starts the agent of upstream i of the service, whose stand-in has the same IP number.
func (c *cluster) agent(service string, i int, kind string) *process {
	name := fmt.Sprintf("%s-%d", service, i)
	ip := c.upstreamIP(service, i)
	if _, err := os.Stat(c.path("keys/" + name + ".pem")); err != nil {
		c.issue(name, "Agent")
	}
	settings := c.common(name, ip, regions[i%3], `"Agent"`) + c.members() + fmt.Sprintf(`[Agent]
Upstream = %q
Service = %q
UpstreamAddress = "%s:9000"
Kind = %q
ReportsLoad = true
ChecksFencing = %v
`, name, service, ip, kind, kind == "Engine" && !c.unfenced)
	return c.daemon(name, settings)
}

var subnets = map[string]int{"drafting": 10, "booking": 20}

func (c *cluster) upstreamIP(service string, i int) string {
	return fmt.Sprintf("%s.%d.%d", c.net, subnets[service], i)
}

// engine starts the stand-in of a drafting upstream and its agent.
func (c *cluster) engine(i int, args ...string) {
	listen := c.upstreamIP("drafting", i) + ":9000"
	c.start(fmt.Sprintf("engine-%d", i), "standin", append([]string{"engine", "--listen", listen}, args...)...)
	c.agent("drafting", i, "Engine")
}

// booking starts the stand-in of a booking upstream and its agent.
func (c *cluster) booking(i int, args ...string) {
	listen := c.upstreamIP("booking", i) + ":9000"
	c.start(fmt.Sprintf("service-%d", i), "standin", append([]string{"service", "--listen", listen}, args...)...)
	c.agent("booking", i, "Plain")
}

func (c *cluster) originAddress() string { return c.net + ".0.10:9100" }

// weights writes a version of the model's weights and returns the manifest's digest.
func (c *cluster) weights(version string, seed int) string {
	out := c.run("standin", "weights", "--folder", c.path("weights"), "--model", "summaries",
		"--version", version, "--size", "4MiB", "--seed", fmt.Sprint(seed))
	return strings.TrimSpace(out)
}

func (c *cluster) origin(args ...string) *process {
	args = append([]string{"origin", "--listen", c.originAddress(), "--folder", c.path("weights")}, args...)
	return c.start("origin", "standin", args...)
}

// run runs a program to its end, which must be a success.
func (c *cluster) run(program string, args ...string) string {
	out, code := c.try(program, args...)
	require.Equal(c.t, 0, code, "%s %v: %s", program, args, out)
	return out
}

// try runs a program to its end and returns what it printed and its exit code.
func (c *cluster) try(program string, args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	var out, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &stderr
	err := cmd.Run()
	if err == nil {
		return out.String(), 0
	}
	return out.String() + stderr.String(), cmd.ProcessState.ExitCode()
}

func (c *cluster) operator(args ...string) []string {
	all := []string{"--keys", c.path("keys"), "--name", "operator"}
	for i := 1; i <= entries; i++ {
		all = append(all, "--control", fmt.Sprintf("https://%s.1.%d:7402", c.net, i))
	}
	return append(all, args...)
}

func (c *cluster) client(args ...string) string {
	return c.run("celeryvalve", c.operator(args...)...)
}

// view reads the JSON of a client command, or reports that it failed.
func view[T any](c *cluster, args ...string) (T, bool) {
	var v T
	out, code := c.try("celeryvalve", c.operator(append([]string{"--output", "json"}, args...)...)...)
	if code != 0 {
		return v, false
	}
	require.NoError(c.t, json.Unmarshal([]byte(out), &v), out)
	return v, true
}

// patch submits a patch and returns its answer and exit code.
func (c *cluster) patch(id string, base identifier.ConfigurationVersion, text string) (controller.PatchAnswer, int) {
	file := c.path(id + ".patch.toml")
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	out, code := c.try("celeryvalve", c.operator("--output", "json", "patch", "apply", file,
		"--base", fmt.Sprint(base), "--id", id, "--wait", "60s")...)
	var answer controller.PatchAnswer
	if text, _, ok := strings.Cut(out, "\ncelery"); ok {
		out = text
	}
	_ = json.Unmarshal([]byte(out), &answer)
	return answer, code
}

const declaration = `
[Organisations.callers]
TokenDigests = [%q]

[Services.booking]
Kind = "Plain"
ReportsLoad = true
`

const draftingDeclaration = `
[Models.summaries.Versions.%[1]s]
Manifest = %[2]q
Source = "/summaries/%[1]s"

[Services.drafting]
Kind = "Engine"
Model = "summaries"
Version = %[1]q
ReportsLoad = true
IdempotentMethods = ["GET", "HEAD", "POST"]

[Transfers]
Favour = "OriginBytes"
OriginAddress = "http://%[3]s"
`

// declare submits the first patch, with drafting where a manifest is given.
func (c *cluster) declare(manifest string) {
	text := fmt.Sprintf(declaration, identifier.DigestOf([]byte(callerToken)))
	if manifest != "" {
		text += fmt.Sprintf(draftingDeclaration, "v1", manifest, c.originAddress())
	}
	answer, code := c.patch("declare", 0, text)
	require.Equal(c.t, 0, code, answer)
}

// landing is how long before go test's own limit a test gives up, so that it
// can still end its processes and show their logs.
const landing = 30 * time.Second

// eventually waits until the condition holds. Only go test bounds the wait.
func (c *cluster) eventually(what string, condition func() bool) {
	for !condition() {
		limit, bounded := c.t.Deadline()
		if bounded && time.Until(limit) < landing {
			require.FailNow(c.t, "never came: "+what)
		}
		time.Sleep(pollInterval)
	}
}

// ready waits until n upstreams of the service serve the declared version.
func (c *cluster) ready(service identifier.Service, n int) {
	c.eventually(fmt.Sprintf("%d of %s ready", n, service), func() bool {
		v, ok := view[administrator.ServicesView](c, "services")
		if !ok {
			return false
		}
		for _, s := range v.Services {
			if s.Service == service {
				return s.Ready == n
			}
		}
		return false
	})
}

// inForce waits until the version is in force on n processes.
func (c *cluster) inForce(version identifier.ConfigurationVersion, n int) {
	c.eventually(fmt.Sprintf("version %d on %d processes", version, n), func() bool {
		v, ok := view[administrator.VersionView](c, "version")
		return ok && v.Version == version && v.Processes[version] == n
	})
}

// leader returns the entry that leads and another one.
func (c *cluster) leader() (leader, other int) {
	c.eventually("a leader", func() bool {
		v, ok := view[administrator.VersionView](c, "version")
		if !ok {
			return false
		}
		for i := 1; i <= entries; i++ {
			ip := c.entryIP(i)
			if v.Leader == ip+":7400" || v.Leader == c.front(ip)+":7400" {
				leader = i
				return true
			}
		}
		return false
	})
	return leader, leader%entries + 1
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	retry   string
	body    string
	err     error
}

// post sends a request through entry i and reads the whole answer.
func (c *cluster) post(i int, path, key, body string) answer {
	url := fmt.Sprintf("http://%s.1.%d:8080%s", c.net, i, path)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if c.deadline != "" {
		req.Header.Set("Celeryvalve-Deadline", c.deadline)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Celeryvalve-Outcome"),
		retry:   resp.Header.Get("Retry-After"),
		body:    string(data),
		err:     err,
	}
}

// background runs the request and returns a channel with its answer.
func (c *cluster) background(i int, path, key, body string) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- c.post(i, path, key, body) }()
	return answers
}

// runs counts how often the booking stand-ins 1 to n started the key.
func (c *cluster) runs(n int, key string) int {
	total := 0
	for i := 1; i <= n; i++ {
		out := c.run("standin", "runs", "--url", "http://"+c.upstreamIP("booking", i)+":9000", "--key", key)
		var count int
		_, err := fmt.Sscan(out, &count)
		require.NoError(c.t, err, out)
		total += count
	}
	return total
}

// counter returns the value of a metric of entry i, or 0 if the entry doesn't show it.
func (c *cluster) counter(i int, name string) float64 {
	resp, err := http.Get("http://" + c.entryIP(i) + ":7401/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var value float64
		if _, err := fmt.Sscanf(line, name+" %g", &value); err == nil {
			return value
		}
	}
	return 0
}

// misbehave tells a stand-in what to do wrong from now on.
func (c *cluster) misbehave(address, text string) {
	c.control("http://"+address+"/misbehave", text)
}
