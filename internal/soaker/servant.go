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
	// slots is how many requests an endpoint runs at once; more are refused.
	slots = 4
	// workTime is how long a request runs, and slowestWork the most that some
	// take.
	workTime    = 10 * time.Millisecond
	slowestWork = 200 * time.Millisecond
	// longEvery is how many requests there are for one that runs long.
	longEvery = 10
	// answerBytes is the size of an answer's body.
	answerBytes = 3000
)

// misdeed is what an endpoint does wrong.
type misdeed int

const (
	behaved misdeed = iota
	// full endpoints refuse everything.
	full
	// failing endpoints answer half of the requests that they ran with 500.
	failing
	// cutting endpoints break off half of their answers.
	cutting
)

// servant is one life of an endpoint on an address of its own.
type servant struct {
	name, service string
	journal       *journal
	listener      net.Listener
	server        http.Server
	crew          crew

	// mu guards the fields below.
	mu      sync.Mutex
	running int
	leaving bool
	misdeed misdeed
	// count numbers the requests.
	count int
}

// newServant starts an endpoint of service.
func newServant(name, service string, journal *journal) (*servant, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start endpoint %s: %w", name, err)
	}
	servant := &servant{name: name, service: service, journal: journal, listener: listener}
	servant.server.Handler = platform.NewStubHandler(servant)
	servant.crew.add(context.Background(), servant)
	return servant, nil
}

func (servant *servant) work(context.Context) { _ = servant.server.Serve(servant.listener) }

// close ends the endpoint and breaks its connections. It waits.
func (servant *servant) close() {
	_ = servant.server.Close()
	servant.crew.wait()
}

func (servant *servant) address() string { return servant.listener.Addr().String() }

// endpoint returns what the servant registers where it is reached at address.
func (servant *servant) endpoint(address string) definer.Endpoint {
	return definer.NewEndpoint(servant.name, servant.service, address, definer.NewPlace(regionName, centreName), slots).
		WithStartedAt(time.Now().UnixMilli())
}

// Name returns the endpoint's name.
func (servant *servant) Name() string { return servant.name }

// Report returns the load; a leaving endpoint is not healthy.
func (servant *servant) Report() definer.Report {
	servant.mu.Lock()
	defer servant.mu.Unlock()
	return definer.NewReport(!servant.leaving, servant.running, 0, slots, 0)
}

// leave lets health checks fail.
func (servant *servant) leave() {
	servant.mu.Lock()
	defer servant.mu.Unlock()
	servant.leaving = true
}

// misbehave sets what the endpoint does wrong.
func (servant *servant) misbehave(misdeed misdeed) {
	servant.mu.Lock()
	defer servant.mu.Unlock()
	servant.misdeed = misdeed
}

// Serve runs an errand.
func (servant *servant) Serve(ctx context.Context, stubRequest platform.StubRequest) platform.Result {
	servant.mu.Lock()
	if servant.running == slots || servant.misdeed == full {
		servant.mu.Unlock()
		return platform.Refused()
	}
	servant.running++
	servant.count++
	spoiled := servant.count%2 == 0
	misdeed := servant.misdeed
	servant.mu.Unlock()
	defer func() {
		servant.mu.Lock()
		defer servant.mu.Unlock()
		servant.running--
	}()
	servant.journal.ran(run{
		id: stubRequest.ID(), endpoint: servant.name, service: servant.service, target: stubRequest.Target(),
		body: string(stubRequest.Body()), at: time.Now(),
	})
	_ = emulator.Pause(ctx, workOf(stubRequest.ID())) // The work ends with its caller.
	body := answerOf(stubRequest.ID(), servant.name)
	switch {
	case misdeed == failing && spoiled:
		return platform.Answered(http.StatusInternalServerError, body)
	case misdeed == cutting && spoiled:
		return platform.Answered(http.StatusOK, body).Cut(int(hash(stubRequest.ID()) % answerBytes))
	}
	return platform.Answered(http.StatusOK, body)
}

// workOf returns how long the request with id runs.
func workOf(id string) time.Duration {
	number := hash(id)
	if number%longEvery == 0 {
		return time.Duration(number % uint64(slowestWork))
	}
	return workTime
}

// answerOf returns the body with which an endpoint answers a request.
func answerOf(id, endpoint string) []byte {
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
