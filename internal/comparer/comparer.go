// Package comparer measures what an entry host adds to a call. It sends the
// same small request in turn to an endpoint itself and through an entry host,
// one at a time over kept connections, so that both sorts of call meet the
// same machine at the same moment.
package comparer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in nanoseconds.
const (
	least       = int64(time.Microsecond)
	most        = int64(10 * time.Second)
	precision   = 3
	callTimeout = 10 * time.Second
)

// Comparer sends calls in turn. Make one with New.
type Comparer struct {
	direct  string
	through string
	client  http.Client
	// pause is the time between two calls.
	pause time.Duration
}

// New returns a comparer of the calls to two URLs that answer alike: direct is
// the endpoint's, through goes over an entry host.
func New(direct, through string, pause time.Duration) *Comparer {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &Comparer{
		direct: direct, through: through, pause: pause,
		client: http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// Close closes the kept connections.
func (comparer *Comparer) Close() error {
	comparer.client.CloseIdleConnections()
	return nil
}

// Run sends count calls of each sort, after a tenth as many that don't count.
func (comparer *Comparer) Run(ctx context.Context, count int) (*Result, error) {
	result := newResult()
	for index := -count / 10; index < count; index++ {
		direct, err := comparer.call(ctx, comparer.direct)
		if err != nil {
			return nil, err
		}
		through, err := comparer.call(ctx, comparer.through)
		if err != nil {
			return nil, err
		}
		if index >= 0 {
			result.add(direct, through)
		}
	}
	return result, nil
}

// call sends one request and returns the time until its whole answer is there.
func (comparer *Comparer) call(ctx context.Context, url string) (time.Duration, error) {
	timer := time.NewTimer(comparer.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	response, err := comparer.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answered %s; check the URL", url, response.Status)
	}
	return time.Since(start), nil
}

// Result is what calls of both sorts took.
type Result struct {
	direct  *hdrhistogram.Histogram
	through *hdrhistogram.Histogram
	// added has the difference of each pair, at least 0.
	added *hdrhistogram.Histogram
}

func newResult() *Result {
	empty := func() *hdrhistogram.Histogram { return hdrhistogram.New(least, most, precision) }
	return &Result{direct: empty(), through: empty(), added: empty()}
}

func (result *Result) add(direct, through time.Duration) {
	_ = result.direct.RecordValue(int64(direct))
	_ = result.through.RecordValue(int64(through))
	_ = result.added.RecordValue(max(int64(through-direct), 0))
}

// String returns a table of percentiles in milliseconds.
func (result *Result) String() string {
	text := fmt.Sprintf("%-22s %8s %8s %8s\n", "ms", "p50", "p99", "p99.9")
	for _, row := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{"to the endpoint", result.direct},
		{"through an entry host", result.through},
		{"added, pair by pair", result.added},
	} {
		text += fmt.Sprintf("%-22s %8.3f %8.3f %8.3f\n", row.name,
			milliseconds(row.histogram, 50), milliseconds(row.histogram, 99), milliseconds(row.histogram, 99.9))
	}
	return text
}

func milliseconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / float64(time.Millisecond)
}
