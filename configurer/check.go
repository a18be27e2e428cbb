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

const maxNameLength = 128 // bytes

// isValidName reports whether text is not empty and consists of ASCII letters
// and digits and, after the first character, points, slashes, hyphens and
// underscores.
func isValidName(text string) bool {
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

// checker finds the faults of all objects of a new configuration.
type checker struct {
	Objects
	before      Objects
	doc         *parser.Document
	faults      *explainer.Faults
	faultyPaths map[string]bool // paths that already have a fault
}

// checkObjects adds every fault of the objects after a patch. The objects
// before it are needed to refuse changes that are not allowed, such as a change
// of a declared manifest.
func checkObjects(before, after Objects, doc *parser.Document, faults *explainer.Faults) {
	c := &checker{Objects: after, before: before, doc: doc, faults: faults, faultyPaths: make(map[string]bool)}
	for _, fault := range faults.List() {
		c.faultyPaths[fault.Path] = true
	}
	c.checkOrganisations()
	c.checkOperators()
	c.checkModels()
	c.checkAdapters()
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		c.checkService(name, c.Services[name])
	}
	c.checkTransfers()
}

// addFault adds a fault unless the path already has one, such as that of a
// value that couldn't be decoded. The fault has a position only if the patch
// contains the object.
func (c *checker) addFault(path parser.Path, problem, remedy string) {
	if c.faultyPaths[string(path)] {
		return
	}
	c.faultyPaths[string(path)] = true
	fault := c.doc.NewFault(path, problem, remedy)
	if keys, err := path.Keys(); err == nil && !c.doc.Has(parser.JoinPath(keys[:min(2, len(keys))]...)) {
		fault.Line, fault.Column = 0, 0
	}
	c.faults.Add(fault)
}

// checkName checks the name of an object or version.
func (c *checker) checkName(path parser.Path, name string) {
	if len(name) > maxNameLength || !isValidName(name) {
		c.addFault(path, fmt.Sprintf("name %q is not allowed", name),
			fmt.Sprintf("use up to %d letters, digits, points, slashes, hyphens and underscores", maxNameLength))
	}
}

func (c *checker) checkOrganisations() {
	owners := make(map[identifier.Digest]identifier.Organisation)
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) {
		path := parser.JoinPath("Organisations", string(name))
		c.checkName(path, string(name))
		if c.Organisations[name].Share < 1 {
			c.addFault(path.Key("Share"), "share is less than 1", "write a whole number of at least 1")
		}
		for i, digest := range c.Organisations[name].TokenDigests {
			digestPath := path.Key("TokenDigests").Index(i)
			if owner, ok := owners[digest]; ok {
				c.addFault(digestPath, "token belongs to "+string(owner)+" too", "give each caller's token to one organisation")
			}
			owners[digest] = name
			c.checkDigest(digestPath, digest)
		}
	}
}

func (c *checker) checkOperators() {
	owners := make(map[identifier.Digest]identifier.Operator)
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		path := parser.JoinPath("Operators", string(name))
		c.checkName(path, string(name))
		digest := c.Operators[name].TokenDigest
		c.checkDigest(path.Key("TokenDigest"), digest)
		if owner, ok := owners[digest]; ok {
			c.addFault(path.Key("TokenDigest"), "token belongs to "+string(owner)+" too", "give each operator another token")
		}
		owners[digest] = name
	}
	if len(c.before.Operators) > 0 && len(c.Operators) == 0 {
		c.addFault("Operators", "no operator is left, so nobody could submit another patch", "keep at least one")
	}
}

func (c *checker) checkDigest(path parser.Path, digest identifier.Digest) {
	if digest.IsZero() {
		c.addFault(path, "digest is missing", "write the SHA-256 as 64 hexadecimal digits")
	}
}

func (c *checker) checkModels() {
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		path := parser.JoinPath("Models", string(name))
		c.checkName(path, string(name))
		c.checkReleases(path, c.Models[name].Versions, c.before.Models[name].Versions)
	}
}

func (c *checker) checkAdapters() {
	for _, name := range slices.Sorted(maps.Keys(c.Adapters)) {
		path := parser.JoinPath("Adapters", string(name))
		c.checkName(path, string(name))
		c.checkReleases(path, c.Adapters[name].Versions, c.before.Adapters[name].Versions)
		if _, ok := c.Models[c.Adapters[name].Model]; !ok {
			c.addFault(path.Key("Model"), fmt.Sprintf("model %q does not exist", c.Adapters[name].Model), "name a declared model")
		}
	}
}

func (c *checker) checkReleases(path parser.Path, versions, before map[identifier.WeightVersion]Release) {
	if len(versions) == 0 {
		c.addFault(path.Key("Versions"), "no version is declared", "declare one with its Manifest and Source")
	}
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		versionPath := path.Key("Versions").Key(string(version))
		c.checkName(versionPath, string(version))
		release := versions[version]
		c.checkDigest(versionPath.Key("Manifest"), release.Manifest)
		if release.Source == "" {
			c.addFault(versionPath.Key("Source"), "source is missing", "write the path of the manifest at the origin")
		}
		old, ok := before[version]
		if ok && old.Manifest != release.Manifest {
			c.addFault(versionPath.Key("Manifest"), "manifest of a declared version can't change", "declare a new version")
		}
	}
}

