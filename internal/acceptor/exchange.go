package acceptor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
)

// exchange is one request on a connection and its response.
type exchange struct {
	connection *connection
	request    *http.Request
	// decoded is the request for the dispatcher, with its body unless the caller waits
	// to be told to send it; decodeErr is why there is none.
	decoded   *dispatcher.Request
	decodeErr error
	// head is the request before its body was read. It does not change while the
	// connection reads the body.
	head *dispatcher.Request
	// refusal is why the request will not be sent, if that was known before its body was
	// read. The connection's mu guards it until the request is accepted.
	refusal error
	// repeatable is true if the request may run beside others of its connection. One
	// that is not runs after those before it and before those behind it.
	repeatable bool
	// failed is set if the request is malformed; it is not handled then.
	failed *statusError
	// previous is closed once the response before this one has been written, and
	// barrier once the last request before it that is not repeatable has ended.
	previous, barrier <-chan struct{}
	// done is closed once the response has been written or given up.
	done     chan struct{}
	response response
	body     requestBody
	// limits are those in force when the request arrived.
	limits Limits
	// size is the number of bytes that the request counts for in its connection.
	size int
	// reserved is the number of bytes that the request has reserved for its body.
	reserved int64
	// streamed is true if the body had not been read completely when the request was
	// accepted: whether another request has arrived behind it is not known.
	streamed bool
	// stage is how far the request has come. The connection's task changes it until the
	// request is accepted, the request's task after that.
	stage stage
}

// stage is a part of the processing of a request.
type stage int

const (
	// stageBody reads the buffered part of the body.
	stageBody stage = iota
	// stageWaiting waits for requests of the same connection.
	stageWaiting
	// stageDispatched has passed the request to its handler.
	stageDispatched
	// stageAnswering writes the response.
	stageAnswering
	// stageAnswered has written the response.
	stageAnswered
)

// String returns the stage as it is logged.
func (stage stage) String() string {
	return [...]string{"body", "waiting", "dispatched", "answering", "answered"}[stage]
}

// logCut logs the request if its connection ends before the response because the stop
// timeout has passed.
func (exchange *exchange) logCut() {
	if exchange.stage == stageAnswered || context.Cause(exchange.connection.requests) != errStopTimeout {
		return
	}
	details := []any{"stage", exchange.stage.String(), "body-bytes", exchange.body.bytes}
	if request := exchange.decoded; request != nil {
		age := exchange.connection.acceptor.clock.Now().Sub(request.Arrived())
		details = append(details, "request", request.ID(), "age", age, "timeout", request.Timeout())
	}
	klog.ErrorS(nil, "request cut by the stop; raise [leaving] bound", details...)
}

// exchangeKey is the key of the exchange in the context of its request.
type exchangeKey struct{}

// exchangeOf returns the exchange of a request that a connection has read.
func exchangeOf(request *http.Request) *exchange {
	return request.Context().Value(exchangeKey{}).(*exchange)
}

// newExchange returns an exchange for request, or for a malformed one if failed is
// set.
func newExchange(connection *connection, request *http.Request, failed *statusError) *exchange {
	exchange := &exchange{connection: connection, failed: failed, limits: connection.limits, done: make(chan struct{})}
	exchange.response = response{exchange: exchange, header: make(http.Header), length: -1}
	exchange.body.exchange = exchange
	exchange.body.ended = make(chan struct{})
	if failed != nil {
		request = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	}
	request.RemoteAddr = connection.conn.RemoteAddr().String()
	exchange.request = request.WithContext(context.WithValue(connection.requests, exchangeKey{}, exchange))
	exchange.body.reader = request.Body
	if request.Body == nil || request.Body == http.NoBody {
		exchange.body.end()
	} else {
		exchange.request.Body = &exchange.body
		exchange.body.expected = request.Header.Get("Expect") != ""
	}
	return exchange
}

// prepare decodes the request and reads the part of its body that is buffered, so
// that the connection can be read further while the request waits for others.
func (exchange *exchange) prepare() {
	if exchange.failed != nil {
		return
	}
	acceptor, request := exchange.connection.acceptor, exchange.request
	exchange.size = len(request.RequestURI)
	for name, values := range request.Header {
		for _, value := range values {
			exchange.size += len(name) + len(value)
		}
	}
	exchange.decoded, exchange.decodeErr = acceptor.protocol.Decode(request)
	if exchange.decodeErr != nil {
		return
	}
	exchange.decoded = exchange.decoded.WithArrival(acceptor.clock.Now())
	exchange.repeatable = acceptor.dispatcher.Repeatable(exchange.decoded)
	if !exchange.body.complete.Load() {
		exchange.head = exchange.decoded
		exchange.connection.startReading(exchange)
		defer func() {
			if refusal := exchange.connection.endReading(); refusal != nil {
				exchange.decodeErr = refusal
			}
		}()
	}
	if exchange.body.expected {
		exchange.size += dispatcher.BufferedBodyBytes
		return
	}
	exchange.readBody()
	exchange.size += int(exchange.body.bytes)
}

