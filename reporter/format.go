package reporter

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"celeryvalve/identifier"
)

// barWidth is the width of a progress bar in text, in characters without the brackets.
const barWidth = 24

// percent formats a share in percent with up to three decimals. It rounds down, so that
// only a share of 1 is shown as 100%.
func percent(share float64) string {
	const scale = 1e3
	const slack = 1e-6 // offsets the rounding error of shares that have no exact binary form
	text := strconv.FormatFloat(math.Floor(100*share*scale+slack)/scale, 'f', 3, 64)
	text = strings.TrimRight(text, "0")
	return strings.TrimSuffix(text, ".") + "%"
}

// burnText formats a burn rate, or the number of bad events if the target leaves no
// error budget.
func burnText(target, burn float64) string {
	if target >= 1 {
		return fmt.Sprintf("%.0f bad", burn)
	}
	return strconv.FormatFloat(burn, 'f', 2, 64)
}

// budgetText formats the part of the error budget that is left. For an objective without
// an error budget it reports whether there was a bad event.
func budgetText(s Status) string {
	switch {
	case s.Objective.Target < 1:
		return fmt.Sprintf("%.0f%%", 100*s.BudgetLeft)
	case s.Bad > 0:
		return "broken"
	default:
		return "whole"
	}
}

// bar formats a share as a progress bar.
func bar(share float64) string {
	filled := min(max(int(share*barWidth), 0), barWidth)
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled) + "]"
}

func organisationText(o identifier.Organisation) string {
	if o == allOrganisations {
		return "(all)"
	}
	return string(o)
}

// bytesText formats a number of bytes with a decimal unit.
func bytesText(n float64) string {
	units := []string{"B", "kB", "MB", "GB", "TB"}
	i := 0
	for n >= 1000 && i < len(units)-1 {
		n /= 1000
		i++
	}
	if i == 0 {
		return fmt.Sprintf("%.0f %s", n, units[i])
	}
	return fmt.Sprintf("%.1f %s", n, units[i])
}

// roundedText formats a duration for display, rounded to 0.1 s below 10 s and otherwise to
// whole seconds.
func roundedText(d Duration) string {
	t := time.Duration(d)
	if t < 10*time.Second {
		return t.Round(100 * time.Millisecond).String()
	}
	return Duration(t.Round(time.Second)).String()
}

// weightsText formats the weights of a rollout as model+adapter@version; an empty model
// or adapter is left out.
func weightsText(r Rollout) string {
	name := string(r.Model)
	if r.Adapter != "" {
		name = strings.TrimPrefix(name+"+"+string(r.Adapter), "+")
	}
	return name + "@" + string(r.Version)
}

// stateText describes the progress of a rollout, with a prefix if it has exceeded its
// time limit.
func stateText(s RolloutStatus) string {
	if s.Elapsed > s.Limits.TimeToReplicas {
		return "late: " + progressText(s)
	}
	return progressText(s)
}

// progressText describes a rollout as ready, as stalled, by its rate and the time that
// remains, or by the time elapsed if the rate is not known.
func progressText(s RolloutStatus) string {
	switch {
	case s.Done():
		return "ready after " + roundedText(s.Elapsed)
	case s.Stalled:
		return "stalled, " + roundedText(s.Elapsed) + " since it was declared"
	case s.Remaining > 0:
		return fmt.Sprintf("%s/s, about %s left", bytesText(float64(s.Rate)), roundedText(s.Remaining))
	default:
		return roundedText(s.Elapsed) + " since it was declared"
	}
}
