package generator

import (
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

const (
	// longest is the highest latency that a histogram tells apart.
	longest = time.Hour
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Quantiles are the latencies of one histogram.
type Quantiles struct {
	Count int64
	P50   imitator.Duration
	P95   imitator.Duration
	P99   imitator.Duration
	Max   imitator.Duration
}

// Figures are what the callers of one group saw.
type Figures struct {
	Sent          int
	Good          int
	Tokens        int
	Outcomes      map[Outcome]int
	Statuses      map[string]int
	Faults        map[string]int
	Latency       Quantiles
	FirstToken    Quantiles
	BetweenTokens Quantiles
}

// Summary is the result of one run.
type Summary struct {
	Duration          imitator.Duration
	RequestsPerSecond float64
	GoodPerSecond     float64
	TokensPerSecond   float64
	// Differing counts resends that were answered otherwise than the first sending.
	Differing       int
	All             Figures
	PerClass        map[ClassName]Figures
	PerOrganisation map[identifier.Organisation]Figures
}

// Summarise computes the figures of the records. Latencies are those of whole answers.
func Summarise(plan Plan, records []Record) Summary {
	s := Summary{
		Duration:        plan.Duration,
		PerClass:        make(map[ClassName]Figures),
		PerOrganisation: make(map[identifier.Organisation]Figures),
		Differing:       differing(records),
	}
	s.All = figuresOf(records)
	for name, group := range groupBy(records, func(r Record) ClassName { return r.Class }) {
		s.PerClass[name] = figuresOf(group)
	}
	for name, group := range groupBy(records, func(r Record) identifier.Organisation { return r.Organisation }) {
		s.PerOrganisation[name] = figuresOf(group)
	}
	seconds := time.Duration(plan.Duration).Seconds()
	s.RequestsPerSecond = float64(s.All.Sent) / seconds
	s.GoodPerSecond = float64(s.All.Good) / seconds
	s.TokensPerSecond = float64(s.All.Tokens) / seconds
	return s
}

func groupBy[K comparable](records []Record, key func(Record) K) map[K][]Record {
	groups := make(map[K][]Record)
	for _, r := range records {
		groups[key(r)] = append(groups[key(r)], r)
	}
	return groups
}

func figuresOf(records []Record) Figures {
	f := Figures{
		Outcomes: make(map[Outcome]int),
		Statuses: make(map[string]int),
		Faults:   make(map[string]int),
	}
	latency, first, between := newHistogram(), newHistogram(), newHistogram()
	for _, r := range records {
		f.Sent++
		f.Outcomes[r.Outcome]++
		f.Statuses[strconv.Itoa(r.Status)]++
		if r.Fault != "" {
			f.Faults[r.Fault]++
		}
		if !r.Good() {
			continue
		}
		f.Good++
		f.Tokens += r.Tokens
		record(latency, r.Latency)
		if len(r.Between) > 0 {
			record(first, r.FirstToken)
		}
		for _, gap := range r.Between {
			record(between, gap)
		}
	}
	f.Latency, f.FirstToken, f.BetweenTokens = quantiles(latency), quantiles(first), quantiles(between)
	return f
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), significantDigits)
}

func record(h *hdrhistogram.Histogram, d imitator.Duration) {
	micros := min(max(time.Duration(d).Microseconds(), 1), longest.Microseconds())
	_ = h.RecordValue(micros)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) imitator.Duration {
		return imitator.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// differing counts the keys whose completed answers are not all the same.
func differing(records []Record) int {
	answers := make(map[identifier.IdempotencyKey]identifier.Digest)
	count := 0
	for _, r := range records {
		if r.IdempotencyKey == "" || !r.Good() {
			continue
		}
		digest, ok := answers[r.IdempotencyKey]
		if ok && digest != r.Digest {
			count++
		}
		answers[r.IdempotencyKey] = r.Digest
	}
	return count
}
