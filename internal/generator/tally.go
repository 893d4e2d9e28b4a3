package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, up to an hour, to 3 digits.
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
	// seriesStep is the width of one point of the time series.
	seriesStep = 100 * time.Millisecond
)

// tally gathers the results of a plan. It is safe for use by several
// goroutines.
type tally struct {
	plan Plan
	// mu guards all fields below.
	mu     sync.Mutex
	short  *hdrhistogram.Histogram
	keyed  *hdrhistogram.Histogram
	long   *hdrhistogram.Histogram
	counts Counts
	series []moment
	// results holds what the audit needs, by id.
	results map[string]result
}

// moment is one step of the time series.
type moment struct {
	offered  int
	answered int
	refused  int
	// shorts holds the latencies of short requests without a key that came in
	// this step.
	shorts []time.Duration
}

func newTally(plan Plan) *tally {
	return &tally{
		plan:    plan,
		short:   hdrhistogram.New(1, highestMicroseconds, significantDigits),
		keyed:   hdrhistogram.New(1, highestMicroseconds, significantDigits),
		long:    hdrhistogram.New(1, highestMicroseconds, significantDigits),
		counts:  Counts{Refusals: make(map[string]int)},
		results: make(map[string]result),
	}
}

// add takes in the result of one request.
func (tally *tally) add(result result) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.results[result.work.id] = result
	tally.count(result)
	tally.place(result)
	if result.end != endAnswered || result.work.at < milliseconds(tally.plan.WarmupMs) {
		return
	}
	histogram := tally.short
	switch result.work.sort {
	case sortKeyed:
		histogram = tally.keyed
	case sortLong:
		histogram = tally.long
	}
	_ = histogram.RecordValue(min(result.took.Microseconds(), highestMicroseconds))
}

// count adds result to the counts. It is called with mu held.
func (tally *tally) count(result result) {
	counts := &tally.counts
	counts.Sent++
	if result.work.sort == sortLong {
		counts.Long++
	}
	switch result.end {
	case endAnswered:
		counts.Answered++
		if result.work.sort == sortLong {
			counts.LongAnswered++
		}
	case endRefused, endFailed:
		counts.Refused++
		counts.Refusals[result.name()]++
	case endBroken:
		counts.Broken++
		counts.Refusals[result.name()]++
	case endLost:
		counts.Lost++
	case endCut:
		counts.Cut++
	case endDoubled:
		counts.Doubled++
	case endWrong:
		counts.Wrong++
	case endUnsent:
		counts.Unsent++
	}
}

// name says what kind of refusal or failure a result is.
func (result result) name() string {
	switch {
	case result.end == endFailed:
		return "status-" + result.kind
	case result.notRun:
		return result.kind + " (not run)"
	}
	return result.kind + " (unknown)"
}

// place adds result to the time series. It is called with mu held.
func (tally *tally) place(result result) {
	came := tally.at(result.work.at)
	came.offered++
	if result.end == endAnswered && (result.work.sort == sortRead || result.work.sort == sortPost) {
		came.shorts = append(came.shorts, result.took)
	}
	switch done := tally.at(result.done); result.end {
	case endAnswered:
		done.answered++
	case endRefused, endFailed:
		done.refused++
	}
}

// at returns the step of the series for a time. It is called with mu held.
func (tally *tally) at(at time.Duration) *moment {
	index := int(at / seriesStep)
	for len(tally.series) <= index {
		tally.series = append(tally.series, moment{})
	}
	return &tally.series[index]
}

// report sums up.
func (tally *tally) report(took time.Duration) *Report {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	report := &Report{
		Plan:    tally.plan,
		TookMs:  float64(took) / float64(time.Millisecond),
		Counts:  tally.counts,
		Short:   percentiles(tally.short),
		Keyed:   percentiles(tally.keyed),
		Long:    percentiles(tally.long),
		results: tally.results,
	}
	for index := range tally.series {
		report.Series = append(report.Series, tally.series[index].point(index, tally.plan))
	}
	report.Crest = crest(report.Series, tally.plan)
	return report
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	percentiles := Percentiles{Count: histogram.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9)}
	for _, bracket := range histogram.CumulativeDistribution() {
		percentiles.Curve = append(percentiles.Curve, CurvePoint{bracket.Quantile, float64(bracket.ValueAt) / 1000})
	}
	return percentiles
}

// point returns the step as a point of the report.
func (moment *moment) point(index int, plan Plan) Point {
	at := time.Duration(index) * seriesStep
	point := Point{
		AtMs:     float64(at.Milliseconds()),
		Rate:     plan.rateAt(at + seriesStep/2),
		Offered:  moment.offered,
		Answered: moment.answered,
		Refused:  moment.refused,
	}
	if count := len(moment.shorts); count > 0 {
		slices.Sort(moment.shorts)
		point.ShortP99 = float64(moment.shorts[(count*99)/100]) / float64(time.Millisecond)
	}
	return point
}
