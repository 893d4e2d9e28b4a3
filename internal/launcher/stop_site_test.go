package launcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// Bounds of a planned stop, from the platform's pages.
const (
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
	// lastSixth begins the part of graceTime in which a request may be cut that was sent
	// by lastCut and at which its endpoint still works.
	lastSixth = graceTime * 5 / 6
	lastCut   = 3 * time.Second
	// lossSlack is the time from a request's last byte in which its connection may end
	// without an answer if the request is not passed on.
	lossSlack = 200 * time.Millisecond
)

// processLog receives the log of the gateways of all tests: the log of the process belongs
// to the newest gateway.
var processLog lineBuffer

// lineBuffer holds lines of a log.
type lineBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (lineBuffer *lineBuffer) Write(text []byte) (int, error) {
	lineBuffer.mu.Lock()
	defer lineBuffer.mu.Unlock()
	return lineBuffer.text.Write(text)
}

// find returns the lines that contain word.
func (lineBuffer *lineBuffer) find(word string) []string {
	lineBuffer.mu.Lock()
	defer lineBuffer.mu.Unlock()
	var lines []string
	for line := range strings.Lines(lineBuffer.text.String()) {
		if strings.Contains(line, word) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// endpointRun is one run of a request as its endpoint saw it.
type endpointRun struct {
	endpoint string
	began    time.Time
	// until is when the endpoint ended its work; zero while it is at work.
	until time.Time
	// whole is true if the whole answer was written.
	whole bool
}

// ledger holds the runs of all endpoints by request id.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*endpointRun
}

// begin adds a run that begins now.
func (ledger *ledger) begin(id, endpoint string) *endpointRun {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	run := &endpointRun{endpoint: endpoint, began: time.Now()}
	if ledger.runs == nil {
		ledger.runs = make(map[string][]*endpointRun)
	}
	ledger.runs[id] = append(ledger.runs[id], run)
	return run
}

// end ends a run.
func (ledger *ledger) end(run *endpointRun, whole bool) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	run.until, run.whole = time.Now(), whole
}

// find returns the runs of a request.
func (ledger *ledger) find(id string) []endpointRun {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	var runs []endpointRun
	for _, run := range ledger.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

// answerForm is how an endpoint sends its answer over the time that it works.
type answerForm string

const (
	// formWhole sends the answer with its length at the end of the work.
	formWhole answerForm = "whole"
	// formHead sends the head at once and the body at the end.
	formHead answerForm = "head"
	// formChunks sends the head at once and the body in parts.
	formChunks answerForm = "chunks"
	// formSilent sends the head and a part at once and another at the end.
	formSilent answerForm = "silent"
)

// sentAt returns when each part of a body is sent, as shares of the work.
func (answerForm answerForm) sentAt() []float64 {
	switch answerForm {
	case formChunks:
		return []float64{0.1, 0.25, 0.4, 0.55, 0.7, 0.85, 1}
	case formSilent:
		return []float64{0, 1}
	}
	return []float64{1}
}

// workingEndpoint is an endpoint that works on a request for as long, and answers in the
// form, that the request's query says. It rejects requests while all its slots are taken.
type workingEndpoint struct {
	name   string
	slots  int
	ledger *ledger
	// running is the number of requests that it works on.
	running atomic.Int64
	// server serves stub, which calls Serve.
	server *http.Server
	stub   http.Handler
}

// startWorkingEndpoint starts an endpoint and returns its registration.
func startWorkingEndpoint(t *testing.T, name, service string, slots int, ledger *ledger) definer.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &workingEndpoint{name: name, slots: slots, ledger: ledger}
	endpoint.stub = platform.NewStubHandler(endpoint)
	endpoint.server = &http.Server{Handler: endpoint}
	go func() { _ = endpoint.server.Serve(listener) }()
	t.Cleanup(func() { _ = endpoint.server.Close() })
	return definer.NewEndpoint(name, service, listener.Addr().String(), definer.NewPlace("nairobi", "nbo-a"), slots).
		WithStartedAt(time.Now().UnixMilli())
}

// Name returns the endpoint's name.
func (workingEndpoint *workingEndpoint) Name() string { return workingEndpoint.name }