func (c *checker) checkService(name identifier.Service, s Service) {
	path := parser.JoinPath("Services", string(name))
	c.checkName(path, string(name))
	switch s.Kind {
	case parser.Engine:
		c.checkServiceWeights(path, s)
	case parser.Plain:
		c.checkPlainService(path, s)
	default:
		c.addFault(path.Key("Kind"), "kind is missing", "write Engine or Plain")
	}
	for i, organisation := range s.Organisations {
		if _, ok := c.Organisations[organisation]; !ok {
			c.addFault(path.Key("Organisations").Index(i),
				fmt.Sprintf("organisation %q does not exist", organisation), "name a declared organisation")
		}
	}
	c.checkServiceLimits(path, s)
	c.checkIdempotencyRules(path, s)
	c.checkObjectives(path.Key("Objectives"), s.Objectives)
}

func (c *checker) checkPlainService(path parser.Path, s Service) {
	if s.Model != "" || s.Version != "" || len(s.Adapters) > 0 {
		c.addFault(path.Key("Kind"), "a plain service has no model or adapters", "remove them, or write Engine")
	}
}

func (c *checker) checkServiceWeights(path parser.Path, s Service) {
	model, ok := c.Models[s.Model]
	if !ok {
		c.addFault(path.Key("Model"), fmt.Sprintf("model %q does not exist", s.Model), "name a declared model")
	} else if _, ok := model.Versions[s.Version]; !ok {
		c.addFault(path.Key("Version"), fmt.Sprintf("model %q has no version %q", s.Model, s.Version), "name a declared version")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Adapters)) {
		adapterPath := path.Key("Adapters").Key(string(name))
		adapter, ok := c.Adapters[name]
		if !ok {
			c.addFault(adapterPath, fmt.Sprintf("adapter %q does not exist", name), "name a declared adapter")
			continue
		}
		if adapter.Model != s.Model {
			c.addFault(adapterPath, fmt.Sprintf("adapter %q belongs to model %q", name, adapter.Model), "name an adapter of the service's model")
		}
		if _, ok := adapter.Versions[s.Adapters[name]]; !ok {
			c.addFault(adapterPath, fmt.Sprintf("adapter %q has no version %q", name, s.Adapters[name]), "name a declared version")
		}
	}
}

func (c *checker) checkServiceLimits(path parser.Path, s Service) {
	if s.Deadline <= 0 {
		c.addFault(path.Key("Deadline"), "deadline is zero", `write a duration such as "30s"`)
	}
	if s.QueueLimit < 0 {
		c.addFault(path.Key("QueueLimit"), "limit is negative", "write 0 to let no request wait")
	}
	if s.RetryBudget < 0 || s.RetryBudget > 1 {
		c.addFault(path.Key("RetryBudget"), "budget is not between 0 and 1", "write the retries per request, such as 0.1")
	}
	if s.Concurrency.Minimum < 1 || s.Concurrency.Maximum < s.Concurrency.Minimum {
		c.addFault(path.Key("Concurrency"), "limits are not 1 <= Minimum <= Maximum", "correct Minimum or Maximum")
	}
}

func (c *checker) checkIdempotencyRules(path parser.Path, s Service) {
	for i, method := range s.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) {
			c.addFault(path.Key("IdempotentMethods").Index(i), fmt.Sprintf("method %q is not in capitals", method), "write an HTTP method such as GET")
		}
	}
	c.checkPathPrefixes(path.Key("IdempotentPaths"), s.IdempotentPaths)
	c.checkPathPrefixes(path.Key("NonIdempotentPaths"), s.NonIdempotentPaths)
}

func (c *checker) checkPathPrefixes(path parser.Path, prefixes []string) {
	for i, prefix := range prefixes {
		if !strings.HasPrefix(prefix, "/") {
			c.addFault(path.Index(i), fmt.Sprintf("prefix %q does not start with /", prefix), "write the start of a path such as /bookings")
		}
	}
}

func (c *checker) checkObjectives(path parser.Path, o Objectives) {
	durations := map[string]time.Duration{
		"FirstToken": o.FirstToken, "BetweenTokens": o.BetweenTokens, "ReadyWithin": o.ReadyWithin,
	}
	for _, name := range slices.Sorted(maps.Keys(durations)) {
		if durations[name] <= 0 {
			c.addFault(path.Key(name), "objective is zero", `write a duration such as "2s"`)
		}
	}
	if o.Target <= 0 || o.Target >= 1 {
		c.addFault(path.Key("Target"), "target is not between 0 and 1", "write a fraction such as 0.99")
	}
}

func (c *checker) checkTransfers() {
	c.checkURL("Transfers.OriginAddress", c.Transfers.OriginAddress)
	c.checkURL("Transfers.StoreAddress", c.Transfers.StoreAddress)
	if c.Transfers.Favour == Inherit {
		c.addFault("Transfers.Favour", "Inherit is allowed only for services", "write TimeToReplicas or OriginBytes")
	}
	if c.Transfers.OriginCopies < 1 {
		c.addFault("Transfers.OriginCopies", "number of copies is less than 1", "write a whole number of at least 1")
	}
}

// checkURL checks the URL of a server. It accepts an empty one, since a system
// of plain services has no origin.
func (c *checker) checkURL(path parser.Path, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.addFault(path, fmt.Sprintf("address %q is not an HTTP URL", text), `write a URL such as "http://10.0.0.9:9100"`)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addFault(path, fmt.Sprintf("host %q is not an IP number", u.Hostname()), `write a URL such as "http://10.0.0.9:9100"`)
	}
}
