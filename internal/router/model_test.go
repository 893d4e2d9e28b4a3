package router_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/router"
)

const (
	modelPool  = "ledger"
	modelSlots = 4
	linkDelay  = time.Millisecond
)

// backend is a backend server in virtual time. Work takes factor times as long
// during its slow periods.
type backend struct {
	slots       chan struct{}
	slowPeriods []time.Time
	length      time.Duration
	factor      float64
	load        atomic.Int64
}

func newBackend(random *rand.Rand, gap, length, horizon time.Duration, factor float64) *backend {
	backend := &backend{slots: make(chan struct{}, modelSlots), length: length, factor: factor}
	if gap == 0 {
		return backend
	}
	for at := time.Duration(0); at < horizon; at += length {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		backend.slowPeriods = append(backend.slowPeriods, time.Now().Add(at))
	}
	return backend
}

// finish returns the end of work that starts at now.
func (backend *backend) finish(now time.Time, work time.Duration) time.Time {
	for _, period := range backend.slowPeriods {
		end := period.Add(backend.length)
		if !now.Before(end) {
			continue
		}
		if now.Before(period) {
			if work <= period.Sub(now) {
				break
			}
			work -= period.Sub(now)
			now = period
		}
		slowed := time.Duration(float64(work) * backend.factor)
		if slowed <= end.Sub(now) {
			return now.Add(slowed)
		}
		work -= time.Duration(float64(end.Sub(now)) / backend.factor)
		now = end
	}
	return now.Add(work)
}

// run does work in one of the slots and returns the load at its end.
func (backend *backend) run(work time.Duration) int {
	backend.load.Add(1)
	backend.slots <- struct{}{}
	now := time.Now()
	time.Sleep(backend.finish(now, work).Sub(now))
	<-backend.slots
	return int(backend.load.Add(-1))
}

// fleet is a set of routers that lend to each other over links with a delay of
// linkDelay.
type fleet struct {
	routers map[string]*router.Router
	names   []string
	// cut fails all borrow requests, lost drops all returns of loans, and late
	// delivers loans also to borrowers that have stopped waiting.
	cut      atomic.Bool
	lost     atomic.Bool
	late     atomic.Bool
	backends map[string]*backend
}

var errCut = errors.New("link is cut; restore it")

// fleetLender is the lender of one router of a fleet.
type fleetLender struct {
	*fleet
	from string
}

func (fleetLender *fleetLender) Borrow(ctx context.Context, home string, borrowRequest router.BorrowRequest) (router.Loan, error) {
	if fleetLender.late.Load() {
		ctx = context.WithoutCancel(ctx)
	}
	time.Sleep(linkDelay)
	if fleetLender.cut.Load() {
		return router.Loan{}, errCut
	}
	if ctx.Err() != nil {
		return router.Loan{}, ctx.Err()
	}
	loan, err := fleetLender.routers[home].Lend(ctx, fleetLender.from, borrowRequest)
	time.Sleep(linkDelay)
	if ctx.Err() != nil {
		// On a peer link, nobody reads the reply any more.
		return router.Loan{}, ctx.Err()
	}
	return loan, err
}

func (fleetLender *fleetLender) ReturnLoan(home string, loan router.Loan, result router.Result) {
	if fleetLender.lost.Load() {
		return
	}
	time.AfterFunc(linkDelay, func() { fleetLender.routers[home].EndLoan(fleetLender.from, loan.ID(), result) })
}

// newFleet returns a fleet with a router for each of hosts, with configuration
// in force.
func newFleet(configuration *definer.Configuration, hosts []definer.Host, options ...func(*router.Router)) *fleet {
	fleet := &fleet{routers: make(map[string]*router.Router), backends: make(map[string]*backend)}
	for _, host := range hosts {
		router := &router.Router{}
		for _, option := range options {
			option(router)
		}
		router.SetLender(&fleetLender{fleet: fleet, from: host.Name()})
		fleet.routers[host.Name()] = router
		fleet.names = append(fleet.names, host.Name())
	}
	fleet.update(configuration, hosts)
	return fleet
}

// update applies configuration and hosts to all routers.
func (fleet *fleet) update(configuration *definer.Configuration, hosts []definer.Host) {
	for _, host := range hosts {
		fleet.routers[host.Name()].Update(configuration, host, hosts)
	}
}

// newRegion returns the configuration and the hosts of one region with centres
// data centres, each with perCentre endpoints.
func newRegion(hosts, centres, perCentre int) (*definer.Configuration, []definer.Host) {
	place := func(index int) definer.Place { return definer.NewPlace("nairobi", fmt.Sprintf("n%d", index%centres)) }
	configuration := (&definer.Configuration{}).WithPool(modelPool)
	for index := range centres * perCentre {
		name := fmt.Sprintf("e%02d", index)
		endpoint := definer.NewEndpoint(name, modelPool, "127.0.0.1:1", place(index), modelSlots)
		configuration = configuration.WithEndpoint(endpoint)
	}
	var all []definer.Host
	for index := range hosts {
		all = append(all, definer.NewHost(fmt.Sprintf("h%02d", index), "", "", place(index), 1))
	}
	return configuration, all
}

