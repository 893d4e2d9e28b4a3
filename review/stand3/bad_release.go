//go:build review3

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load: transfers, which must not be repeated, and clients that all fetch the same
// month-end report. The figures are those of ledger-actions and report-exports.
const (
	ledgerEndpoints = 6
	ledgerClients   = 12
	reportClients   = 4
	transferWork    = 250 * time.Millisecond
	reportWork      = 150 * time.Millisecond
	transferTime    = 2 * time.Second
	reportTime      = 1500 * time.Millisecond
	reportPath      = "/reports/2026-11"
	// The endpoints are replaced by three releases of a third of them each, one endpoint at
	// a time.
	releaseAt  = 5 * time.Second
	releaseGap = time.Second
	// servesOn is how long an endpoint serves after the store has accepted that it leaves.
	servesOn       = drainBound + 500*time.Millisecond
	releaseDayTime = 60 * time.Second
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
)

// releaseDay is the day of badRelease.
type releaseDay struct {
	bench           *bench
	reports, ledger tally
	count, starts   atomic.Int64
	// mu guards the fields below.
	mu      sync.Mutex
	crashes []time.Time
	// ran holds the requests that began to run, and sent when each report was asked for.
	ran      map[string]bool
	sent     map[string]time.Time
	replaced time.Time
	// ledgerLosses counts the transfers that began to run and have no answer of an
	// endpoint, and lateLedgerLosses those sent after the last old endpoint and
	// stableWindow.
	ledgerLosses, lateLedgerLosses int
}

// badRelease replaces the endpoints of a service by those of another version, which the
// report crashes, and checks that the report is soon kept from them.
func badRelease(bench *bench) (bool, error) {
	day := &releaseDay{bench: bench, ran: make(map[string]bool), sent: make(map[string]time.Time)}
	var old []*endpoint
	for range ledgerEndpoints {
		stub, err := day.addEndpoint("v1")
		if err != nil {
			return false, err
		}
		old = append(old, stub)
	}
	if err := bench.publish(1, route{"/ledger/", "non_idempotent", "ledger-svc", 1200, 800, 2}, route{"/reports/", "download", "ledger-svc", 1500, 600, 2}); err != nil {
		return false, err
	}
	if err := bench.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithTimeout(context.Background(), releaseDayTime)
	defer cancel()
	var workers sync.WaitGroup
	for range ledgerClients {
		workers.Go(func() { day.transfer(ctx) })
	}
	for range reportClients {
		workers.Go(func() { day.fetch(ctx) })
	}
	workers.Go(func() { day.release(ctx, old) })
	workers.Wait()
	return day.judge()
}

// addEndpoint starts an endpoint. One of version v2 that crashes comes back.
func (day *releaseDay) addEndpoint(version string) (*endpoint, error) {
	stub := &endpoint{name: fmt.Sprintf("i-ledger-%04x", 0x51c0+day.starts.Add(1)), service: "ledger-svc", version: version, capacity: 4, tellsLoad: true}
	stub.work = func(request *http.Request) time.Duration {
		id := request.Header.Get("X-Request-Id")
		day.mu.Lock()
		day.ran[id] = true
		day.mu.Unlock()
		if request.URL.Path != reportPath {
			return vary(transferWork)
		}
		if version == "v1" || !day.bench.trouble {
			return vary(reportWork)
		}
		time.AfterFunc(20*time.Millisecond, func() {
			if !stub.crash() {
				return
			}
			day.bench.log("endpoint %s crashes while it runs %s", stub.name, id)
			day.mu.Lock()
			day.crashes = append(day.crashes, time.Now())
			day.mu.Unlock()
			time.Sleep(backAfter)
			if _, err := day.addEndpoint(version); err != nil {
				day.bench.log("an endpoint did not come back: %v", err)
			}
		})
		return time.Minute
	}
	return stub, stub.open(day.bench)
}

