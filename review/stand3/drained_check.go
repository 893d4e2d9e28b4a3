//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load: clumps of callers, and filings that take long. The service has room for them:
// 16 filings of 2.6 s every 4 s use 87% of its slots.
const (
	filingWork     = 2600 * time.Millisecond
	filingDeadline = 6 * time.Second
	clumpSize      = 4
	clumpSpread    = 15 * time.Millisecond
	clumpInterval  = 4 * time.Second
	clumps         = 20
	servers        = 3
	serverSlots    = 4
	// exitTime is how long an endpoint serves on after the store has accepted that it
	// leaves: the drain time and a little longer.
	exitTime = 4 * time.Second
)

// filings is the run of drainedCheck.
type filings struct {
	bench  *bench
	long   atomic.Bool
	count  atomic.Int64
	number int
	live   []*endpoint

	// mu guards the fields below.
	mu sync.Mutex
	// left holds when the store accepted that an endpoint leaves, by its name.
	left map[string]time.Time
	// late holds the requests that reached an endpoint too late.
	late                           map[string]bool
	served, refused, failed, leftN int
	lateFailed                     int
}

// drainedCheck replaces endpoints one after the other, and checks that no request reaches
// one later than the drain time after the store has accepted that it leaves.
func drainedCheck(bench *bench) (bool, error) {
	filings := &filings{bench: bench, left: make(map[string]time.Time), late: make(map[string]bool)}
	for range servers {
		if err := filings.open(); err != nil {
			return false, err
		}
	}
	if err := bench.publish(1, route{"/filing/", "non_idempotent", "filing-svc", 6000, 2500, 2}); err != nil {
		return false, err
	}
	if err := bench.startGateways(4); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	var clients sync.WaitGroup
	for range 5 {
		filings.clump(&clients)
		time.Sleep(300 * time.Millisecond)
	}
	filings.long.Store(true)
	for index := range clumps {
		filings.clump(&clients)
		time.Sleep(200 * time.Millisecond)
		if bench.trouble && index%2 == 1 {
			if err := filings.replace(); err != nil {
				return false, err
			}
		}
		time.Sleep(clumpInterval - 200*time.Millisecond)
	}
	clients.Wait()
	filings.mu.Lock()
	defer filings.mu.Unlock()
	bench.note("%d endpoints left; of %d requests %d were served, %d refused, %d failed", filings.leftN, filings.count.Load(),
		filings.served, filings.refused, filings.failed)
	bench.note("%d requests reached an endpoint later than %v after the store had accepted that it leaves; %d of them have no good answer",
		len(filings.late), drainBound, filings.lateFailed)
	if filings.served < int(filings.count.Load())/2 {
		return false, fmt.Errorf("the stand-ins are too slow: %d served", filings.served)
	}
	return len(filings.late) > 0, nil
}

// open starts an endpoint that doesn't tell its load, so that its health path waits for a
// slot as requests do.
func (filings *filings) open() error {
	filings.number++
	stub := &endpoint{name: fmt.Sprintf("i-%02d", filings.number), service: "filing-svc", capacity: serverSlots}
	stub.work = func(*http.Request) time.Duration {
		if filings.long.Load() {
			return filingWork
		}
		return 20 * time.Millisecond
	}
	stub.onRun = func(id string, _ *http.Request) {
		filings.mu.Lock()
		defer filings.mu.Unlock()
		if at, ok := filings.left[stub.name]; ok && time.Since(at) > drainBound {
			filings.late[id] = true
			filings.bench.note("%s reaches %s %v after the store accepted that it leaves", id, stub.name, time.Since(at).Round(time.Millisecond))
		}
	}
	filings.live = append(filings.live, stub)
	return stub.open(filings.bench)
}

// replace starts an endpoint and lets the oldest one leave.
func (filings *filings) replace() error {
	if err := filings.open(); err != nil {
		return err
	}
	leaving := filings.live[0]
	filings.live = filings.live[1:]
	if err := leaving.drain(); err != nil {
		return err
	}
	filings.mu.Lock()
	defer filings.mu.Unlock()
	filings.leftN++
	filings.left[leaving.name] = time.Now()
	filings.bench.log("the store has accepted that %s leaves", leaving.name)
	time.AfterFunc(exitTime, func() {
		filings.bench.log("%s exits", leaving.name)
		leaving.end()
	})
	return nil
}

// clump sends some requests to each gateway.
func (filings *filings) clump(clients *sync.WaitGroup) {
	for _, gateway := range filings.bench.gateways {
		for range clumpSize {
			id := fmt.Sprintf("f%05d", filings.count.Add(1))
			clients.Go(func() {
				time.Sleep(rand.N(clumpSpread))
				filings.bench.log("client sends %s to %s", id, gateway.name)
				filings.add(id, call(gateway.address, http.MethodPost, "/filing/"+id, id, []byte("filing "+id), filingDeadline))
			})
		}
	}
}

// add records the result of a request.
func (filings *filings) add(id string, result result) {
	filings.bench.log("client: %v", result)
	filings.mu.Lock()
	defer filings.mu.Unlock()
	switch {
	case result.status == http.StatusOK && result.signed:
		filings.served++
		return
	case result.status == http.StatusServiceUnavailable:
		filings.refused++
	default:
		filings.failed++
	}
	if filings.late[id] {
		filings.lateFailed++
	}
}
