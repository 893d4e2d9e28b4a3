package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is the result of running a plan. Latencies are in milliseconds.
type Report struct {
	Plan   Plan    `json:"plan"`
	TookMs float64 `json:"took-ms"`
	Counts Counts  `json:"counts"`
	// Short covers the short requests without a key; Keyed covers those with a
	// key, whose latency includes that of their claim.
	Short    Percentiles `json:"short"`
	Keyed    Percentiles `json:"keyed"`
	Long     Percentiles `json:"long"`
	PeakLoad PeakLoad    `json:"crest"`
	Series   []Point     `json:"series"`
	// results holds the result of each request by id, for the audit.
	results map[string]result
}

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Sent         int `json:"sent"`
	Answered     int `json:"answered"`
	Long         int `json:"long"`
	LongAnswered int `json:"long-answered"`
	// Refused counts refusals and the failures reported by backend servers;
	// Refusals counts them, and broken connections, by kind.
	Refused  int            `json:"refused"`
	Refusals map[string]int `json:"refusals"`
	// Broken counts requests whose connection broke, which the caller detects.
	Broken int `json:"broken"`
	Unsent int `json:"unsent"`
	// All counts below are violations, which must be 0.
	Lost       int `json:"lost"`
	Truncated  int `json:"cut"`
	Duplicated int `json:"doubled"`
	Mismatched int `json:"wrong"`
	// RanTwice counts non-repeatable requests that started more than once;
	// RefusedButRan counts requests that were refused as not run, but started.
	RanTwice      int `json:"ran-twice"`
	RefusedButRan int `json:"not-run-but-run"`
}

// Percentiles are the percentiles of one latency histogram.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	// Curve is the cumulative distribution.
	Curve []CurvePoint `json:"curve"`
}

// CurvePoint states that Quantile percent of the latencies are at most Value.
type CurvePoint struct {
	Quantile float64 `json:"quantile"`
	Value    float64 `json:"value"`
}

// Point is one interval of the time series.
type Point struct {
	AtMs     float64 `json:"at-ms"`
	Rate     float64 `json:"rate"`
	Offered  int     `json:"offered"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	ShortP99 float64 `json:"short-p99"`
}

// PeakLoad sums up the peak load: the intervals in which the variable rate is at
// least the plan's Rate. It is zero for a constant rate.
type PeakLoad struct {
	Seconds float64 `json:"seconds"`
	// Offered, Goodput and Refused are in requests per second.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	Refused float64 `json:"refused"`
}

// sumPeakLoad sums up the intervals of peak load in a series.
func sumPeakLoad(series []Point, plan Plan) PeakLoad {
	var peakLoad PeakLoad
	if plan.SwingMs <= 0 {
		return peakLoad
	}
	for _, point := range series {
		if point.Rate < plan.Rate || point.AtMs >= plan.DurationMs {
			continue
		}
		peakLoad.Seconds += seriesStep.Seconds()
		peakLoad.Offered += float64(point.Offered)
		peakLoad.Goodput += float64(point.Answered)
		peakLoad.Refused += float64(point.Refused)
	}
	if peakLoad.Seconds > 0 {
		peakLoad.Offered /= peakLoad.Seconds
		peakLoad.Goodput /= peakLoad.Seconds
		peakLoad.Refused /= peakLoad.Seconds
	}
	return peakLoad
}

// Goodput returns the complete answers per second over the duration of the plan.
func (report *Report) Goodput() float64 {
	return float64(report.Counts.Answered) / milliseconds(report.Plan.DurationMs).Seconds()
}

// ViolationError reports requests with outcomes that must not occur.
type ViolationError struct {
	violations []string
}

// Error lists the violations and the remedy.
func (violationError *ViolationError) Error() string {
	return strings.Join(violationError.violations, ", ") + "; read the timeline of the entry hosts to find the cause"
}

// Violation returns a [ViolationError] if the report counts a violation, or else nil.
func (report *Report) Violation() error {
	counts := report.Counts
	var violations []string
	count := func(number int, label string) {
		if number > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", number, label))
		}
	}
	count(counts.Lost, "lost")
	if !report.Plan.Faults {
		count(counts.Broken, "broken connections")
	}
	count(counts.Truncated, "cut")
	count(counts.Duplicated, "doubled")
	count(counts.Mismatched, "wrong")
	count(counts.RanTwice, "ran twice")
	count(counts.RefusedButRan, "refused as not run, but run")
	if violations == nil {
		return nil
	}
	return &ViolationError{violations: violations}
}

// WriteTable writes a human-readable summary of the report.
func (report *Report) WriteTable(writer io.Writer) {
	counts := report.Counts
	took := time.Duration(report.TookMs * float64(time.Millisecond)).Round(10 * time.Millisecond)
	fmt.Fprintf(writer, "%s: %d requests in %v, %.0f answered per second\n", report.Plan.Label, counts.Sent, took, report.Goodput())
	fmt.Fprintf(writer, "  answered %d, refused %d, broken %d, unsent %d; long %d of %d answered\n",
		counts.Answered, counts.Refused, counts.Broken, counts.Unsent, counts.LongAnswered, counts.Long)
	fmt.Fprintf(writer, "  lost %d, cut %d, doubled %d, wrong %d, ran twice %d, refused as not run but run %d\n",
		counts.Lost, counts.Truncated, counts.Duplicated, counts.Mismatched, counts.RanTwice, counts.RefusedButRan)
	report.Short.write(writer, "short")
	report.Keyed.write(writer, "keyed")
	report.Long.write(writer, "long")
	if report.PeakLoad.Seconds > 0 {
		fmt.Fprintf(writer, "  peak load: offered %.0f, answered %.0f, refused %.0f per second\n",
			report.PeakLoad.Offered, report.PeakLoad.Goodput, report.PeakLoad.Refused)
	}
	for _, kind := range slices.Sorted(maps.Keys(counts.Refusals)) {
		fmt.Fprintf(writer, "  %s: %d\n", kind, counts.Refusals[kind])
	}
}

func (percentiles Percentiles) write(writer io.Writer, name string) {
	if percentiles.Count == 0 {
		return
	}
	fmt.Fprintf(writer, "  %s: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
		name, percentiles.P50, percentiles.P99, percentiles.P999)
}
