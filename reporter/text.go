package reporter

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as one table of objectives and one of rollouts.
func (r Report) WriteText(w io.Writer) error {
	var b bytes.Buffer
	if r.Time.IsZero() {
		b.WriteString("No snapshots: nothing to report.\n")
	} else {
		fmt.Fprintf(&b, "Report at %s over %s. Severity: %s\n\n", r.Time.UTC().Format(time.RFC3339), r.Covered, r.Severity)
		r.writeStatuses(&b)
		r.writeRollouts(&b)
	}
	_, err := w.Write(b.Bytes())
	return err
}

func (r Report) writeStatuses(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "SERVICE\tORGANISATION\tOBJECTIVE\tTARGET\tATTAINED\tBUDGET LEFT")
	for _, alert := range r.Objectives.Alerts {
		fmt.Fprintf(t, "\tBURN %s/%s", alert.Long, alert.Short)
	}
	fmt.Fprint(t, "\tSEVERITY\n")
	for _, s := range r.Statuses {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s", s.Service, organisationText(s.Organisation),
			s.Objective.Description, percent(s.Objective.Target), percent(s.Attained), budgetText(s))
		for _, burn := range s.Burns {
			fmt.Fprintf(t, "\t%s/%s", burnText(s.Objective.Target, burn.Long), burnText(s.Objective.Target, burn.Short))
		}
		fmt.Fprintf(t, "\t%s\n", s.Severity)
	}
	_ = t.Flush()
}

func (r Report) writeRollouts(w io.Writer) {
	if len(r.Rollouts) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tWEIGHTS\tPROGRESS\tREPLICAS\tORIGIN COPIES\tREADY WITHIN\tSTATE\tSEVERITY")
	for _, s := range r.Rollouts {
		fmt.Fprintf(t, "%s\t%s\t%s %3.0f%%\t%d of %d\t%.2f of %.2f\t%s\t%s\t%s\n", s.Service, weightsText(s.Rollout), bar(s.Progress),
			100*s.Progress, s.Ready, s.Wanted, s.Copies, s.Limits.OriginCopies, s.Limits.TimeToReplicas, stateText(s), s.Severity)
	}
	_ = t.Flush()
}