// release replaces the endpoints one after the other: the new one starts first, then the
// old one drains, serves on and exits.
func (day *releaseDay) release(ctx context.Context, old []*endpoint) {
	time.Sleep(releaseAt)
	var drains sync.WaitGroup
	for _, stub := range old {
		if _, err := day.addEndpoint("v2"); err != nil {
			day.bench.log("a new endpoint did not start: %v", err)
		}
		time.Sleep(releaseGap)
		if err := stub.drain(); err != nil {
			day.bench.log("%s could not report that it leaves: %v", stub.name, err)
		}
		day.bench.log("endpoint %s leaves", stub.name)
		drains.Go(func() {
			time.Sleep(servesOn)
			stub.end()
			day.bench.log("endpoint %s has ended", stub.name)
		})
	}
	drains.Wait()
	day.mu.Lock()
	day.replaced = time.Now()
	day.mu.Unlock()
	day.bench.log("all endpoints are replaced")
	for ctx.Err() == nil {
		time.Sleep(5 * time.Second)
		day.mu.Lock()
		crashes := len(day.crashes)
		day.mu.Unlock()
		day.bench.log("%d crashes; reports: %v; transfers: %v", crashes, &day.reports, &day.ledger)
	}
}

// judge counts the retries of the report that reached endpoints too late.
func (day *releaseDay) judge() (bool, error) {
	bench := day.bench
	day.mu.Lock()
	defer day.mu.Unlock()
	bench.note("%d crashes; reports: %v; transfers: %v, of which %d began to run and have no answer", len(day.crashes), &day.reports, &day.ledger, day.ledgerLosses)
	if day.replaced.IsZero() {
		return false, fmt.Errorf("the endpoints were not replaced in time")
	}
	// Only crashes after the last endpoint of the old version has ended are counted: from
	// then on the report crashes each endpoint that runs it.
	first := slices.IndexFunc(day.crashes, func(at time.Time) bool { return at.After(day.replaced) })
	if first < 0 || len(day.crashes) < first+3 {
		bench.note("the report crashed fewer than three endpoints after all were replaced")
		return false, nil
	}
	bound, reached := day.crashes[first+2].Add(stableWindow), 0
	for id, sent := range day.sent {
		if day.ran[id] && sent.After(bound) {
			reached++
		}
	}
	bench.note("%d retries of the report, sent later than %v after its third crash at the new version, reached endpoints (%d are allowed); %d crashes came after that crash, and %d transfers that had begun to run were lost later than that after the last old endpoint",
		reached, stableWindow, maxRetries, len(day.crashes)-first-3, day.lateLedgerLosses)
	return reached > maxRetries, nil
}

// fetch fetches the report again and again.
func (day *releaseDay) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500*time.Millisecond + rand.N(time.Second))
		address := day.bench.gateways[rand.IntN(len(day.bench.gateways))].address
		id := fmt.Sprintf("r%06d", day.count.Add(1))
		day.mu.Lock()
		day.sent[id] = time.Now()
		day.mu.Unlock()
		result := call(address, http.MethodGet, reportPath, id, nil, reportTime)
		day.bench.log("client of %s: report %v", address, result)
		day.reports.add(result)
	}
}

// transfer sends transfers, each with a body of its own.
func (day *releaseDay) transfer(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(rand.N(400 * time.Millisecond))
		address := day.bench.gateways[rand.IntN(len(day.bench.gateways))].address
		id := fmt.Sprintf("l%06d", day.count.Add(1))
		sent := time.Now()
		result := call(address, http.MethodPost, "/ledger/transfers", id, []byte(strings.Repeat(id, 60)), transferTime)
		day.bench.log("client of %s: transfer %v", address, result)
		day.ledger.add(result)
		if result.status == http.StatusBadGateway || result.status == http.StatusGatewayTimeout || result.err != nil {
			day.mu.Lock()
			if day.ran[id] {
				day.ledgerLosses++
				if !day.replaced.IsZero() && sent.After(day.replaced.Add(stableWindow)) {
					day.lateLedgerLosses++
				}
			}
			day.mu.Unlock()
		}
	}
}