// Report returns the report of a healthy endpoint.
func (workingEndpoint *workingEndpoint) Report() definer.Report {
	return definer.NewReport(true, int(workingEndpoint.running.Load()), 0, workingEndpoint.slots, 0)
}

// work is the work on one request. It writes the answer over the time that it takes.
type work struct {
	http.ResponseWriter
	endpoint *workingEndpoint
	ctx      context.Context
	form     answerForm
	length   time.Duration
	// run is nil until the work begins.
	run *endpointRun
}

// workKey is the key of the work in the context of its request.
type workKey struct{}

// ServeHTTP serves a request or a health check.
func (workingEndpoint *workingEndpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	length, err := time.ParseDuration(query.Get("work"))
	if err != nil {
		length = 0 // A health check, or a request of the test's start.
	}
	work := &work{
		ResponseWriter: writer, endpoint: workingEndpoint, ctx: request.Context(),
		form: answerForm(query.Get("form")), length: length,
	}
	workingEndpoint.stub.ServeHTTP(work, request.WithContext(context.WithValue(request.Context(), workKey{}, work)))
}

// Serve begins the work on a request. It does all of it if the answer comes at the end.
func (workingEndpoint *workingEndpoint) Serve(ctx context.Context, request platform.StubRequest) platform.Result {
	work := ctx.Value(workKey{}).(*work)
	if workingEndpoint.running.Add(1) > int64(workingEndpoint.slots) {
		workingEndpoint.running.Add(-1)
		return platform.Refused()
	}
	work.run = workingEndpoint.ledger.begin(request.ID(), workingEndpoint.name)
	if work.form == formWhole {
		work.until(1)
	}
	return platform.Answered(http.StatusOK, answerBody(request.ID()))
}

// answerBody returns the body of the answer to the request with id.
func answerBody(id string) []byte { return []byte(strings.Repeat(id+" ", 30)) }

// end ends the work.
func (work *work) end(whole bool) {
	work.endpoint.ledger.end(work.run, whole)
	work.endpoint.running.Add(-1)
}

