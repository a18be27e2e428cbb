package placer

import (
	"context"
	"net/netip"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// versions adds the declared version to each message. It is a connector.Versions. A
// process that is behind learns of the version from the spreader, which sends it with
// every heartbeat.
type versions struct {
	view *declarer.View
}

// Current returns the version in force in this process.
func (v versions) Current() identifier.ConfigurationVersion {
	return v.view.CurrentVersion()
}

// Observe does nothing.
func (versions) Observe(netip.AddrPort, identifier.ConfigurationVersion) {}

// Await returns at once.
func (versions) Await(context.Context, identifier.ConfigurationVersion) {}
