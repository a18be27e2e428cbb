package reporter

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"celeryvalve/identifier"
)

// barCells is the width of a progress bar in text.
const barCells = 24

// percent writes a share in percent, rounded down to three digits so that only a
// whole one shows as 100%.
func percent(share float64) string {
	const digits = 1e3
	const slack = 1e-6 // for shares that have no exact binary form
	text := strconv.FormatFloat(math.Floor(100*share*digits+slack)/digits, 'f', 3, 64)
	text = strings.TrimRight(text, "0")
	return strings.TrimSuffix(text, ".") + "%"
}

// burnText writes a burn rate, or a number of bad events where there is no budget.
func burnText(target, burn float64) string {
	if target >= 1 {
		return fmt.Sprintf("%.0f bad", burn)
	}
	return strconv.FormatFloat(burn, 'f', 2, 64)
}

// budgetText writes what is left of the error budget.
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

// bar draws a share as a bar of text.
func bar(share float64) string {
	full := min(max(int(share*barCells), 0), barCells)
	return "[" + strings.Repeat("#", full) + strings.Repeat(".", barCells-full) + "]"
}

func organisationText(o identifier.Organisation) string {
	if o == everyOrganisation {
		return "(all)"
	}
	return string(o)
}

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

// seconds rounds a duration for people.
func seconds(d Duration) string {
	t := time.Duration(d)
	if t < 10*time.Second {
		return t.Round(100 * time.Millisecond).String()
	}
	return Duration(t.Round(time.Second)).String()
}

// weightsText names the weights of a rollout.
func weightsText(r Rollout) string {
	name := string(r.Model)
	if r.Adapter != "" {
		name = strings.TrimPrefix(name+"+"+string(r.Adapter), "+")
	}
	return name + "@" + string(r.Version)
}

// stateText says where a rollout stands, and that it is late.
func stateText(s RolloutStatus) string {
	if s.Elapsed > s.Limits.TimeToReplicas {
		return "late: " + paceText(s)
	}
	return paceText(s)
}

func paceText(s RolloutStatus) string {
	switch {
	case s.Done():
		return "ready after " + seconds(s.Elapsed)
	case s.Stalled:
		return "stalled, " + seconds(s.Elapsed) + " since it was declared"
	case s.Remaining > 0:
		return fmt.Sprintf("%s/s, about %s left", bytesText(float64(s.Rate)), seconds(s.Remaining))
	default:
		return seconds(s.Elapsed) + " since it was declared"
	}
}
