package dispatcher

import (
	"io"
	"net/http"
	"time"

	"github.com/chivespool/chivespool/internal/router"
)

// crashRecordTimeout bounds how long an attempt waits for its crash to be recorded
// in the fleet.
const crashRecordTimeout = 2 * time.Second

// exchange is one attempt, from acquiring its slot to the end of its answer.
type exchange struct {
	dispatcher *Dispatcher
	call       *call
	run        Run
	slot       Slot
	start      time.Time
}

// trackBody releases the slot at the end of the answer's body.
func (exchange *exchange) trackBody(answer *Answer) {
	tracked := &trackedBody{ReadCloser: answer.body}
	tracked.onEnd = func(failure *Failure) {
		if failure == nil {
			exchange.complete(answer, tracked.bytes)
			return
		}
		if failure.cause != Cancelled {
			exchange.dispatcher.journal.Failure("answer truncated", "request", exchange.call.id, "endpoint", answer.endpoint,
				"cause", failure.cause.String(), "bytes", tracked.bytes, "error", failure.err)
		}
		exchange.fail(failure)
	}
	answer.body = tracked
}

// complete ends an attempt whose answer had a body of size bytes.
func (exchange *exchange) complete(answer *Answer, size int64) {
	outcome := router.Answered
	switch {
	case answer.draining:
		outcome = router.Draining
	case answer.status >= http.StatusInternalServerError:
		outcome = router.Failed
	}
	result := router.NewResult(outcome, time.Since(exchange.start)).WithBytes(size + max(exchange.call.length, 0))
	if answer.slots > 0 {
		result = result.WithReport(answer.inFlight, answer.slots)
	}
	exchange.slot.Release(result)
	exchange.dispatcher.endAdmission(exchange.call, exchange.run, nil)
}

func (exchange *exchange) fail(failure *Failure) {
	exchange.slot.Release(router.NewResult(routerOutcomes[failure.cause], time.Since(exchange.start)))
	exchange.dispatcher.endAdmission(exchange.call, exchange.run, failure)
}

// routerOutcomes maps the cause of a failed attempt to the outcome reported to the
// router.
var routerOutcomes = map[Cause]router.Outcome{
	Unconnected:      router.Unreachable,
	Shed:             router.Shed,
	Draining:         router.Draining,
	ConnectionLost:   router.Crashed,
	Malformed:        router.Crashed,
	DeadlineExceeded: router.Cancelled,
	Cancelled:        router.Cancelled,
	Misdirected:      router.Draining,
	Silent:           router.Failed,
}

// newMemoryBody returns a reader of a body in memory.
func newMemoryBody(body []byte) io.ReadCloser { return &memoryBody{unread: body} }

// memoryBody is a body in memory.
type memoryBody struct {
	unread []byte
}

// Read reads the unread part of the body.
func (memoryBody *memoryBody) Read(buffer []byte) (int, error) {
	if len(memoryBody.unread) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, memoryBody.unread)
	memoryBody.unread = memoryBody.unread[count:]
	return count, nil
}

// Close does nothing.
func (memoryBody *memoryBody) Close() error { return nil }
