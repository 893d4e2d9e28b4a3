package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Answer is a backend server's response, available once its head has been
// received completely.
type Answer struct {
	status int
	header http.Header
	// length is the body's length in bytes, or -1 if it is unknown.
	length int64
	// body returns a [Failure] if the response is truncated; never nil.
	body io.ReadCloser
	// draining is true if the response says that its endpoint is draining.
	draining bool
	// inFlight and slots are the endpoint's load report; slots is 0 if there is none.
	inFlight int
	slots    int
	endpoint string
	// held is the memory that the buffered part of the body holds until the answer is
	// closed; nil if nothing is buffered.
	held *reservation
	// cancel cancels the request's remaining work; may be nil.
	cancel context.CancelFunc
	// refuse returns the refusal for a failure of the body; nil before Dispatch returns
	// the answer.
	refuse func(failure *Failure) error
	// started is true once Read has returned a part of the body or a refusal.
	started bool
}

// NewAnswer returns an answer whose body has length bytes, or -1 if unknown.
func NewAnswer(status int, header http.Header, length int64, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, length: length, body: body}
}

// WithDraining returns a copy that records whether the endpoint is draining.
func (answer *Answer) WithDraining(draining bool) *Answer {
	clone := *answer
	clone.draining = draining
	return &clone
}

// WithReport returns a copy with the endpoint's load report.
func (answer *Answer) WithReport(inFlight, slots int) *Answer {
	clone := *answer
	clone.inFlight = inFlight
	clone.slots = slots
	return &clone
}

// Status returns the HTTP status.
func (answer *Answer) Status() int { return answer.status }

// Header returns the backend server's header; callers must not modify it.
func (answer *Answer) Header() http.Header { return answer.header }

// Length returns the body's length in bytes, or -1 if it is unknown.
func (answer *Answer) Length() int64 { return answer.length }

// Buffered reports whether the whole body is in memory.
func (answer *Answer) Buffered() bool {
	_, ok := answer.body.(*memoryBody)
	return ok
}

// Endpoint returns the name of the endpoint that answered.
func (answer *Answer) Endpoint() string { return answer.endpoint }

// Read reads the body; any error other than io.EOF is a [Failure]. If the body fails
// before its first part, the error is a *refuser.Refusal, since nothing of the answer has
// gone to the caller.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.body.Read(buffer)
	refusable := count == 0 && !answer.started && answer.refuse != nil
	answer.started = answer.started || count > 0 || err != nil
	if err == nil || err == io.EOF || !refusable {
		return count, err
	}
	return 0, answer.refuse(asFailure(err))
}

// Close releases the answer and frees the endpoint's slot. Closing before
// io.EOF cancels the rest of the response.
func (answer *Answer) Close() error {
	err := answer.body.Close()
	if answer.held != nil {
		answer.held.release()
	}
	if answer.cancel != nil {
		answer.cancel()
	}
	return err
}

// refuseAnswer returns the refusal of a call whose answer has failed before the first part
// of its body. The answer is not retried: its attempts have ended.
func (dispatcher *Dispatcher) refuseAnswer(call *call, start time.Time, failure *Failure) error {
	call.attempts.recordFailure(failure, false)
	return dispatcher.recordRefusal(call.Request, call, start, call.attempts.refusal(failure))
}

// trackedBody ends an attempt when the body of its answer ends.
type trackedBody struct {
	io.ReadCloser
	// onEnd is called once, with nil if the body was read completely.
	onEnd func(failure *Failure)
	// bytes counts the bytes read from the body.
	bytes int64
	ended bool
}

// Read reads the body and records how it ends.
func (trackedBody *trackedBody) Read(buffer []byte) (int, error) {
	count, err := trackedBody.ReadCloser.Read(buffer)
	trackedBody.bytes += int64(count)
	if err == io.EOF {
		trackedBody.finish(nil)
		return count, err
	}
	if err != nil {
		failure := asFailure(err)
		trackedBody.finish(failure)
		return count, failure
	}
	return count, nil
}

// Close ends the attempt; closing before the end of the body counts as cancelled.
func (trackedBody *trackedBody) Close() error {
	err := trackedBody.ReadCloser.Close()
	trackedBody.finish(NewFailure(Cancelled, true, nil))
	return err
}

func (trackedBody *trackedBody) finish(failure *Failure) {
	if trackedBody.ended {
		return
	}
	trackedBody.ended = true
	trackedBody.onEnd(failure)
}

// asFailure returns err as a Failure; an unknown error is treated as a lost
// connection.
func asFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(ConnectionLost, true, err)
}