// maxHeldBodyBytes bounds the buffered bodies of all requests together: the number of
// requests is bounded by descriptors alone.
const maxHeldBodyBytes = 32 << 20

// bodyRetryAfter is the time after which a caller may come again whose request was
// refused for lack of memory for its body.
const bodyRetryAfter = 200 * time.Millisecond

// reserveBody reserves memory for the buffered part of the body. It reports whether
// there is some.
func (exchange *exchange) reserveBody() bool {
	size := exchange.request.ContentLength
	if size < 0 || size > dispatcher.BufferedBodyBytes {
		size = dispatcher.BufferedBodyBytes
	}
	if !exchange.connection.acceptor.bodies.Reserve(size, maxHeldBodyBytes) {
		return false
	}
	exchange.reserved = size
	return true
}

// releaseBody releases the memory that the body has reserved beyond used bytes.
func (exchange *exchange) releaseBody(used int64) {
	if spare := exchange.reserved - used; spare > 0 {
		exchange.connection.acceptor.bodies.Release(spare)
		exchange.reserved = used
	}
}

// readBody attaches the body to the request for the dispatcher. Handlers of other paths
// read the same body.
func (exchange *exchange) readBody() {
	if !exchange.reserveBody() {
		exchange.decodeErr = refuser.New(refuser.KindOverloaded, refuser.NotRun,
			"the bodies of other requests take all memory for bodies").WithRetryAfter(bodyRetryAfter)
		return
	}
	defer func() { exchange.releaseBody(exchange.body.bytes) }()
	request, err := exchange.decoded.WithBody(exchange.request.Body, exchange.request.ContentLength)
	if err != nil {
		exchange.decodeErr = exchange.bodyError(err)
		return
	}
	exchange.decoded = request
	if body := request.Body(); body != nil {
		exchange.request.Body = io.NopCloser(body)
	}
}

// bodyError returns the refusal of a request whose body can't be read because of err.
func (exchange *exchange) bodyError(err error) error {
	switch {
	case context.Cause(exchange.connection.requests) == errStopTimeout:
		return stopOver(refuser.NotRun).WithCause(err)
	case isTimeout(err):
		return refuser.New(refuser.KindBodyTimeout, refuser.NotRun, "the body did not arrive in time").WithCause(err)
	}
	return badRequest("the body broke off").WithCause(err)
}

// stopOver returns the refusal of a request that is given up at the end of a stop.
func stopOver(ran refuser.Ran) *refuser.Refusal {
	if ran == refuser.NotRun {
		return refuser.New(refuser.KindLeaving, ran, "the host stopped before the request was sent")
	}
	return refuser.New(refuser.KindOutcomeUnknown, ran, "the host stopped before the answer came")
}

// givenUp returns err, or the refusal that tells the caller about the stop if the request
// was cancelled because of its end.
func (exchange *exchange) givenUp(err error) error {
	refusal := new(refuser.Refusal)
	if !errors.As(err, &refusal) || refusal.Kind() != refuser.KindCancelled ||
		context.Cause(exchange.connection.requests) != errStopTimeout {
		return err
	}
	return stopOver(refusal.Ran()).WithCause(err)
}

// run handles the request and writes its response.
func (exchange *exchange) run() {
	defer exchange.finish()
	defer exchange.recover()
	exchange.stage = stageWaiting
	if !exchange.awaitOrder() {
		return
	}
	exchange.stage = stageDispatched
	if exchange.failed != nil {
		exchange.response.header.Set("Content-Type", "text/plain; charset=utf-8")
		exchange.response.WriteHeader(exchange.failed.status)
		_, _ = fmt.Fprintln(&exchange.response, exchange.failed)
	} else {
		exchange.connection.acceptor.echo.ServeHTTP(&exchange.response, exchange.request)
	}
	exchange.response.end()
}

// awaitOrder waits until the request may run. It returns false if the caller left.
func (exchange *exchange) awaitOrder() bool {
	before := exchange.barrier
	if !exchange.repeatable {
		before = exchange.previous
	}
	select {
	case <-before:
		return exchange.connection.ctx.Err() == nil
	case <-exchange.connection.ctx.Done():
		return false
	}
}

// awaitTurn waits until the responses before this one have been written. It returns
// false if the connection has ended.
func (exchange *exchange) awaitTurn() bool {
	select {
	case <-exchange.previous:
	case <-exchange.connection.ctx.Done():
	}
	return exchange.connection.ctx.Err() == nil
}

// recover ends the connection if the handler has panicked.
func (exchange *exchange) recover() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		klog.ErrorS(nil, "request failed with a panic; please report it", "cause", cause, "stack", string(debug.Stack()))
	}
	exchange.response.abort()
}

// finish ends the exchange.
func (exchange *exchange) finish() {
	exchange.body.close()
	exchange.logCut()
	exchange.releaseBody(0)
	exchange.response.release()
	exchange.connection.remove(exchange)
	close(exchange.done)
}
