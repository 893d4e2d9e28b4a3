//go:build review3

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load: map tiles, of which all clients fetch the same one, and reads beside them. The
// figures are those of tile-prefetch and parcel-lookup.
const (
	tileClients   = 18
	parcelClients = 12
	tileWork      = 690 * time.Millisecond
	parcelWork    = 280 * time.Millisecond
	tileDeadline  = 8 * time.Second
	parcelTime    = 3 * time.Second
	tileEndpoints = 4
	// crashAfter is how long an endpoint runs the request that crashes it, and backAfter
	// how long it is away then.
	crashAfter = 150 * time.Millisecond
	backAfter  = 3 * time.Second
	// clientsWithin is the time within which the clients begin.
	clientsWithin = 400 * time.Millisecond
	// crashAt is when the request comes, after the first tile is asked for.
	crashAt     = 100 * time.Millisecond
	tileDayTime = 60 * time.Second

	tilePath   = "/tiles/6/33/22"
	deadlyPath = "/tiles/19/281237/177829"
)

// tileDay is the day of deadlyNeighbour.
type tileDay struct {
	bench          *bench
	tiles, parcels tally
	count, crashes atomic.Int64
	starts         atomic.Int64
}

// deadlyNeighbour sends one request that crashes the endpoints that run it, while clients
// begin to fetch a tile, and checks that the tile is served.
func deadlyNeighbour(bench *bench) (bool, error) {
	day := &tileDay{bench: bench}
	for range tileEndpoints {
		if err := day.addTileServer(); err != nil {
			return false, err
		}
	}
	for index := range 3 {
		stub := &endpoint{name: fmt.Sprintf("i-parcel-%d", index), service: "parcel-svc", capacity: 6, tellsLoad: true,
			work: func(*http.Request) time.Duration { return vary(parcelWork) }}
		if err := stub.open(bench); err != nil {
			return false, err
		}
	}
	if err := bench.publish(1, route{"/tiles/", "idempotent", "tile-svc", 4000, 3000, 2}, route{"/parcels/", "idempotent", "parcel-svc", 1500, 800, 2}); err != nil {
		return false, err
	}
	if err := bench.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithTimeout(context.Background(), tileDayTime)
	defer cancel()
	var workers sync.WaitGroup
	for range tileClients {
		workers.Go(func() { day.fetch(ctx, &day.tiles, "t", tileDeadline, func(string) string { return tilePath }) })
	}
	for range parcelClients {
		workers.Go(func() {
			day.fetch(ctx, &day.parcels, "p", parcelTime, func(id string) string { return "/parcels/" + id })
		})
	}
	if bench.trouble {
		workers.Go(func() {
			time.Sleep(crashAt)
			bench.log("a client sends the request that crashes endpoints: %v",
				call(bench.gateways[0].address, http.MethodGet, deadlyPath, "deadly-1", nil, tileDeadline))
		})
	}
	workers.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(5 * time.Second)
			bench.log("tiles: %v; parcels: %v", &day.tiles, &day.parcels)
		}
	})
	workers.Wait()
	bench.note("%d endpoints crashed; tiles: %v; parcels: %v", day.crashes.Load(), &day.tiles, &day.parcels)
	if day.parcels.share() < 0.95 {
		return false, fmt.Errorf("the stand-ins are too slow: %.2f of the parcels were served", day.parcels.share())
	}
	if bench.trouble && day.crashes.Load() == 0 {
		return false, fmt.Errorf("the request crashed no endpoint")
	}
	all := float64(day.tiles.served.Load()+day.parcels.served.Load()) / float64(day.tiles.owed.Load()+day.parcels.owed.Load())
	bench.note("served: %.3f of the tiles, %.3f of all requests", day.tiles.share(), all)
	return day.tiles.share() < all/4, nil
}

// vary returns a time near mean.
func vary(mean time.Duration) time.Duration {
	return time.Duration((0.85 + 0.3*rand.Float64()) * float64(mean))
}

// addTileServer starts an endpoint. After a crash, another incarnation of it comes back.
func (day *tileDay) addTileServer() error {
	stub := &endpoint{name: fmt.Sprintf("i-tile-%04x", 0x7f3a+day.starts.Add(1)), service: "tile-svc", capacity: 6, tellsLoad: true}
	stub.work = func(request *http.Request) time.Duration {
		if !strings.HasPrefix(request.URL.Path, deadlyPath) {
			return vary(tileWork)
		}
		time.AfterFunc(crashAfter, func() {
			if !stub.crash() {
				return
			}
			day.crashes.Add(1)
			day.bench.log("endpoint %s crashes while it runs %s", stub.name, request.Header.Get("X-Request-Id"))
			time.Sleep(backAfter)
			if err := day.addTileServer(); err != nil {
				day.bench.log("an endpoint did not come back: %v", err)
			}
		})
		return time.Minute
	}
	return stub.open(day.bench)
}

// fetch sends requests one after the other until ctx ends. A client that is refused comes
// back once, after the time that it was told.
func (day *tileDay) fetch(ctx context.Context, tally *tally, kind string, deadline time.Duration, path func(id string) string) {
	address := day.bench.gateways[rand.IntN(len(day.bench.gateways))].address
	time.Sleep(rand.N(clientsWithin))
	for ctx.Err() == nil {
		id := fmt.Sprintf("%s%06d", kind, day.count.Add(1))
		result := call(address, http.MethodGet, path(id), id, nil, deadline)
		day.bench.log("client of %s: %v", address, result)
		if result.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
			result = call(address, http.MethodGet, path(id), id+"r", nil, deadline)
			day.bench.log("client of %s: sent again %v", address, result)
		}
		tally.add(result)
		time.Sleep(rand.N(300 * time.Millisecond))
	}
}