// until works until a share of the work is done. It gives up if the caller has left.
func (work *work) until(share float64) {
	timer := time.NewTimer(time.Until(work.run.began.Add(time.Duration(share * float64(work.length)))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-work.ctx.Done():
		work.end(false)
		panic(http.ErrAbortHandler)
	}
}

// WriteHeader sends the head, without the length unless the answer comes at the end.
func (work *work) WriteHeader(status int) {
	if work.run == nil || work.form == formWhole {
		work.ResponseWriter.WriteHeader(status)
		return
	}
	work.Header().Del("Content-Length")
	work.ResponseWriter.WriteHeader(status)
	work.flush()
}

// Write sends the body in the parts of the answer's form.
func (work *work) Write(body []byte) (int, error) {
	if work.run == nil {
		return work.ResponseWriter.Write(body)
	}
	shares := work.form.sentAt()
	for index, share := range shares {
		work.until(share)
		if _, err := work.ResponseWriter.Write(body[index*len(body)/len(shares) : (index+1)*len(body)/len(shares)]); err != nil {
			work.end(false)
			return 0, err
		}
		work.flush()
	}
	work.end(true)
	return len(body), nil
}

// flush sends what has been written.
func (work *work) flush() { _ = http.NewResponseController(work.ResponseWriter).Flush() }

// Services of a stop site: tile-few has one endpoint with few slots.
const (
	manyEndpoints = 8
	manySlots     = 64
	fewSlots      = 2
)

// stopSite is a gateway with a store and endpoints, whose planned stop a test observes.
type stopSite struct {
	gateway *Gateway
	// address is the gateway's address for callers.
	address string
	ledger  ledger
	// faults are those of the store.
	faults emulator.FaultInjector
	// stop is when the gateway is due to be told to stop, and stopped when it was.
	stop, stopped time.Time
	// ended is closed when the gateway's process has ended, at endedAt with err.
	ended   chan struct{}
	endedAt time.Time
	err     error
	// heldUp is for how long the test was held up between stopped and endedAt.
	heldUp time.Duration
	// callers are the callers, and tasks their tasks.
	callers []*caller
	tasks   sync.WaitGroup
}

// newStopSite returns a site whose gateway does not run yet.
func newStopSite(t *testing.T) *stopSite {
	t.Helper()
	site := &stopSite{ended: make(chan struct{})}
	var keyspace emulator.Keyspace
	store := httptest.NewServer(platform.NewStoreServer(&keyspace, &site.faults).Handler())
	t.Cleanup(store.Close)
	operator := platform.NewOperator(&keyspace)
	endpoints := []definer.Endpoint{startWorkingEndpoint(t, "i-000000ff", "tile-few", fewSlots, &site.ledger)}
	for index := range manyEndpoints {
		endpoints = append(endpoints, startWorkingEndpoint(t, fmt.Sprintf("i-%08x", index), "tile-api", manySlots, &site.ledger))
	}
	for _, endpoint := range endpoints {
		if err := operator.Register(endpoint); err != nil {
			t.Fatal(err)
		}
	}
	route := func(name, service string, repeatable bool) definer.Route {
		return definer.NewRoute(name, "/"+name+"/", []definer.Destination{definer.NewDestination(service, 1)},
			definer.RouteRepeatable(repeatable), definer.RouteAttempts(2), definer.RouteTimeouts(10*time.Second, 800*time.Millisecond))
	}
	routes := []definer.Route{route("many", "tile-api", true), route("once", "tile-api", false), route("few", "tile-few", false)}
	limits := definer.NewCallerLimits(16384, 64<<20, 5*time.Second, 15*time.Second)
	if err := operator.Publish(1, hostName, routes, platform.StubHealthPath, limits); err != nil {
		t.Fatal(err)
	}
	site.gateway, site.address = newGateway(t, "front-nbo-a-1", store.URL, graceTime, &processLog)
	return site
}

// run runs the gateway and the callers, stops the gateway after lead, and waits until all
// have ended. The store has faults from the callers' start.
func (site *stopSite) run(lead time.Duration, plans []callerPlan, faults ...emulator.FaultOption) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go site.loop(ctx)
	for _, path := range []string{"/many/", "/once/", "/few/"} {
		if !site.awaitStart(path) {
			cancel()
			<-site.ended
			return errors.Join(errors.New("the gateway did not start"), site.err)
		}
	}
	site.faults.SetFaults(faults...)
	site.stop = time.Now().Add(lead)
	for _, plan := range plans {
		caller := newCaller(site, plan)
		site.callers = append(site.callers, caller)
		site.tasks.Add(1)
		go caller.run()
	}
	time.Sleep(time.Until(site.stop))
	site.stopped = time.Now()
	cancel()
	site.awaitEnd()
	site.tasks.Wait()
	return site.err
}

// Times of a gateway's start.
const (
	startTimeout  = time.Minute
	startInterval = 50 * time.Millisecond
)

// awaitStart waits until the gateway answers a request to path. It returns false if it ends
// before or takes too long.
func (site *stopSite) awaitStart(path string) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		if send(site.address, http.MethodPost, path+"?"+query(0, formWhole), "start") == http.StatusOK {
			return true
		}
		select {
		case <-time.After(startInterval):
		case <-site.ended:
			return false
		}
	}
	return false
}

// Times of noticing that the whole process of the test is held up.
const (
	beatInterval = 10 * time.Millisecond
	// leastHeldUp is the least delay of a beat that counts.
	leastHeldUp = 50 * time.Millisecond
)

// awaitEnd waits until the gateway's process has ended, and adds up for how long the test,
// which shares its processors, was held up meanwhile.
func (site *stopSite) awaitEnd() {
	for {
		before := time.Now()
		select {
		case <-site.ended:
			return
		case <-time.After(beatInterval):
		}
		if late := time.Since(before) - beatInterval; late > leastHeldUp {
			site.heldUp += late
		}
	}
}

// loop runs the gateway until ctx is done and the gateway has stopped.
func (site *stopSite) loop(ctx context.Context) {
	defer close(site.ended)
	site.err = site.gateway.Run(ctx)
	site.endedAt = time.Now()
}

// query returns the query of a request that an endpoint works on for length.
func query(length time.Duration, form answerForm) string {
	return url.Values{"work": {length.String()}, "form": {string(form)}}.Encode()
}
