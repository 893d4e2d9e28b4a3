package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is what came of a plan. Latencies are in milliseconds.
type Report struct {
	Plan   Plan    `json:"plan"`
	TookMs float64 `json:"took-ms"`
	Counts Counts  `json:"counts"`
	// Short is of short requests without a key; Keyed is of those with one,
	// whose claim takes its time.
	Short  Percentiles `json:"short"`
	Keyed  Percentiles `json:"keyed"`
	Long   Percentiles `json:"long"`
	Crest  Crest       `json:"crest"`
	Series []Point     `json:"series"`
	// results holds the end of each request, for the audit.
	results map[string]result
}

// Counts says how requests ended.
type Counts struct {
	Sent         int `json:"sent"`
	Answered     int `json:"answered"`
	Long         int `json:"long"`
	LongAnswered int `json:"long-answered"`
	// Refused counts refusals and failures of backend servers, by kind in
	// Refusals.
	Refused  int            `json:"refused"`
	Refusals map[string]int `json:"refusals"`
	// Broken counts requests whose connection broke; the caller knows that.
	Broken int `json:"broken"`
	Unsent int `json:"unsent"`
	// What must not happen:
	Lost    int `json:"lost"`
	Cut     int `json:"cut"`
	Doubled int `json:"doubled"`
	Wrong   int `json:"wrong"`
	// RanTwice counts requests that must not repeat and started more than
	// once; NotRunButRun those that were refused as not run and started.
	RanTwice     int `json:"ran-twice"`
	NotRunButRun int `json:"not-run-but-run"`
}

// Percentiles are those of one histogram of latencies.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	// Curve is the whole distribution.
	Curve []CurvePoint `json:"curve"`
}

// CurvePoint says that Quantile percent of latencies are at most Value.
type CurvePoint struct {
	Quantile float64 `json:"quantile"`
	Value    float64 `json:"value"`
}

// Point is one step of the time series.
type Point struct {
	AtMs     float64 `json:"at-ms"`
	Rate     float64 `json:"rate"`
	Offered  int     `json:"offered"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	ShortP99 float64 `json:"short-p99"`
}

// Crest sums up the steps in which a swinging rate was over the plan's Rate; it
// is 0 where the rate doesn't swing.
type Crest struct {
	Seconds float64 `json:"seconds"`
	// Offered, Goodput and Refused are in requests a second.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	Refused float64 `json:"refused"`
}

// crest sums up a series.
func crest(series []Point, plan Plan) Crest {
	var crest Crest
	if plan.SwingMs <= 0 {
		return crest
	}
	for _, point := range series {
		if point.Rate < plan.Rate || point.AtMs >= plan.DurationMs {
			continue
		}
		crest.Seconds += seriesStep.Seconds()
		crest.Offered += float64(point.Offered)
		crest.Goodput += float64(point.Answered)
		crest.Refused += float64(point.Refused)
	}
	if crest.Seconds > 0 {
		crest.Offered /= crest.Seconds
		crest.Goodput /= crest.Seconds
		crest.Refused /= crest.Seconds
	}
	return crest
}

// Goodput returns whole answers a second over the time that requests came.
func (report *Report) Goodput() float64 {
	return float64(report.Counts.Answered) / milliseconds(report.Plan.DurationMs).Seconds()
}

// FaultError says that requests ended as they must not.
type FaultError struct {
	faults []string
}

// Error lists what went wrong and the remedy.
func (faultError *FaultError) Error() string {
	return strings.Join(faultError.faults, ", ") + "; read the time line of the entry hosts to find the cause"
}

// Fault returns a [FaultError] where a request ended as none must, or nil.
func (report *Report) Fault() error {
	counts := report.Counts
	var faults []string
	note := func(count int, what string) {
		if count > 0 {
			faults = append(faults, fmt.Sprintf("%d %s", count, what))
		}
	}
	note(counts.Lost, "lost")
	if !report.Plan.Faults {
		note(counts.Broken, "broken connections")
	}
	note(counts.Cut, "cut")
	note(counts.Doubled, "doubled")
	note(counts.Wrong, "wrong")
	note(counts.RanTwice, "ran twice")
	note(counts.NotRunButRun, "refused as not run, but run")
	if faults == nil {
		return nil
	}
	return &FaultError{faults: faults}
}

// WriteTable writes the report for people to read.
func (report *Report) WriteTable(writer io.Writer) {
	counts := report.Counts
	took := time.Duration(report.TookMs * float64(time.Millisecond)).Round(10 * time.Millisecond)
	fmt.Fprintf(writer, "%s: %d requests in %v, %.0f answered a second\n", report.Plan.Label, counts.Sent, took, report.Goodput())
	fmt.Fprintf(writer, "  answered %d, refused %d, broken %d, unsent %d; long %d of %d answered\n",
		counts.Answered, counts.Refused, counts.Broken, counts.Unsent, counts.LongAnswered, counts.Long)
	fmt.Fprintf(writer, "  lost %d, cut %d, doubled %d, wrong %d, ran twice %d, refused as not run but run %d\n",
		counts.Lost, counts.Cut, counts.Doubled, counts.Wrong, counts.RanTwice, counts.NotRunButRun)
	report.Short.write(writer, "short")
	report.Keyed.write(writer, "keyed")
	report.Long.write(writer, "long")
	if report.Crest.Seconds > 0 {
		fmt.Fprintf(writer, "  crest: offered %.0f, answered %.0f, refused %.0f a second\n",
			report.Crest.Offered, report.Crest.Goodput, report.Crest.Refused)
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
