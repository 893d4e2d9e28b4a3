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
	// grace is how long an answer may take beyond its request's deadline
	// before it counts as lost.
	grace = 5 * time.Second
	// resendPause is how long a caller waits before it sends a keyed request
	// again.
	resendPause = 100 * time.Millisecond
)

// end says what came of a request.
type end int

const (
	endAnswered end = iota
	// endRefused is a refusal by chivespool.
	endRefused
	// endFailed is an answer of the backend server with a status of failure.
	endFailed
	// endBroken means that the caller's connection broke, or could not be made.
	endBroken
	// endLost means that there was no end within the deadline and a grace.
	endLost
	endCut
	endDoubled
	endWrong
	// endUnsent means that too many requests were in flight to send it.
	endUnsent
)

// result is one request with its end.
type result struct {
	work work
	end  end
	// kind is that of a refusal, or the status of a failure.
	kind string
	// notRun is true where the caller was told that the request did not run.
	notRun bool
	// took is the time from the request's arrival to the end of its answer.
	took time.Duration
	// done is when the answer ended, since the start of the load.
	done time.Duration
}

// shot is one request on its way.
type shot struct {
	generator *Generator
	caller    *client.Client
	work      work
	// start is when the request should be sent.
	start time.Time
}

func (shot *shot) run(ctx context.Context) {
	defer shot.generator.shots.Done()
	defer func() { <-shot.generator.free }()
	ctx, cancel := context.WithTimeout(ctx, shot.timeout()+grace)
	defer cancel()
	result := shot.send(ctx)
	for range shot.resends() {
		if result.end == endAnswered || result.notRun {
			break
		}
		waitUntil(ctx, time.Now().Add(resendPause))
		result = shot.send(ctx)
	}
	result.work = shot.work
	result.took = time.Since(shot.start)
	result.done = shot.work.at + result.took
	shot.generator.tally.add(result)
}

// resends returns how often the request may be sent again.
func (shot *shot) resends() int {
	if shot.work.sort != sortKeyed {
		return 0
	}
	return shot.generator.plan.Resends
}

func (shot *shot) timeout() time.Duration {
	if shot.work.sort == sortLong {
		return milliseconds(shot.generator.plan.LongTimeoutMs)
	}
	return milliseconds(shot.generator.plan.TimeoutMs)
}

// send sends the request once and checks its answer.
func (shot *shot) send(ctx context.Context) result {
	body, size := shot.bodies()
	response, err := shot.caller.Do(ctx, shot.request(body, size))
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return result{end: endFailed, kind: strconv.Itoa(response.StatusCode)}
	}
	verdict, err := emulator.Check(emulator.NewAnswer(shot.work.id, size, xxhash.Sum64(body)), response.Body)
	switch {
	case verdict == emulator.Wrong:
		return result{end: endWrong}
	case verdict == emulator.Doubled:
		return result{end: endDoubled}
	case err != nil:
		return failure(ctx, err)
	case verdict == emulator.Cut:
		return result{end: endCut}
	}
	return result{end: endAnswered}
}

// bodies returns the request's body and the size of the answer's pattern.
func (shot *shot) bodies() ([]byte, int64) {
	plan := shot.generator.plan
	var body []byte
	if shot.work.sort.method() == http.MethodPost {
		body = bytes.Repeat([]byte(shot.work.id+"\n"), 1+int(plan.RequestBytes)/(len(shot.work.id)+1))
	}
	if shot.work.sort == sortLong {
		return body, plan.LongAnswerBytes
	}
	return body, plan.AnswerBytes
}

func (shot *shot) request(body []byte, size int64) *client.Request {
	work := shot.work
	target := "/" + work.sort.String() + "/" + work.id
	request := client.NewRequest(work.service, work.sort.method(), target, body)
	header := request.Header()
	header.Set("Work-Id", work.id)
	header.Set("Work-Ms", strconv.FormatFloat(float64(work.run)/float64(time.Millisecond), 'f', 3, 64))
	header.Set("Answer-Bytes", strconv.FormatInt(size, 10))
	if work.sort == sortKeyed {
		request = request.WithKey(work.id)
	}
	return request.WithTimeout(shot.timeout())
}

// failure returns the end of a request that has no answer.
func failure(ctx context.Context, err error) result {
	var problem *client.Problem
	var unreachable *client.UnreachableError
	switch {
	case errors.As(err, &problem):
		return result{end: endRefused, kind: problem.Kind, notRun: problem.NotRun()}
	case errors.As(err, &unreachable):
		return result{end: endBroken, kind: "unreachable", notRun: true}
	case ctx.Err() != nil:
		return result{end: endLost}
	}
	return result{end: endBroken, kind: "connection"}
}
