package configurer

import (
	"slices"
	"strings"

	"celeryvalve/identifier"
)

// Idempotent reports whether a request may be run again. The longest prefix of
// the path that the service names decides; without one, the method does.
func (s Service) Idempotent(method, path string) bool {
	repeatable := longestPrefix(s.IdempotentPaths, path)
	once := longestPrefix(s.NonIdempotentPaths, path)
	switch {
	case once >= 0 && once >= repeatable:
		return false
	case repeatable >= 0:
		return true
	default:
		return slices.Contains(s.IdempotentMethods, method)
	}
}

// Allows reports whether the organisation may call the service.
func (s Service) Allows(organisation identifier.Organisation) bool {
	return len(s.Organisations) == 0 || slices.Contains(s.Organisations, organisation)
}

// FavourOf returns the measure that the service's transfers put first.
func (c Configuration) FavourOf(service identifier.Service) Favour {
	s, ok := c.Services[service]
	if !ok || s.Favour == Inherit {
		return c.Transfers.Favour
	}
	return s.Favour
}

// OriginCopies returns how many copies of the manifest's weights may be read from
// the origin: the least that a service which wants them allows, and none when
// no service does.
func (c Configuration) OriginCopies(manifest identifier.Digest) int {
	copies := 0
	for name, service := range c.Services {
		if !c.wants(service, manifest) {
			continue
		}
		allowed := c.Transfers.OriginCopies
		if c.FavourOf(name) == OriginBytes {
			allowed = 1
		}
		if copies == 0 || allowed < copies {
			copies = allowed
		}
	}
	return copies
}

// Organisation returns whose callers bear the token of the digest.
func (c Configuration) Organisation(token identifier.Digest) (identifier.Organisation, bool) {
	for name, organisation := range c.Organisations {
		if slices.Contains(organisation.TokenDigests, token) {
			return name, true
		}
	}
	return "", false
}

// Operator returns who bears the token of the digest.
func (c Configuration) Operator(token identifier.Digest) (identifier.Operator, bool) {
	for name, operator := range c.Operators {
		if operator.TokenDigest == token {
			return name, true
		}
	}
	return "", false
}

func (c Configuration) wants(service Service, manifest identifier.Digest) bool {
	release, ok := c.Models[service.Model].Versions[service.Version]
	if ok && release.Manifest == manifest {
		return true
	}
	for adapter, version := range service.Adapters {
		release, ok := c.Adapters[adapter].Versions[version]
		if ok && release.Manifest == manifest {
			return true
		}
	}
	return false
}

// longestPrefix returns the length of the longest prefix of path, or -1.
func longestPrefix(prefixes []string, path string) int {
	longest := -1
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			longest = max(longest, len(prefix))
		}
	}
	return longest
}