func (fleet *fleet) close() {
	for _, router := range fleet.routers {
		router.Close()
	}
}

// homes returns the names of the hosts that are homes.
func (fleet *fleet) homes() []string {
	var homes []string
	for _, name := range fleet.names {
		if len(fleet.routers[name].Status().Pools()[0].Endpoints()) > 0 {
			homes = append(homes, name)
		}
	}
	return homes
}

// workload is a stream of requests. One in longEvery is long, and takes
// longTimes the work.
type workload struct {
	seed      uint64
	rate      func(at time.Duration) float64
	length    time.Duration
	warmup    time.Duration
	mean      time.Duration
	longEvery int
	longTimes float64
	// deadline is 0 for none.
	deadline time.Duration
	// priority returns the priority of a request; nil stands for the default.
	priority func(index int) int
}

// outcomes records the requests that end between a workload's warmup and its
// length.
type outcomes struct {
	mu               sync.Mutex
	short, long      *hdrhistogram.Histogram
	offered, refused int
	// good counts the answers before the deadline; goodWork is the sum of their
	// work.
	good       int
	goodWork   time.Duration
	late       int
	byPriority [10]int
}

func newOutcomes() *outcomes {
	return &outcomes{short: hdrhistogram.New(1, 600_000_000, 3), long: hdrhistogram.New(1, 600_000_000, 3)}
}

func (outcomes *outcomes) percentile(lane definer.Lane, quantile float64) float64 {
	histogram := outcomes.short
	if lane == definer.Long {
		histogram = outcomes.long
	}
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// job is one request of a workload.
type job struct {
	index    int
	lane     definer.Lane
	work     time.Duration
	start    time.Time
	deadline time.Time
	priority int
}

// run offers the workload's requests to serve, each in its own goroutine.
func (workload workload) run(serve func(job job) bool) *outcomes {
	random := rand.New(rand.NewPCG(workload.seed, 7))
	outcomes := newOutcomes()
	var tasks sync.WaitGroup
	begin := time.Now()
	at := time.Duration(0)
	for index := 0; at < workload.length; index++ {
		at += time.Duration(random.ExpFloat64() / workload.rate(at) * float64(time.Second))
		time.Sleep(time.Until(begin.Add(at)))
		job := job{index: index, start: time.Now(), priority: definer.DefaultPriority}
		job.work = time.Duration(random.ExpFloat64() * float64(workload.mean))
		if workload.longEvery > 0 && random.IntN(workload.longEvery) == 0 {
			job.lane = definer.Long
			job.work = time.Duration(float64(job.work) * workload.longTimes)
		}
		if workload.deadline > 0 {
			job.deadline = job.start.Add(workload.deadline)
		}
		if workload.priority != nil {
			job.priority = workload.priority(index)
		}
		tasks.Go(func() {
			answered := serve(job)
			end := time.Now()
			if end.Sub(begin) >= workload.warmup && end.Sub(begin) < workload.length {
				outcomes.add(job, answered, end)
			}
		})
	}
	tasks.Wait()
	return outcomes
}

func (outcomes *outcomes) add(job job, answered bool, now time.Time) {
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	outcomes.offered++
	if !answered {
		outcomes.refused++
		return
	}
	if !job.deadline.IsZero() && now.After(job.deadline) {
		outcomes.late++
		return
	}
	outcomes.good++
	outcomes.goodWork += job.work
	outcomes.byPriority[job.priority]++
	histogram := outcomes.short
	if job.lane == definer.Long {
		histogram = outcomes.long
	}
	_ = histogram.RecordValue(now.Sub(job.start).Microseconds())
}

// serve sends job through the router of the entry host called name.
func (fleet *fleet) serve(name string, job job) bool {
	options := []router.RequestOption{
		router.InLane(job.lane), router.WithDeadline(job.deadline), router.WithPriority(job.priority),
	}
	ctx := context.Background()
	slot, err := fleet.routers[name].Acquire(ctx, router.NewRequest(modelPool, options...))
	if err != nil {
		return false
	}
	begin := time.Now()
	load := fleet.backends[slot.Endpoint().Name()].run(job.work)
	slot.Release(router.NewResult(router.Answered, time.Since(begin)).WithReport(load, modelSlots))
	return true
}

// oneQueue is the reference to compare with: one queue over all slots, where
// long work holds at most half of them. It does not detect slow servers.
type oneQueue struct {
	free chan *backend
	long chan struct{}
}

func newOneQueue(backends []*backend, longSlots int) *oneQueue {
	oneQueue := &oneQueue{free: make(chan *backend, len(backends)*modelSlots), long: make(chan struct{}, longSlots)}
	for range modelSlots {
		for _, backend := range backends {
			oneQueue.free <- backend
		}
	}
	return oneQueue
}

func (oneQueue *oneQueue) serve(job job) bool {
	if job.lane == definer.Long {
		oneQueue.long <- struct{}{}
		defer func() { <-oneQueue.long }()
	}
	backend := <-oneQueue.free
	backend.run(job.work)
	oneQueue.free <- backend
	return true
}
