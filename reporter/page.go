package reporter

import (
	"bytes"
	_ "embed" // embeds the page template
	"html/template"
	"io"
	"time"

	"celeryvalve/identifier"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent":      percent,
	"budget":       budgetText,
	"burn":         burnText,
	"organisation": organisationText,
	"weights":      weightsText,
	"state":        stateText,
	"bytes":        func(n identifier.ByteCount) string { return bytesText(float64(n)) },
	"whole":        func(share float64) int { return min(max(int(100*share), 0), 100) },
	"utc":          func(t time.Time) string { return t.UTC().Format("2 January 2006, 15:04:05 UTC") },
}).Parse(pageText))

// page is the input of the template. The template refers to the fields of page and of
// the types in it by their Go names.
type page struct {
	Report
	Groups []serviceGroup
}

// serviceGroup holds all statuses of one service.
type serviceGroup struct {
	Service       identifier.Service
	Severity      Severity
	Cards         []card
	Organisations []Status
}

// card holds the status of a service over all its organisations, with its plot.
type card struct {
	Status
	Chart *chart
}

// WriteHTML writes the report as one HTML page that loads no other file.
func (r Report) WriteHTML(w io.Writer) error {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, page{Report: r, Groups: groupByService(r.Statuses)}); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

// groupByService groups statuses by service. The statuses must be sorted by service.
func groupByService(statuses []Status) []serviceGroup {
	var groups []serviceGroup
	for _, s := range statuses {
		if n := len(groups); n == 0 || groups[n-1].Service != s.Service {
			groups = append(groups, serviceGroup{Service: s.Service})
		}
		g := &groups[len(groups)-1]
		g.Severity = max(g.Severity, s.Severity)
		if s.Organisation != allOrganisations {
			g.Organisations = append(g.Organisations, s)
			continue
		}
		c := card{Status: s}
		if len(s.Burns) > 0 {
			plotted := newChart(s)
			c.Chart = &plotted
		}
		g.Cards = append(g.Cards, c)
	}
	return groups
}
