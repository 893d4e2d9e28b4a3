//go:build review3

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load: reads of two services, of which the endpoints of one are replaced. The work is
// that of dash-reads.
const (
	boardEndpoints = 4
	boardClients   = 8
	boardWork      = 190 * time.Millisecond
	boardDeadline  = 1500 * time.Millisecond
	boardDayTime   = 60 * time.Second
	// healthBytes is the size of the body with which the new version answers a health check.
	healthBytes = 5000
)

// boardDay is the day of longHealth.
type boardDay struct {
	bench           *bench
	replaced, other tally
	count, starts   atomic.Int64
}

// longHealth replaces the endpoints of a service by those of another version, whose health
// answers have a longer body, and checks that the service is served.
func longHealth(bench *bench) (bool, error) {
	day := &boardDay{bench: bench}
	var old []*endpoint
	for range boardEndpoints {
		stub, err := day.addEndpoint("tile-api", "v1")
		if err != nil {
			return false, err
		}
		old = append(old, stub)
		if _, err := day.addEndpoint("export-svc", "v1"); err != nil {
			return false, err
		}
	}
	if err := bench.publish(1, route{"/dash/", "idempotent", "tile-api", 1500, 600, 2}, route{"/exports/", "idempotent", "export-svc", 1500, 600, 2}); err != nil {
		return false, err
	}
	if err := bench.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithTimeout(context.Background(), boardDayTime)
	defer cancel()
	var workers sync.WaitGroup
	for range boardClients {
		workers.Go(func() { day.read(ctx, "/dash/", &day.replaced) })
		workers.Go(func() { day.read(ctx, "/exports/", &day.other) })
	}
	workers.Go(func() { day.release(ctx, old) })
	workers.Wait()
	bench.note("reads of the service that was replaced: %v; of the other: %v", &day.replaced, &day.other)
	if day.other.share() < 0.95 {
		return false, fmt.Errorf("the stand-ins are too slow: %.2f of the other service's reads were served", day.other.share())
	}
	all := float64(day.replaced.served.Load()+day.other.served.Load()) / float64(day.replaced.owed.Load()+day.other.owed.Load())
	bench.note("served: %.3f of the reads of the service that was replaced, %.3f of all requests", day.replaced.share(), all)
	return day.replaced.share() < all/4, nil
}

func (day *boardDay) addEndpoint(service, version string) (*endpoint, error) {
	stub := &endpoint{name: fmt.Sprintf("i-%s-%04x", service, 0x2b10+day.starts.Add(1)), service: service, version: version, capacity: 4, tellsLoad: true,
		work: func(*http.Request) time.Duration { return vary(boardWork) }}
	if version == "v2" && day.bench.trouble {
		stub.healthBytes = healthBytes
	}
	return stub, stub.open(day.bench)
}

// release replaces the endpoints one after the other.
func (day *boardDay) release(ctx context.Context, old []*endpoint) {
	time.Sleep(2 * time.Second)
	for _, stub := range old {
		if _, err := day.addEndpoint("tile-api", "v2"); err != nil {
			day.bench.log("a new endpoint did not start: %v", err)
		}
		time.Sleep(releaseGap)
		if err := stub.drain(); err != nil {
			day.bench.log("%s could not report that it leaves: %v", stub.name, err)
		}
		day.bench.log("endpoint %s leaves", stub.name)
		time.AfterFunc(servesOn, stub.end)
	}
	for ctx.Err() == nil {
		time.Sleep(5 * time.Second)
		day.bench.log("reads of the service that was replaced: %v; of the other: %v", &day.replaced, &day.other)
	}
}

// read sends requests one after the other until ctx ends. A client that is refused comes
// back once, after the time that it was told.
func (day *boardDay) read(ctx context.Context, prefix string, tally *tally) {
	for ctx.Err() == nil {
		time.Sleep(rand.N(400 * time.Millisecond))
		address := day.bench.gateways[rand.IntN(len(day.bench.gateways))].address
		id := fmt.Sprintf("b%06d", day.count.Add(1))
		result := call(address, http.MethodGet, prefix+id, id, nil, boardDeadline)
		day.bench.log("client of %s: %s %v", address, prefix, result)
		if result.status == http.StatusServiceUnavailable {
			time.Sleep(300 * time.Millisecond)
			result = call(address, http.MethodGet, prefix+id, id+"r", nil, boardDeadline)
			day.bench.log("client of %s: %s sent again %v", address, prefix, result)
		}
		tally.add(result)
	}
}
