package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/relayer"
)

const (
	// routeTimeout limits the question to one entry: several round trips between regions.
	routeTimeout = 3 * time.Second
	// connectionTimeout is that of connections to entries. It is never reached: routeTimeout
	// ends the question before.
	connectionTimeout = time.Minute
)

// routeCommand asks placed entries what they would do with a request. The request is not
// sent to any upstream.
type routeCommand struct {
	Entry   []string `help:"Address of an entry for the system's other processes, as 10.0.0.1:7400. Repeat it to ask several." required:""`
	Request string   `arg:"" optional:"" help:"File with the request as it goes over HTTP/1.1; none reads standard input." type:"existingfile"`
}

// Run prints each entry's explanation. It returns the first error of any entry, also where
// an entry would reject the request.
func (c *routeCommand) Run(s *session) error {
	data, err := c.read()
	if err != nil {
		return err
	}
	if _, err := relayer.ParseRequest(data); err != nil {
		return err
	}
	endpoint, err := s.dial()
	if err != nil {
		return err
	}
	defer func() { _ = endpoint.Stop() }()
	var all []relayer.Explanation
	var failures []error
	for _, text := range c.Entry {
		x, err := s.ask(endpoint, text, data)
		if err == nil {
			err = rejection(x)
			all = append(all, x)
		}
		failures = append(failures, err)
	}
	var text strings.Builder
	for _, x := range all {
		text.WriteString(describe(x))
	}
	return firstError(append([]error{s.print(all, text.String())}, failures...))
}

func (c *routeCommand) read() ([]byte, error) {
	if c.Request != "" {
		return readFile(c.Request)
	}
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.InvalidInput, "can't read standard input", "name a file with the request")
	}
	return data, nil
}

// dial returns an endpoint that authenticates itself with the operator's key.
func (s *session) dial() (*connector.Endpoint, error) {
	codec, err := encoder.New(relayer.ExplainMessages()...)
	if err != nil {
		return nil, err
	}
	source := certifier.NewSource(certifier.PathsIn(s.line.KeysFolder, s.line.Name))
	e := connector.New(connector.Config{
		Listen: netip.MustParseAddrPort("0.0.0.0:0"), HandshakeTimeout: connectionTimeout, IdleTimeout: connectionTimeout,
	}, codec, source, noVersions{}, zap.NewNop())
	return e, e.Start()
}

func (s *session) ask(e *connector.Endpoint, text string, request []byte) (relayer.Explanation, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return relayer.Explanation{}, explainer.Wrap(err, explainer.InvalidInput, fmt.Sprintf("entry %q is no address", text), "write an IP number and a port, as 10.0.0.1:7400")
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.clock, routeTimeout)
	defer cancel()
	answer, err := e.Call(ctx, address, &relayer.ExplainRequest{Request: request})
	if err != nil {
		return relayer.Explanation{}, explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("entry %s can't be asked", text),
			"name the address of an entry that runs, and a key of its authority")
	}
	return *answer.(*relayer.Explanation), nil
}

// rejection returns the error that the rejection of a request stands for, or nil.
func rejection(x relayer.Explanation) error {
	kind, remedy := explainer.InvalidInput, "correct the request"
	switch x.Status {
	case 0:
		return nil
	case http.StatusNotFound:
		kind, remedy = explainer.NotFound, "check the host and the path"
	case http.StatusUnauthorized, http.StatusForbidden:
		kind, remedy = explainer.Denied, "check the key"
	case http.StatusServiceUnavailable:
		kind, remedy = explainer.Unavailable, "ask another entry"
	}
	return explainer.New(kind, fmt.Sprintf("%s answers %d: %s", x.Entry, x.Status, x.Problem), remedy)
}

func firstError(list []error) error {
	i := slices.IndexFunc(list, func(err error) bool { return err != nil })
	if i < 0 {
		return nil
	}
	return list[i]
}

// describe returns the explanation for people.
func describe(x relayer.Explanation) string {
	var b strings.Builder
	if x.Status != 0 {
		fmt.Fprintf(&b, "%s: rejected with %d: %s\n", x.Entry, x.Status, x.Problem)
		return b.String()
	}
	d := x.Decision
	fmt.Fprintf(&b, "%s: route %s (%s), organisation %s, service %s, priority %d, homes %s of the route and %s of the organisation%s\n",
		x.Entry, x.Route, x.Kind, cmp.Or(string(x.Organisation), "none"), x.Service, x.Priority, homes(x.RouteHomes), homes(x.OrganisationHomes),
		map[bool]string{true: ", refused before"}[x.Resubmitted])
	if d.Admitted {
		fmt.Fprintf(&b, "admitted: to %s, first byte after %s%s\n", d.Choice, milliseconds(d.Forecast), describeAdmission(d.Admission))
	} else {
		fmt.Fprintf(&b, "refused: %s, come back after %s; best forecast %s%s\n", d.Reason, milliseconds(d.RetryAfter), milliseconds(d.Forecast), describeAdmission(d.Admission))
	}
	rows := [][]string{{"UPSTREAM", "REGION", "ZONE", "LOAD", "OWN", "AGE", "HELD", "FORECAST", "PENALTY", "PASSED OVER"}}
	for _, u := range d.Candidates {
		rows = append(rows, []string{string(u.Upstream), string(u.Region), string(u.AvailabilityZone), fmt.Sprintf("%d/%d", u.Load, u.Slots),
			fmt.Sprint(u.InFlight), milliseconds(u.LoadAge), fmt.Sprint(u.HeldTokens), milliseconds(u.Forecast), milliseconds(u.Penalty),
			cmp.Or(string(u.PassedOver), string(chosen))})
	}
	b.WriteString(table(rows...))
	return b.String()
}

// chosen stands in the last column of the upstream that the request would go to.
const chosen balancer.PassReason = "(chosen)"

func homes(list declarer.Homes) string {
	if len(list) == 0 {
		return "any"
	}
	var names []string
	for _, region := range list {
		names = append(names, string(region))
	}
	return strings.Join(names, "+")
}

func milliseconds(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

// noVersions is the connector.Versions of a client without a configuration.
type noVersions struct{}

// Current returns 0.
func (noVersions) Current() identifier.ConfigurationVersion { return 0 }

// Observe does nothing.
func (noVersions) Observe(netip.AddrPort, identifier.ConfigurationVersion) {}

// Await returns at once.
func (noVersions) Await(context.Context, identifier.ConfigurationVersion) {}

// describeAdmission says how the pressure on the room compares with the gate of the request.
func describeAdmission(a balancer.Admission) string {
	switch {
	case a.Class == "":
		return ""
	case a.Free:
		return fmt.Sprintf(" (%s: half of the places are free)", a.Class)
	case a.Unfinishable:
		return fmt.Sprintf(" (%s: not complete before the deadline)", a.Class)
	default:
		return fmt.Sprintf(" (%s: pressure %.2f, gate %.2f)", a.Class, a.Pressure, a.Gate)
	}
}
