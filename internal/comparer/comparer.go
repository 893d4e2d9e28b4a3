// Package comparer measures the latency that an entry host adds to a call, for
// the command chivesbench.
//
// It sends the same small request alternately to an endpoint directly and through
// an entry host, one at a time over persistent connections, so that both kinds of
// call run under the same machine load. It reads the system clock and starts no
// goroutines.
package comparer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in nanoseconds, and their significant digits.
const (
	minNanoseconds = int64(time.Microsecond)
	maxNanoseconds = int64(10 * time.Second)
	digits         = 3
	callTimeout    = 10 * time.Second
)

// Comparer alternates direct and proxied calls. Use New to create one.
type Comparer struct {
	direct  string
	proxied string
	client  http.Client
	// pause is the time between two calls.
	pause time.Duration
}

// New returns a comparer of calls to two URLs with the same answer: direct is the
// endpoint's own, and proxied goes through an entry host.
func New(direct, proxied string, pause time.Duration) *Comparer {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &Comparer{
		direct: direct, proxied: proxied, pause: pause,
		client: http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// Close closes the idle connections.
func (comparer *Comparer) Close() error {
	comparer.client.CloseIdleConnections()
	return nil
}

// Run sends count calls of each kind, after a tenth as many warm-up calls that are
// not measured.
func (comparer *Comparer) Run(ctx context.Context, count int) (*Result, error) {
	result := newResult()
	for index := -count / 10; index < count; index++ {
		direct, err := comparer.call(ctx, comparer.direct)
		if err != nil {
			return nil, err
		}
		proxied, err := comparer.call(ctx, comparer.proxied)
		if err != nil {
			return nil, err
		}
		if index >= 0 {
			result.add(direct, proxied)
		}
	}
	return result, nil
}

// call sends one request and returns the time until its answer is complete.
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

// Result holds the latencies of both kinds of call.
type Result struct {
	direct  *hdrhistogram.Histogram
	proxied *hdrhistogram.Histogram
	// added holds the difference within each pair; negative ones count as 0.
	added *hdrhistogram.Histogram
}

func newResult() *Result {
	empty := func() *hdrhistogram.Histogram { return hdrhistogram.New(minNanoseconds, maxNanoseconds, digits) }
	return &Result{direct: empty(), proxied: empty(), added: empty()}
}

func (result *Result) add(direct, proxied time.Duration) {
	_ = result.direct.RecordValue(int64(direct))
	_ = result.proxied.RecordValue(int64(proxied))
	_ = result.added.RecordValue(max(int64(proxied-direct), 0))
}

// String returns a table of latency percentiles in milliseconds.
func (result *Result) String() string {
	text := fmt.Sprintf("%-22s %8s %8s %8s\n", "ms", "p50", "p99", "p99.9")
	for _, row := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{"to the endpoint", result.direct},
		{"through an entry host", result.proxied},
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
