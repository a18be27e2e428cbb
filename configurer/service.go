package configurer

import (
	"slices"
	"strings"

	"celeryvalve/identifier"
)

// Idempotent reports whether a request may be repeated. The longest prefix of
// the path in IdempotentPaths and NonIdempotentPaths decides, and one that is
// in both is not idempotent. If no prefix matches, the method decides.
func (s Service) Idempotent(method, path string) bool {
	idempotentLength := longestPrefix(s.IdempotentPaths, path)
	nonIdempotentLength := longestPrefix(s.NonIdempotentPaths, path)
	switch {
	case nonIdempotentLength >= 0 && nonIdempotentLength >= idempotentLength:
		return false
	case idempotentLength >= 0:
		return true
	default:
		return slices.Contains(s.IdempotentMethods, method)
	}
}

// Allows reports whether the organisation may call the service.
func (s Service) Allows(organisation identifier.Organisation) bool {
	return len(s.Organisations) == 0 || slices.Contains(s.Organisations, organisation)
}

// FavourOf returns the measure that the service's transfers optimise first: its
// own Favour or, if it inherits, that of Transfers.
func (c Configuration) FavourOf(service identifier.Service) Favour {
	s, ok := c.Services[service]
	if !ok || s.Favour == Inherit {
		return c.Transfers.Favour
	}
	return s.Favour
}

// OriginCopies returns how many copies of the manifest's weights may be read
// from the origin: the smallest number that a service using them allows, or 0
// if no service uses them.
func (c Configuration) OriginCopies(manifest identifier.Digest) int {
	copies := 0
	for name, service := range c.Services {
		if !c.usesManifest(service, manifest) {
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

// OrganisationByToken returns the organisation whose callers use the token with the
// digest.
func (c Configuration) OrganisationByToken(token identifier.Digest) (identifier.Organisation, bool) {
	for name, organisation := range c.Organisations {
		if slices.Contains(organisation.TokenDigests, token) {
			return name, true
		}
	}
	return "", false
}

// OperatorByToken returns the operator who uses the token with the digest.
func (c Configuration) OperatorByToken(token identifier.Digest) (identifier.Operator, bool) {
	for name, operator := range c.Operators {
		if operator.TokenDigest == token {
			return name, true
		}
	}
	return "", false
}

func (c Configuration) usesManifest(service Service, manifest identifier.Digest) bool {
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

// longestPrefix returns the length of the longest of the prefixes that path
// starts with, or -1 if there is none.
func longestPrefix(prefixes []string, path string) int {
	longest := -1
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			longest = max(longest, len(prefix))
		}
	}
	return longest
}
