package claimer

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// loadTime is the duration of each rate.
	loadTime = 8 * time.Second
	// storeDelay is the latency of a call to the store.
	storeDelay = 3 * time.Millisecond
	// loadWork is the run time of an operation on its backend server.
	loadWork = 20 * time.Millisecond
)

// BenchmarkLoad sends keyed requests at a constant rate to 14 hosts in real time,
// and reports the calls to the store and the latency of a claim. Run it with
// -benchtime 1x.
func BenchmarkLoad(b *testing.B) {
	for _, rate := range []int{100, 1000, 5000} {
		for _, answer := range []int{0, 500} {
			b.Run(fmt.Sprintf("rate=%d/answer=%d", rate, answer), func(b *testing.B) {
				for b.Loop() {
					measure(b, rate, answer)
				}
			})
		}
	}
}

// load generates requests and holds their measurements.
type load struct {
	fleet   *fleet
	body    []byte
	waiting sync.WaitGroup
	// mu guards the fields below.
	mu     sync.Mutex
	claims *hdrhistogram.Histogram
	failed int
}

func measure(b *testing.B, rate, answer int) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := &load{
		fleet: newFleet(ctx, "abcdefghijklmn", DefaultLimits()), body: make([]byte, answer),
		claims: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	load.fleet.store.delay = storeDelay
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	sent := 0
	for started := time.Now(); time.Since(started) < loadTime; <-ticker.C {
		for due := int(time.Since(started).Seconds() * float64(rate)); sent < due; sent++ {
			load.waiting.Add(1)
			go load.run(ctx, sent)
		}
	}
	load.waiting.Wait()
	load.report(b, sent)
	load.fleet.Close()
}

// run claims one operation, emulates its run and settles it.
func (load *load) run(ctx context.Context, number int) {
	defer load.waiting.Done()
	host := load.fleet.hosts[number%len(load.fleet.hosts)]
	started := time.Now()
	claim, err := host.Claim(ctx, NewOperation("ledger", strconv.Itoa(number), [32]byte{}))
	load.record(time.Since(started), err)
	if err != nil {
		return
	}
	time.Sleep(loadWork)
	if err := claim.Settle(ctx, Answered(200, nil, load.body)); err != nil {
		load.record(0, err)
	}
}

func (load *load) record(took time.Duration, err error) {
	load.mu.Lock()
	defer load.mu.Unlock()
	if err != nil {
		load.failed++
		return
	}
	_ = load.claims.RecordValue(took.Microseconds())
}

func (load *load) report(b *testing.B, sent int) {
	b.Helper()
	store := &load.fleet.store
	seconds := loadTime.Seconds()
	b.ReportMetric(float64(store.reads)/seconds, "reads/s")
	b.ReportMetric(float64(store.writes)/seconds, "writes/s")
	b.ReportMetric(float64(store.writtenBytes)/seconds/1e6, "MB-written/s")
	b.ReportMetric(float64(sent)/seconds, "claims/s")
	b.ReportMetric(float64(load.failed), "failed")
	b.ReportMetric(float64(load.claims.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(load.claims.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(load.claims.ValueAtQuantile(99.9))/1000, "p99.9-ms")
	b.ReportMetric(0, "ns/op")
}
