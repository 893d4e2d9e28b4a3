package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// Answer is a backend server's answer whose head has arrived whole.
type Answer struct {
	status int
	header http.Header
	// length is the body's length in bytes, or -1 where it is not known.
	length int64
	// body fails with a [Failure] where the answer is cut; never nil.
	body io.ReadCloser
	// draining is true where the answer says that its endpoint drains.
	draining bool
	// inFlight and slots are the endpoint's load report; slots is 0 for none.
	inFlight int
	slots    int
	endpoint string
	// cancel ends what is still done for the request; may be nil.
	cancel context.CancelFunc
}

// NewAnswer returns an answer with a body of length bytes, or -1.
func NewAnswer(status int, header http.Header, length int64, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, length: length, body: body}
}

// WithDraining returns a copy that says whether the endpoint drains.
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

// Header returns the backend server's header; users must not change it.
func (answer *Answer) Header() http.Header { return answer.header }

// Length returns the body's length in bytes, or -1 where it is not known.
func (answer *Answer) Length() int64 { return answer.length }

// Endpoint returns the name of the endpoint that answered.
func (answer *Answer) Endpoint() string { return answer.endpoint }

// Read reads the body; an error other than io.EOF is a [Failure].
func (answer *Answer) Read(buffer []byte) (int, error) { return answer.body.Read(buffer) }

// Close ends the answer and frees the endpoint's slot. Closing before io.EOF
// cancels what is left.
func (answer *Answer) Close() error {
	err := answer.body.Close()
	if answer.cancel != nil {
		answer.cancel()
	}
	return err
}

// trackedBody ends an attempt once its answer's body has ended.
type trackedBody struct {
	io.ReadCloser
	// end is called once, with nil after the whole body.
	end func(failure *Failure)
	// bytes is how much of the body was read.
	bytes int64
	ended bool
}

// Read reads the body and notes how it ends.
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

// Close ends the attempt; before the body's end it counts as abandoned.
func (trackedBody *trackedBody) Close() error {
	err := trackedBody.ReadCloser.Close()
	trackedBody.finish(NewFailure(Abandoned, true, nil))
	return err
}

func (trackedBody *trackedBody) finish(failure *Failure) {
	if trackedBody.ended {
		return
	}
	trackedBody.ended = true
	trackedBody.end(failure)
}

// asFailure returns err as a Failure; an unknown error is a lost connection.
func asFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(Lost, true, err)
}
