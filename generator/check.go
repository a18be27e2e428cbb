package generator

import (
	"fmt"
	"slices"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// Check compares what callers saw with what stand-ins ran, and returns every
// breach: a key that ran twice, a NotRun that ran, a Completed that did not, an
// answer that was passed on as Completed though it was not whole.
func Check(records []Record, runs []imitator.Run) []string {
	perKey := make(map[identifier.IdempotencyKey]int)
	perRequest := make(map[identifier.RequestID]int)
	for _, run := range runs {
		perRequest[run.RequestID]++
		if run.IdempotencyKey != "" {
			perKey[run.IdempotencyKey]++
		}
	}
	var breaches []string
	for key, n := range perKey {
		if n > 1 {
			breaches = append(breaches, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for _, rec := range records {
		breaches = append(breaches, checkRecord(rec, perRequest[rec.RequestID], perKey[rec.IdempotencyKey])...)
	}
	slices.Sort(breaches)
	return breaches
}

// checkRecord compares one record with the runs of its request and of its key. A
// request with a key is judged by the key: a resend is answered from the run of
// the first sending.
func checkRecord(rec Record, byRequest, byKey int) []string {
	ran := byRequest
	if rec.IdempotencyKey != "" && rec.Outcome == Completed {
		ran = byKey
	}
	var breaches []string
	if rec.Outcome == NotRun && ran > 0 {
		breaches = append(breaches, fmt.Sprintf("request %s ran, but its caller was told NotRun", rec.RequestID))
	}
	if rec.Outcome == Completed && ran == 0 {
		breaches = append(breaches, fmt.Sprintf("request %s did not run, but its caller was told Completed", rec.RequestID))
	}
	if rec.Outcome == Completed && rec.Status/100 == 2 && rec.Fault != "" {
		breaches = append(breaches, fmt.Sprintf("request %s: %s", rec.RequestID, rec.Fault))
	}
	return breaches
}
