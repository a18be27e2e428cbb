package commander

import (
	"bytes"
	"context"
	"fmt"

	"github.com/google/renameio/v2"

	"celeryvalve/administrator"
	"celeryvalve/explainer"
	"celeryvalve/reporter"
)

const pageMode = 0o644

type reportCommand struct {
	HTML string `name:"html" help:"Write one self-contained page with plots to this file." type:"path"`
}

// Run computes the report from the objectives and snapshots that the control plane
// gathers, and prints it or writes it as an HTML page.
func (c *reportCommand) Run(s *session) error {
	v, err := administrator.Get[administrator.ReportView](context.Background(), s.client(), "/v1/report")
	if err != nil {
		return err
	}
	report := reporter.New(v.Objectives).Report(v.Snapshots)
	for _, name := range v.Unheard {
		fmt.Fprintf(s.stderr, "celeryvalve: %s did not answer; its data is missing from the report\n", name)
	}
	if c.HTML != "" {
		return c.writePage(s, report)
	}
	if s.output == "json" {
		return report.WriteJSON(s.w)
	}
	return report.WriteText(s.w)
}

func (c *reportCommand) writePage(s *session, report reporter.Report) error {
	var page bytes.Buffer
	if err := report.WriteHTML(&page); err != nil {
		return err
	}
	if err := renameio.WriteFile(c.HTML, page.Bytes(), pageMode); err != nil {
		return explainer.Wrap(err, explainer.InvalidInput, "can't write the page", "name a file in a folder that can be written")
	}
	return s.print(map[string]string{"Page": c.HTML}, fmt.Sprintf("Wrote %s.\n", c.HTML))
}
