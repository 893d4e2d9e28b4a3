package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, up to an hour, with 3 digits.
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
	// seriesStep is the length of one interval of the time series.
	seriesStep = 100 * time.Millisecond
)

// tally accumulates the results of a plan. It is safe for concurrent use.
type tally struct {
	plan Plan
	// mu guards all fields below.
	mu     sync.Mutex
	short  *hdrhistogram.Histogram
	keyed  *hdrhistogram.Histogram
	long   *hdrhistogram.Histogram
	counts Counts
	series []bucket
	// results holds the result of each request by id, for the audit.
	results map[string]result
}

// bucket is one interval of the time series.
type bucket struct {
	offered  int
	answered int
	refused  int
	// shortLatencies holds the latencies of the short requests without a key that were
	// scheduled in this interval.
	shortLatencies []time.Duration
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

// add adds the result of one request.
func (tally *tally) add(result result) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.results[result.work.id] = result
	tally.count(result)
	tally.addToSeries(result)
	if result.outcome != outcomeAnswered || result.work.at < milliseconds(tally.plan.WarmupMs) {
		return
	}
	histogram := tally.short
	switch result.work.class {
	case classKeyed:
		histogram = tally.keyed
	case classLong:
		histogram = tally.long
	}
	_ = histogram.RecordValue(min(result.latency.Microseconds(), highestMicroseconds))
}

// count adds result to the counts. The caller holds mu.
func (tally *tally) count(result result) {
	counts := &tally.counts
	counts.Sent++
	if result.work.class == classLong {
		counts.Long++
	}
	switch result.outcome {
	case outcomeAnswered:
		counts.Answered++
		if result.work.class == classLong {
			counts.LongAnswered++
		}
	case outcomeRefused, outcomeFailed:
		counts.Refused++
		counts.Refusals[result.refusalKey()]++
	case outcomeBroken:
		counts.Broken++
		counts.Refusals[result.refusalKey()]++
	case outcomeLost:
		counts.Lost++
	case outcomeTruncated:
		counts.Truncated++
	case outcomeDuplicated:
		counts.Duplicated++
	case outcomeMismatched:
		counts.Mismatched++
	case outcomeUnsent:
		counts.Unsent++
	}
}

// refusalKey returns the key of result in Counts.Refusals: the kind of refusal or
// failure and, except for a failure, whether the request is known not to have run.
func (result result) refusalKey() string {
	switch {
	case result.outcome == outcomeFailed:
		return "status-" + result.kind
	case result.notRun:
		return result.kind + " (not run)"
	}
	return result.kind + " (unknown)"
}

// addToSeries adds result to the time series. The caller holds mu.
func (tally *tally) addToSeries(result result) {
	arrival := tally.bucketAt(result.work.at)
	arrival.offered++
	if result.outcome == outcomeAnswered && (result.work.class == classRead || result.work.class == classPost) {
		arrival.shortLatencies = append(arrival.shortLatencies, result.latency)
	}
	switch completion := tally.bucketAt(result.done); result.outcome {
	case outcomeAnswered:
		completion.answered++
	case outcomeRefused, outcomeFailed:
		completion.refused++
	}
}

// bucketAt returns the bucket for a time since the start. The caller holds mu.
func (tally *tally) bucketAt(at time.Duration) *bucket {
	index := int(at / seriesStep)
	for len(tally.series) <= index {
		tally.series = append(tally.series, bucket{})
	}
	return &tally.series[index]
}

// report returns the report on the results so far.
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
	report.PeakLoad = sumPeakLoad(report.Series, tally.plan)
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

// point converts the bucket to a point of the report.
func (bucket *bucket) point(index int, plan Plan) Point {
	at := time.Duration(index) * seriesStep
	point := Point{
		AtMs:     float64(at.Milliseconds()),
		Rate:     plan.rateAt(at + seriesStep/2),
		Offered:  bucket.offered,
		Answered: bucket.answered,
		Refused:  bucket.refused,
	}
	if count := len(bucket.shortLatencies); count > 0 {
		slices.Sort(bucket.shortLatencies)
		point.ShortP99 = float64(bucket.shortLatencies[(count*99)/100]) / float64(time.Millisecond)
	}
	return point
}
