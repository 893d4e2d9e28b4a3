package dispatcher

import (
	"io"
	"net/http"
	"time"

	"github.com/chivespool/chivespool/internal/router"
)

// crashRecordTimeout bounds how long an answer waits for a crash to be known
// in the fleet.
const crashRecordTimeout = 2 * time.Second

// flight is one attempt, from the slot it took to the end of its answer.
type flight struct {
	dispatcher *Dispatcher
	call       *call
	slot       Slot
	start      time.Time
}

// follow frees the slot at the end of the answer's body.
func (flight *flight) follow(answer *Answer) {
	tracked := &trackedBody{ReadCloser: answer.body}
	tracked.end = func(failure *Failure) {
		if failure == nil {
			flight.answered(answer, tracked.bytes)
			return
		}
		flight.fail(failure)
	}
	answer.body = tracked
}

// answered ends an attempt whose answer had a body of size bytes.
func (flight *flight) answered(answer *Answer, size int64) {
	outcome := router.Answered
	switch {
	case answer.draining:
		outcome = router.Draining
	case answer.status >= http.StatusInternalServerError:
		outcome = router.Failed
	}
	result := router.NewResult(outcome, time.Since(flight.start)).WithBytes(size + max(flight.call.length, 0))
	if answer.slots > 0 {
		result = result.WithReport(answer.inFlight, answer.slots)
	}
	flight.slot.Release(result)
	flight.dispatcher.acquit(flight.call, nil)
}

func (flight *flight) fail(failure *Failure) {
	flight.slot.Release(router.NewResult(outcomes[failure.cause], time.Since(flight.start)))
	flight.dispatcher.acquit(flight.call, failure)
}

// outcomes tells the router how an attempt failed.
var outcomes = map[Cause]router.Outcome{
	Unconnected: router.Unreachable,
	Shed:        router.Shed,
	Draining:    router.Draining,
	Lost:        router.Crashed,
	Malformed:   router.Crashed,
	Overdue:     router.Cancelled,
	Abandoned:   router.Cancelled,
	Misplaced:   router.Draining,
}

// heldBody returns a body that is in memory.
func heldBody(body []byte) io.ReadCloser { return &memoryBody{rest: body} }

// memoryBody is a body in memory.
type memoryBody struct {
	rest []byte
}

// Read reads what is left.
func (memoryBody *memoryBody) Read(buffer []byte) (int, error) {
	if len(memoryBody.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, memoryBody.rest)
	memoryBody.rest = memoryBody.rest[count:]
	return count, nil
}

// Close does nothing.
func (memoryBody *memoryBody) Close() error { return nil }
