package configurer

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
)

const maximumName = 128 // bytes

// isName reports whether text is letters and digits, with points, slashes, hyphens
// and underscores after the first.
func isName(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && (i == 0 || !strings.ContainsRune("._/-", rune(c))) {
			return false
		}
	}
	return text != ""
}

// checker looks at the whole of a new configuration.
type checker struct {
	Objects
	before Objects
	doc    *parser.Document
	faults *explainer.Faults
	known  map[string]bool // paths with a fault
}

// check adds every fault of the new objects.
func check(before, after Objects, doc *parser.Document, faults *explainer.Faults) {
	c := &checker{Objects: after, before: before, doc: doc, faults: faults, known: make(map[string]bool)}
	for _, fault := range faults.List() {
		c.known[fault.Path] = true
	}
	c.organisations()
	c.operators()
	c.models()
	c.adapters()
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		c.service(name, c.Services[name])
	}
	c.transfers()
}

// fault has a position when the object stands in the patch. A path that couldn't
// be read has its fault already.
func (c *checker) fault(path parser.Path, problem, remedy string) {
	if c.known[string(path)] {
		return
	}
	c.known[string(path)] = true
	fault := c.doc.Fault(path, problem, remedy)
	if keys, err := path.Keys(); err == nil && !c.doc.Has(parser.JoinPath(keys[:min(2, len(keys))]...)) {
		fault.Line, fault.Column = 0, 0
	}
	c.faults.Add(fault)
}

// name checks the name of an object or version.
func (c *checker) name(path parser.Path, name string) {
	if len(name) > maximumName || !isName(name) {
		c.fault(path, fmt.Sprintf("name %q is not allowed", name),
			fmt.Sprintf("use up to %d letters, digits, points, slashes, hyphens and underscores", maximumName))
	}
}

func (c *checker) organisations() {
	owners := make(map[identifier.Digest]identifier.Organisation)
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) {
		path := parser.JoinPath("Organisations", string(name))
		c.name(path, string(name))
		if c.Organisations[name].Share < 1 {
			c.fault(path.Key("Share"), "share is less than 1", "write a whole number from 1 up")
		}
		for i, digest := range c.Organisations[name].TokenDigests {
			at := path.Key("TokenDigests").Index(i)
			if owner, ok := owners[digest]; ok {
				c.fault(at, "token belongs to "+string(owner)+" too", "give each caller's token to one organisation")
			}
			owners[digest] = name
			c.digest(at, digest)
		}
	}
}

func (c *checker) operators() {
	owners := make(map[identifier.Digest]identifier.Operator)
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		path := parser.JoinPath("Operators", string(name))
		c.name(path, string(name))
		digest := c.Operators[name].TokenDigest
		c.digest(path.Key("TokenDigest"), digest)
		if owner, ok := owners[digest]; ok {
			c.fault(path.Key("TokenDigest"), "token belongs to "+string(owner)+" too", "give each operator another token")
		}
		owners[digest] = name
	}
	if len(c.before.Operators) > 0 && len(c.Operators) == 0 {
		c.fault("Operators", "no operator is left, so nobody could submit another patch", "keep at least one")
	}
}

func (c *checker) digest(path parser.Path, digest identifier.Digest) {
	if digest.IsZero() {
		c.fault(path, "digest is missing", "write the SHA-256 as 64 hexadecimal digits")
	}
}

func (c *checker) models() {
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		path := parser.JoinPath("Models", string(name))
		c.name(path, string(name))
		c.releases(path, c.Models[name].Versions, c.before.Models[name].Versions)
	}
}

func (c *checker) adapters() {
	for _, name := range slices.Sorted(maps.Keys(c.Adapters)) {
		path := parser.JoinPath("Adapters", string(name))
		c.name(path, string(name))
		c.releases(path, c.Adapters[name].Versions, c.before.Adapters[name].Versions)
		if _, ok := c.Models[c.Adapters[name].Model]; !ok {
			c.fault(path.Key("Model"), fmt.Sprintf("model %q does not exist", c.Adapters[name].Model), "name a declared model")
		}
	}
}

func (c *checker) releases(path parser.Path, versions, before map[identifier.WeightVersion]Release) {
	if len(versions) == 0 {
		c.fault(path.Key("Versions"), "no version is declared", "declare one with its Manifest and Source")
	}
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		at := path.Key("Versions").Key(string(version))
		c.name(at, string(version))
		release := versions[version]
		c.digest(at.Key("Manifest"), release.Manifest)
		if release.Source == "" {
			c.fault(at.Key("Source"), "source is missing", "write the path of the manifest at the origin")
		}
		old, ok := before[version]
		if ok && old.Manifest != release.Manifest {
			c.fault(at.Key("Manifest"), "manifest of a declared version can't change", "declare a new version")
		}
	}
}

