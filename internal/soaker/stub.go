package soaker

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

const (
	// slots is the number of requests that an endpoint runs at once; more are
	// refused.
	slots = 4
	// usualServiceTime is the service time of most requests, and maxServiceTime
	// the upper bound of long ones.
	usualServiceTime = 10 * time.Millisecond
	maxServiceTime   = 200 * time.Millisecond
	// longEvery is the number of requests per long one.
	longEvery = 10
	// answerBytes is the size of an answer's body.
	answerBytes = 3000
)

// stubMode is a fault mode of a stub endpoint.
type stubMode int

const (
	healthy stubMode = iota
	// saturated endpoints refuse every request.
	saturated
	// failing endpoints answer half of the requests that they ran with status
	// 500.
	failing
	// truncating endpoints truncate half of their answers.
	truncating
	// hanging endpoints never answer.
	hanging
)

// stub is a stub endpoint with an address of its own.
type stub struct {
	name, service string
	// dataCentre is where the endpoint is.
	dataCentre string
	journal    *journal
	listener   net.Listener
	server     http.Server
	taskGroup  taskGroup

	// mu guards the fields below.
	mu       sync.Mutex
	running  int
	draining bool
	mode     stubMode
	// count is the number of accepted requests.
	count int
}

// newStub returns a stub endpoint of service in a data centre that already accepts
// connections.
func newStub(name, service, dataCentre string, journal *journal) (*stub, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start endpoint %s: %w", name, err)
	}
	stub := &stub{name: name, service: service, dataCentre: dataCentre, journal: journal, listener: listener}
	stub.server.Handler = &workHandler{stub: stub, handler: platform.NewStubHandler(stub)}
	stub.taskGroup.add(context.Background(), stub)
	return stub, nil
}

func (stub *stub) run(context.Context) { _ = stub.server.Serve(stub.listener) }

// close stops the endpoint, closes its connections and waits for its task.
func (stub *stub) close() {
	_ = stub.server.Close()
	stub.taskGroup.wait()
}

func (stub *stub) address() string { return stub.listener.Addr().String() }

// endpoint returns the registration of the stub at address.
func (stub *stub) endpoint(address string) definer.Endpoint {
	return definer.NewEndpoint(stub.name, stub.service, address, definer.NewPlace(regions[stub.dataCentre], stub.dataCentre), slots).
		WithStartedAt(time.Now().UnixMilli())
}

// Name returns the endpoint's name.
func (stub *stub) Name() string { return stub.name }

// Report returns the load; a draining endpoint is unhealthy.
func (stub *stub) Report() definer.Report {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	return definer.NewReport(!stub.draining, stub.running, 0, slots, 0)
}

// startDraining makes health checks fail.
func (stub *stub) startDraining() {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.draining = true
}

func (stub *stub) setMode(stubMode stubMode) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.mode = stubMode
}

// Serve runs a request.
func (stub *stub) Serve(ctx context.Context, stubRequest platform.StubRequest) platform.Result {
	stub.mu.Lock()
	if stub.running == slots || stub.mode == saturated {
		stub.mu.Unlock()
		return platform.Refused()
	}
	stub.running++
	stub.count++
	affected := stub.count%2 == 0
	stubMode := stub.mode
	stub.mu.Unlock()
	defer func() {
		stub.mu.Lock()
		defer stub.mu.Unlock()
		stub.running--
	}()
	index := ctx.Value(runKey{}).(*int)
	*index = stub.journal.addRun(run{
		id: stubRequest.ID(), endpoint: stub.name, service: stub.service, target: stubRequest.Target(),
		body: string(stubRequest.Body()), at: time.Now(), dataCentre: stub.dataCentre,
		account: stubRequest.Account(), keyed: stubRequest.Keyed(),
	})
	if stubMode == hanging {
		<-ctx.Done() // The gateway has closed the connection.
		return platform.Refused()
	}
	_ = emulator.Pause(ctx, workOf(stubRequest.Target()).beforeAnswer(stubRequest.ID())) // The work ends early if the caller disconnects.
	body := answerBody(stubRequest.ID(), stub.name)
	switch {
	case stubMode == failing && affected:
		return platform.Answered(http.StatusInternalServerError, body)
	case stubMode == truncating && affected:
		return platform.Answered(http.StatusOK, body).Cut(int(hash(stubRequest.ID()) % answerBytes))
	}
	return platform.Answered(http.StatusOK, body)
}

// serviceTime returns how long the request with id runs.
func serviceTime(id string) time.Duration {
	number := hash(id)
	if number%longEvery == 0 {
		return time.Duration(number % uint64(maxServiceTime))
	}
	return usualServiceTime
}

// answerBody returns the body with which an endpoint answers a request.
func answerBody(id, endpoint string) []byte {
	line := []byte(id + " by " + endpoint + "\n")
	body := make([]byte, 0, answerBytes+len(line))
	for len(body) < answerBytes {
		body = append(body, line...)
	}
	return body[:answerBytes]
}

func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text)) // It never fails.
	return sum.Sum64()
}
