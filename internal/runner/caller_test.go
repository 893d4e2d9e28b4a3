package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/pkg/client"
)

// order is a request as a test sends it to one entry host.
type order struct {
	// id is noted in the journals of the endpoints.
	id     string
	key    string
	method string
	kind   string
	hold   string
	size   int64
	// work is how long it runs, in milliseconds.
	work int
	// timeout is in milliseconds; 0 for none.
	timeout int
}

const orderBody = "body"

// reply is what a caller got for an order.
type reply struct {
	status int
	// refusal is the entry host's; nil for an endpoint's answer.
	refusal  *client.Problem
	replayed bool
	verdict  emulator.Verdict
	// err is that of the connection.
	err error
}

// caller sends orders to entry hosts of its choice, each once.
type caller struct {
	t         testing.TB
	transport http.Transport
}

func newCaller(t testing.TB) *caller {
	caller := &caller{t: t}
	t.Cleanup(caller.transport.CloseIdleConnections)
	return caller
}

func (caller *caller) request(daemon *Daemon, order order) *http.Request {
	caller.t.Helper()
	method := order.method
	if method == "" {
		method = http.MethodPost
	}
	target := "http://" + daemon.self.Address() + "/s/ledger/" + order.id
	// The reader is hidden, so that net/http never replays the request.
	request, err := http.NewRequestWithContext(caller.t.Context(), method, target, io.MultiReader(strings.NewReader(orderBody)))
	if err != nil {
		caller.t.Fatal(err)
	}
	request.ContentLength = int64(len(orderBody))
	request.Header.Set(headerBytes, strconv.FormatInt(order.size, 10))
	for name, value := range map[string]string{
		headerWorkID: order.id, headerKind: order.kind, headerHold: order.hold,
		"Work-Ms": strconv.Itoa(order.work), "Idempotency-Key": order.key,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if order.timeout > 0 {
		request.Header.Set("Request-Timeout-Ms", strconv.Itoa(order.timeout))
	}
	return request
}

// send sends order to daemon and judges the answer.
func (caller *caller) send(daemon *Daemon, order order) reply {
	caller.t.Helper()
	response, err := caller.transport.RoundTrip(caller.request(daemon, order))
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	reply := reply{status: response.StatusCode, replayed: response.Header.Get("Idempotency-Replayed") != ""}
	if response.Header.Get("Content-Type") == client.ProblemType {
		reply.refusal = new(client.Problem)
		reply.err = json.NewDecoder(response.Body).Decode(reply.refusal)
		return reply
	}
	answer := emulator.NewAnswer(order.id, order.size, xxhash.Sum64String(orderBody))
	reply.verdict, reply.err = emulator.Check(answer, response.Body)
	return reply
}

// whole reports whether the whole answer of an endpoint arrived.
func (reply reply) whole() bool {
	return reply.err == nil && reply.refusal == nil && reply.status == http.StatusOK && reply.verdict == emulator.Complete
}

// refused reports whether the entry host refused with kind, and said ran.
func (reply reply) refused(kind, ran string) bool {
	return reply.refusal != nil && reply.refusal.Kind == kind && reply.refusal.Ran == ran
}

func (reply reply) unknown() bool { return reply.refused("outcome-unknown", "unknown") }

// flights are orders on their way at the same time.
type flights struct {
	caller *caller
	wait   sync.WaitGroup
	// replies are in the order of the calls of send, complete after end.
	replies []*reply
}

func (flights *flights) send(daemon *Daemon, order order) {
	reply := &reply{}
	flights.replies = append(flights.replies, reply)
	flights.wait.Add(1)
	go flights.run(daemon, order, reply)
}

func (flights *flights) run(daemon *Daemon, order order, reply *reply) {
	defer flights.wait.Done()
	*reply = flights.caller.send(daemon, order)
}

func (flights *flights) end() []*reply {
	flights.wait.Wait()
	return flights.replies
}