func (c *checker) service(name identifier.Service, s Service) {
	path := parser.JoinPath("Services", string(name))
	c.name(path, string(name))
	switch s.Kind {
	case parser.Engine:
		c.serviceWeights(path, s)
	case parser.Plain:
		c.plainService(path, s)
	default:
		c.fault(path.Key("Kind"), "kind is missing", "write Engine or Plain")
	}
	for i, organisation := range s.Organisations {
		if _, ok := c.Organisations[organisation]; !ok {
			c.fault(path.Key("Organisations").Index(i),
				fmt.Sprintf("organisation %q does not exist", organisation), "name a declared organisation")
		}
	}
	c.serviceLimits(path, s)
	c.servicePaths(path, s)
	c.objectives(path.Key("Objectives"), s.Objectives)
}

func (c *checker) plainService(path parser.Path, s Service) {
	if s.Model != "" || s.Version != "" || len(s.Adapters) > 0 {
		c.fault(path.Key("Kind"), "a plain service has no model or adapters", "remove them, or write Engine")
	}
}

func (c *checker) serviceWeights(path parser.Path, s Service) {
	model, ok := c.Models[s.Model]
	if !ok {
		c.fault(path.Key("Model"), fmt.Sprintf("model %q does not exist", s.Model), "name a declared model")
	} else if _, ok := model.Versions[s.Version]; !ok {
		c.fault(path.Key("Version"), fmt.Sprintf("model %q has no version %q", s.Model, s.Version), "name a declared version")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Adapters)) {
		at := path.Key("Adapters").Key(string(name))
		adapter, ok := c.Adapters[name]
		if !ok {
			c.fault(at, fmt.Sprintf("adapter %q does not exist", name), "name a declared adapter")
			continue
		}
		if adapter.Model != s.Model {
			c.fault(at, fmt.Sprintf("adapter %q belongs to model %q", name, adapter.Model), "name an adapter of the service's model")
		}
		if _, ok := adapter.Versions[s.Adapters[name]]; !ok {
			c.fault(at, fmt.Sprintf("adapter %q has no version %q", name, s.Adapters[name]), "name a declared version")
		}
	}
}

func (c *checker) serviceLimits(path parser.Path, s Service) {
	if s.Deadline <= 0 {
		c.fault(path.Key("Deadline"), "deadline is zero", `write a duration such as "30s"`)
	}
	if s.QueueLimit < 0 {
		c.fault(path.Key("QueueLimit"), "limit is negative", "write 0 to let no request wait")
	}
	if s.RetryBudget < 0 || s.RetryBudget > 1 {
		c.fault(path.Key("RetryBudget"), "budget is not between 0 and 1", "write the retries per request, such as 0.1")
	}
	if s.Concurrency.Minimum < 1 || s.Concurrency.Maximum < s.Concurrency.Minimum {
		c.fault(path.Key("Concurrency"), "limits are not 1 <= Minimum <= Maximum", "correct Minimum or Maximum")
	}
}

func (c *checker) servicePaths(path parser.Path, s Service) {
	for i, method := range s.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) {
			c.fault(path.Key("IdempotentMethods").Index(i), fmt.Sprintf("method %q is not in capitals", method), "write an HTTP method such as GET")
		}
	}
	c.prefixes(path.Key("IdempotentPaths"), s.IdempotentPaths)
	c.prefixes(path.Key("NonIdempotentPaths"), s.NonIdempotentPaths)
}

func (c *checker) prefixes(path parser.Path, prefixes []string) {
	for i, prefix := range prefixes {
		if !strings.HasPrefix(prefix, "/") {
			c.fault(path.Index(i), fmt.Sprintf("prefix %q does not start with /", prefix), "write the start of a path such as /bookings")
		}
	}
}

func (c *checker) objectives(path parser.Path, o Objectives) {
	durations := map[string]time.Duration{
		"FirstToken": o.FirstToken, "BetweenTokens": o.BetweenTokens, "ReadyWithin": o.ReadyWithin,
	}
	for _, name := range slices.Sorted(maps.Keys(durations)) {
		if durations[name] <= 0 {
			c.fault(path.Key(name), "objective is zero", `write a duration such as "2s"`)
		}
	}
	if o.Target <= 0 || o.Target >= 1 {
		c.fault(path.Key("Target"), "target is not between 0 and 1", "write a fraction such as 0.99")
	}
}

func (c *checker) transfers() {
	c.address("Transfers.OriginAddress", c.Transfers.OriginAddress)
	c.address("Transfers.StoreAddress", c.Transfers.StoreAddress)
	if c.Transfers.Favour == Inherit {
		c.fault("Transfers.Favour", "there is nothing to inherit from", "write TimeToReplicas or OriginBytes")
	}
	if c.Transfers.OriginCopies < 1 {
		c.fault("Transfers.OriginCopies", "no copy may be read", "write a whole number from 1 up")
	}
}

// address allows an empty text: a system of plain services has no origin.
func (c *checker) address(path parser.Path, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault(path, fmt.Sprintf("address %q is not an HTTP URL", text), `write a URL such as "http://10.0.0.9:9100"`)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.fault(path, fmt.Sprintf("host %q is not an IP number", u.Hostname()), `write a URL such as "http://10.0.0.9:9100"`)
	}
}
