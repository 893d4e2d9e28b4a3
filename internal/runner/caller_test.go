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

// call describes a request that a test sends to one entry host.
type call struct {
	// id identifies the request in the endpoints' journals.
	id      string
	key     string
	method  string
	kind    string
	barrier string
	size    int64
	// work is the run time at the endpoint, in milliseconds.
	work int
	// timeout is the request's timeout in milliseconds; 0 for none.
	timeout int
}

const callBody = "body"

// reply is the result of a call.
type reply struct {
	status int
	// refusal is set if the entry host refused; nil for an endpoint's answer.
	refusal  *client.Problem
	replayed bool
	verdict  emulator.Verdict
	// err is the error of the connection, or of reading the answer.
	err error
}

// caller sends each call once, to a given entry host.
type caller struct {
	t         testing.TB
	transport http.Transport
}

func newCaller(t testing.TB) *caller {
	caller := &caller{t: t}
	t.Cleanup(caller.transport.CloseIdleConnections)
	return caller
}

func (caller *caller) request(daemon *Daemon, call call) *http.Request {
	caller.t.Helper()
	method := call.method
	if method == "" {
		method = http.MethodPost
	}
	target := "http://" + daemon.self.Address() + "/s/ledger/" + call.id
	// MultiReader hides the reader's type, so that net/http can't replay the request.
	request, err := http.NewRequestWithContext(caller.t.Context(), method, target, io.MultiReader(strings.NewReader(callBody)))
	if err != nil {
		caller.t.Fatal(err)
	}
	request.ContentLength = int64(len(callBody))
	request.Header.Set(headerBytes, strconv.FormatInt(call.size, 10))
	for name, value := range map[string]string{
		headerWorkID: call.id, headerKind: call.kind, headerBarrier: call.barrier,
		"Work-Ms": strconv.Itoa(call.work), "Idempotency-Key": call.key,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if call.timeout > 0 {
		request.Header.Set("Request-Timeout-Ms", strconv.Itoa(call.timeout))
	}
	return request
}

// send sends call to daemon and checks the answer.
func (caller *caller) send(daemon *Daemon, call call) reply {
	caller.t.Helper()
	response, err := caller.transport.RoundTrip(caller.request(daemon, call))
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
	answer := emulator.NewAnswer(call.id, call.size, xxhash.Sum64String(callBody))
	reply.verdict, reply.err = emulator.Check(answer, response.Body)
	return reply
}

// complete reports whether the complete answer of an endpoint arrived.
func (reply reply) complete() bool {
	return reply.err == nil && reply.refusal == nil && reply.status == http.StatusOK && reply.verdict == emulator.Complete
}

// refused reports whether the entry host refused the call with a problem that has
// this kind and this value of ran.
func (reply reply) refused(kind, ran string) bool {
	return reply.refusal != nil && reply.refusal.Kind == kind && reply.refusal.Ran == ran
}

func (reply reply) outcomeUnknown() bool { return reply.refused("outcome-unknown", "unknown") }

// callGroup sends calls concurrently.
type callGroup struct {
	caller  *caller
	pending sync.WaitGroup
	// replies are in the order of send, and complete after join.
	replies []*reply
}

func (callGroup *callGroup) send(daemon *Daemon, call call) {
	reply := &reply{}
	callGroup.replies = append(callGroup.replies, reply)
	callGroup.pending.Add(1)
	go callGroup.run(daemon, call, reply)
}

func (callGroup *callGroup) run(daemon *Daemon, call call, reply *reply) {
	defer callGroup.pending.Done()
	*reply = callGroup.caller.send(daemon, call)
}

func (callGroup *callGroup) join() []*reply {
	callGroup.pending.Wait()
	return callGroup.replies
}
