package prover_test

import (
	"fmt"

	"github.com/stretchr/testify/require"

	"celeryvalve/administrator"
	"celeryvalve/certifier"
	"celeryvalve/controller"
	"celeryvalve/identifier"
)

// api submits many patches without starting a program for each.
type api struct {
	c      *cluster
	client *administrator.Client
}

func newAPI(c *cluster) *api {
	var urls []string
	for i := 1; i <= entries; i++ {
		urls = append(urls, fmt.Sprintf("https://%s.1.%d:7402", c.net, i))
	}
	source := certifier.NewSource(certifier.PathsIn(c.path("keys"), "operator"))
	return &api{c: c, client: administrator.NewClient(urls, source)}
}

// patch submits a patch until it is accepted and returns its version.
func (a *api) patch(id string, base identifier.ConfigurationVersion, text string) identifier.ConfigurationVersion {
	body := administrator.PatchSubmission{ID: identifier.PatchID(id), Base: base, File: id, Source: text}
	var answer controller.PatchAnswer
	a.c.eventually("patch "+id, func() bool {
		var err error
		answer, err = administrator.Post[controller.PatchAnswer](a.c.t.Context(), a.client, "/v1/patches", body)
		return err == nil
	})
	require.Equal(a.c.t, controller.Accepted, answer.Outcome, answer.Faults)
	return answer.Version
}
