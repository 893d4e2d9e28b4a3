package generator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/pkg/client"
)

const (
	// gracePeriod is how long after a request's deadline its answer may still
	// arrive before the request counts as lost.
	gracePeriod = 5 * time.Second
	// resendDelay is how long a caller waits before it re-sends a keyed request.
	resendDelay = 100 * time.Millisecond
)

// outcome is the outcome of a request.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeRefused means that chivespool refused the request.
	outcomeRefused
	// outcomeFailed means that the backend server answered with an error status.
	outcomeFailed
	// outcomeBroken means that the caller's connection broke or was not established.
	outcomeBroken
	// outcomeLost means that the request did not end within deadline and grace period.
	outcomeLost
	outcomeTruncated
	outcomeDuplicated
	outcomeMismatched
	// outcomeUnsent means that too many requests were in flight to send another.
	outcomeUnsent
)

// result is one request with its outcome.
type result struct {
	work    work
	outcome outcome
	// kind is the kind of a refusal, or the status of a failure.
	kind string
	// notRun is true if the caller was told that the request did not run.
	notRun bool
	// latency is the time from the scheduled start to the end of the answer.
	latency time.Duration
	// done is the time from the start of the load to the end of the answer.
	done time.Duration
}

// call is one request that is sent, including its re-sends.
type call struct {
	generator *Generator
	caller    *client.Client
	work      work
	// start is when the request is scheduled to be sent.
	start time.Time
}

func (call *call) run(ctx context.Context) {
	defer call.generator.inFlight.Done()
	defer func() { <-call.generator.tokens }()
	ctx, cancel := context.WithTimeout(ctx, call.timeout()+gracePeriod)
	defer cancel()
	result := call.send(ctx)
	for range call.resends() {
		if result.outcome == outcomeAnswered || result.notRun {
			break
		}
		waitUntil(ctx, time.Now().Add(resendDelay))
		result = call.send(ctx)
	}
	result.work = call.work
	result.latency = time.Since(call.start)
	result.done = call.work.at + result.latency
	call.generator.tally.add(result)
}

// resends returns how often the request may be re-sent.
func (call *call) resends() int {
	if call.work.class != classKeyed {
		return 0
	}
	return call.generator.plan.Resends
}

func (call *call) timeout() time.Duration {
	if call.work.class == classLong {
		return milliseconds(call.generator.plan.LongTimeoutMs)
	}
	return milliseconds(call.generator.plan.TimeoutMs)
}

// send sends the request once and checks its answer.
func (call *call) send(ctx context.Context) result {
	body, size := call.bodies()
	response, err := call.caller.Do(ctx, call.request(body, size))
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return result{outcome: outcomeFailed, kind: strconv.Itoa(response.StatusCode)}
	}
	verdict, err := emulator.Check(emulator.NewAnswer(call.work.id, size, xxhash.Sum64(body)), response.Body)
	switch {
	case verdict == emulator.Mismatched:
		return result{outcome: outcomeMismatched}
	case verdict == emulator.Duplicated:
		return result{outcome: outcomeDuplicated}
	case err != nil:
		return failure(ctx, err)
	case verdict == emulator.Truncated:
		return result{outcome: outcomeTruncated}
	}
	return result{outcome: outcomeAnswered}
}

// bodies returns the request's body and the size of the answer's pattern.
func (call *call) bodies() ([]byte, int64) {
	plan := call.generator.plan
	var body []byte
	if call.work.class.method() == http.MethodPost {
		body = bytes.Repeat([]byte(call.work.id+"\n"), 1+int(plan.RequestBytes)/(len(call.work.id)+1))
	}
	if call.work.class == classLong {
		return body, plan.LongAnswerBytes
	}
	return body, plan.AnswerBytes
}

func (call *call) request(body []byte, size int64) *client.Request {
	work := call.work
	target := "/" + work.class.String() + "/" + work.id
	request := client.NewRequest(work.service, work.class.method(), target, body)
	header := request.Header()
	header.Set("Work-Id", work.id)
	header.Set("Work-Ms", strconv.FormatFloat(float64(work.run)/float64(time.Millisecond), 'f', 3, 64))
	header.Set("Answer-Bytes", strconv.FormatInt(size, 10))
	if work.class == classKeyed {
		request = request.WithKey(work.id)
	}
	return request.WithTimeout(call.timeout())
}

// failure returns the result of a request without an answer.
func failure(ctx context.Context, err error) result {
	var problem *client.Problem
	var unreachable *client.UnreachableError
	switch {
	case errors.As(err, &problem):
		return result{outcome: outcomeRefused, kind: problem.Kind, notRun: problem.NotRun()}
	case errors.As(err, &unreachable):
		return result{outcome: outcomeBroken, kind: "unreachable", notRun: true}
	case ctx.Err() != nil:
		return result{outcome: outcomeLost}
	}
	return result{outcome: outcomeBroken, kind: "connection"}
}
