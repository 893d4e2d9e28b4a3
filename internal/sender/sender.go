// Package sender makes one attempt to send a request to an endpoint over
// HTTP/1.1, and probes endpoints, for packages dispatcher and assigner. It never
// retries.
//
// An attempt runs in its caller's goroutine; a second one sends a large body.
package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dialer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/validator"
)

// Limits on body sizes and on responses to other requests.
const (
	// maxDiscardBytes limits how much of the body of a rejection or of a health
	// check is read so that its connection can be reused.
	maxDiscardBytes = 4 << 10
	// maxForeign limits the responses to other requests that are skipped on one
	// connection, and maxForeignBytes limits the body of each.
	maxForeign      = 3
	maxForeignBytes = 1 << 20
	// inlineBodyBytes is the largest body that the attempt's own goroutine sends.
	// It fits into the socket's send buffer, so the write cannot block.
	inlineBodyBytes = 4 << 10
)

// defaultFreshness is the default of [Sender.SetFreshness].
const defaultFreshness = 50 * time.Millisecond

// Sender sends requests to endpoints. Make one with New.
//
// It has its own connection pool because whether a failed request may have run
// depends on whether any of it was written to the connection. net/http parses the
// messages, but its Transport replays requests and accepts the next message on a
// connection as the response.
type Sender struct {
	dialer    net.Dialer
	dialect   Dialect
	observer  Observer
	surveyor  Surveyor
	headBytes int
	// freshness is the longest idle time after which a pooled connection carries
	// an at-most-once request without a health check.
	freshness time.Duration
	// dialed counts the connections, to number them.
	dialed atomic.Uint64
	// checks learns of health checks that Probe was not asked for; nil for none.
	checks CheckRecorder
	meters meters
	idlePool
}

// New returns a sender that abandons a connection attempt after connectTimeout
// and rejects a response whose head exceeds headBytes bytes.
func New(connectTimeout time.Duration, headBytes int) *Sender {
	return &Sender{
		dialer: dialer.New(connectTimeout), dialect: Plain{}, observer: discardObserver{}, surveyor: discardSurveyor{},
		headBytes: headBytes, freshness: defaultFreshness,
	}
}

// Observer learns what endpoints state about themselves.
type Observer interface {
	// Record records the report in the head of an answer of endpoint to a request or to a
	// health check.
	Record(now time.Time, endpoint definer.Endpoint, report definer.Report)
}

// discardObserver is the default observer.
type discardObserver struct{}

// Record does nothing.
func (discardObserver) Record(time.Time, definer.Endpoint, definer.Report) {}

// SetObserver sets the observer of what endpoints state. Call it before the first use.
func (sender *Sender) SetObserver(observer Observer) { sender.observer = observer }

// CheckRecorder learns of health checks beside those that Probe is asked for.
type CheckRecorder interface {
	// RecordCheck records a health check of a connection that was idle for long, or one
	// that is repeated on another connection.
	RecordCheck(now time.Time)
}

// SetCheckRecorder sets what learns of health checks beside those that Probe is asked
// for. Call it before the first use.
func (sender *Sender) SetCheckRecorder(recorder CheckRecorder) { sender.checks = recorder }

// recordCheck records a health check that Probe was not asked for.
func (sender *Sender) recordCheck() {
	sender.meters.check()
	if sender.checks != nil {
		sender.checks.RecordCheck(time.Now())
	}
}

// Surveyor learns how far data centres are.
type Surveyor interface {
	// RecordRoundTrip records a measured round trip to an endpoint at place.
	RecordRoundTrip(now time.Time, place definer.Place, measured time.Duration)
}

// discardSurveyor is the default surveyor.
type discardSurveyor struct{}

// RecordRoundTrip does nothing.
func (discardSurveyor) RecordRoundTrip(time.Time, definer.Place, time.Duration) {}

// SetSurveyor sets the surveyor, which gets the times of connects and health checks. Call
// it before the first use.
func (sender *Sender) SetSurveyor(surveyor Surveyor) { sender.surveyor = surveyor }

// SetDialect replaces the default dialect, [Plain].
func (sender *Sender) SetDialect(dialect Dialect) { sender.dialect = dialect }

// SetFreshness sets the longest idle time after which a pooled connection carries
// an at-most-once request without a health check; 0 checks every time. Endpoints
// may drop idle connections without closing them, and a request lost that way
// cannot be sent again.
func (sender *Sender) SetFreshness(age time.Duration) { sender.freshness = age }

// Send sends request to endpoint once. Every error is a [dispatcher.Failure].
// The caller must close the answer; ctx also applies to reading its body.
func (sender *Sender) Send(ctx context.Context, endpoint definer.Endpoint, request *dispatcher.Request) (*dispatcher.Answer, error) {
	connection, err := sender.connect(ctx, endpoint, request)
	if err != nil {
		return nil, dispatcher.NewFailure(causeOf(ctx, dispatcher.Unconnected), false, err)
	}
	exchange := &exchange{sender: sender, connection: connection, endpoint: endpoint, request: request, ctx: ctx}
	answer, err := exchange.roundTrip()
	if err == nil {
		return answer, nil
	}
	exchange.abort()
	failure := new(dispatcher.Failure)
	switch {
	case errors.As(err, &failure):
		return nil, failure // A response has arrived; another request may use the connection now.
	case exchange.upload == nil && connection.written == exchange.writtenBefore:
		return nil, dispatcher.NewFailure(causeOf(ctx, dispatcher.Unconnected), false, err)
	}
	return nil, dispatcher.NewFailure(causeOf(ctx, dispatcher.ConnectionLost), true, err)
}

// exchange is one request and its response on a connection.
type exchange struct {
	sender     *Sender
	connection *connection
	endpoint   definer.Endpoint
	request    *dispatcher.Request
	ctx        context.Context
	// stop unregisters the interrupt that runs when ctx ends.
	stop func() bool
	// writtenBefore is the connection's count of written bytes before the request.
	writtenBefore int64
	// upload sends the body; it is nil if the body was sent with the head.
	upload *upload
	// keepAlive is the Keep-Alive header of the response.
	keepAlive string
	// sawForeign is true if a response to another request arrived.
	sawForeign bool
}

// roundTrip sends the request and reads the head of its response.
func (exchange *exchange) roundTrip() (*dispatcher.Answer, error) {
	connection := exchange.connection
	exchange.writtenBefore = connection.written
	exchange.stop = context.AfterFunc(exchange.ctx, connection.interrupt)
	if err := exchange.write(); err != nil {
		return nil, err
	}
	response, verdict, err := exchange.read()
	if err != nil {
		return nil, err
	}
	switch verdict {
	case Answered:
		return exchange.answer(response), nil
	case Invalid:
		return nil, dispatcher.NewFailure(dispatcher.Malformed, true, errors.New("the answer can't be the endpoint's"))
	case Refused, Draining:
		exchange.sender.observer.Record(time.Now(), exchange.endpoint, exchange.sender.dialect.Report(response))
	}
	return nil, exchange.rejected(response, verdict)
}

func (exchange *exchange) write() error {
	request := exchange.request
	header := request.Header().Clone()
	if header == nil {
		header = make(http.Header)
	}
	stripHopByHop(header)
	var left time.Duration
	if deadline, ok := exchange.ctx.Deadline(); ok {
		left = max(time.Until(deadline), time.Millisecond)
	}
	exchange.sender.dialect.SetHeaders(header, exchange.endpoint, request, left)
	head := exchange.connection.head(request.Method(), request.Target(),
		exchange.sender.dialect.Authority(exchange.endpoint, request), header, request.Length())
	body := request.Body()
	if body != nil && request.Length() > 0 && request.Length() <= inlineBodyBytes {
		if _, err := io.CopyN(head, body, request.Length()); err != nil {
			return err
		}
		body = nil
	}
	if _, err := exchange.connection.Write(head.Bytes()); err != nil {
		return err
	}
	if body != nil {
		exchange.upload = newUpload(exchange.connection, body, request.Length())
		go exchange.upload.run()
	}
	return nil
}

// read returns the first response that does not belong to another request.
func (exchange *exchange) read() (*http.Response, Verdict, error) {
	for range maxForeign {
		response, err := exchange.connection.readHead(exchange.request.Method(), exchange.sender.headBytes)
		if errors.Is(err, validator.ErrInvalid) {
			return nil, Invalid, dispatcher.NewFailure(dispatcher.Malformed, true, err)
		}
		if err != nil {
			return nil, Invalid, err
		}
		verdict := exchange.sender.dialect.Classify(response, exchange.request, exchange.writtenBefore > 0)
		if verdict != Foreign {
			return response, verdict, nil
		}
		exchange.sawForeign = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return nil, Invalid, err
		}
	}
	return nil, Invalid, errors.New("only answers of other requests come back")
}

var refusalCauses = map[Verdict]dispatcher.Cause{
	Refused: dispatcher.Shed, Draining: dispatcher.Draining, Misdirected: dispatcher.Misdirected,
}

// rejected returns the failure for a request that did not run. It drains a short
// body so that the connection can be reused.
func (exchange *exchange) rejected(response *http.Response, verdict Verdict) error {
	exchange.keepAlive = response.Header.Get("Keep-Alive")
	count, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	if err == io.EOF && count < maxDiscardBytes {
		exchange.finish(response)
	}
	return dispatcher.NewFailure(refusalCauses[verdict], true, nil)
}

func (exchange *exchange) answer(response *http.Response) *dispatcher.Answer {
	report := exchange.sender.dialect.Report(response)
	exchange.sender.observer.Record(time.Now(), exchange.endpoint, report)
	exchange.keepAlive = response.Header.Get("Keep-Alive")
	header := response.Header
	stripHopByHop(header)
	header.Del("Content-Length")
	body := &answerBody{exchange: exchange, response: response}
	answer := dispatcher.NewAnswer(response.StatusCode, header, response.ContentLength, body)
	return answer.WithDraining(!report.Healthy()).WithReport(report.Running(), report.Slots())
}

// finish returns the connection to the pool, or closes it if the start of the
// next response on it cannot be determined.
func (exchange *exchange) finish(response *http.Response) {
	if !exchange.stop() {
		exchange.abort() // ctx ended and interrupted the connection.
		return
	}
	sent := exchange.upload == nil || exchange.upload.sent()
	if exchange.sawForeign || response.Close || !delimited(response) || !sent {
		exchange.abort()
		return
	}
	exchange.connection.updateExpiry(exchange.keepAlive)
	exchange.sender.put(exchange.connection)
	exchange.connection = nil
}

// abort closes the connection, unless it was returned to the pool. It waits for the
// upload, so that the body can be sent again. An upload that reads from the caller, which
// may pause, is not waited for: such a body is not sent again, and the front end ends its
// reading.
func (exchange *exchange) abort() {
	exchange.stop()
	if exchange.connection == nil {
		return
	}
	_ = exchange.connection.Close()
	if exchange.upload != nil && exchange.request.Replayable() {
		exchange.upload.wait()
	}
}

// answerBody is the body of a response. Its errors are of type
// [dispatcher.Failure].
type answerBody struct {
	exchange *exchange
	response *http.Response
	// ended is true after the exchange was finished or aborted.
	ended bool
}

// Read reads the body, whose framing detects truncation; see connection.frame.
func (answerBody *answerBody) Read(buffer []byte) (int, error) {
	if answerBody.ended {
		return 0, io.EOF
	}
	count, err := answerBody.response.Body.Read(buffer)
	if err == io.EOF {
		answerBody.ended = true
		answerBody.exchange.finish(answerBody.response)
		return count, err
	}
	if err != nil {
		return count, dispatcher.NewFailure(causeOf(answerBody.exchange.ctx, dispatcher.Malformed), true, err)
	}
	return count, nil
}

// Close ends the exchange. It closes the connection if the body was not read to
// its end.
func (answerBody *answerBody) Close() error {
	if !answerBody.ended {
		answerBody.ended = true
		answerBody.exchange.abort()
	}
	return nil
}

// causeOf returns the cause for the error of ctx, or otherwise if ctx is not done.
func causeOf(ctx context.Context, otherwise dispatcher.Cause) dispatcher.Cause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatcher.DeadlineExceeded
	case ctx.Err() != nil:
		return dispatcher.Cancelled
	}
	return otherwise
}

// connect returns a pooled or new connection to endpoint that has not carried request
// yet. For an at-most-once request, a pooled connection that exceeds the freshness limit
// must first pass a health check.
func (sender *Sender) connect(ctx context.Context, endpoint definer.Endpoint, request *dispatcher.Request) (*connection, error) {
	usable := func(connection *connection) bool { return request.Carry(connection.number) }
	for {
		connection := sender.take(endpoint, time.Now(), usable)
		if connection == nil {
			return sender.dialFor(ctx, endpoint, request)
		}
		if !request.AtMostOnce() || time.Since(connection.lastUsed) <= sender.freshness {
			return connection, nil
		}
		if !strings.HasPrefix(endpoint.HealthPath(), "/") {
			_ = connection.Close()
			continue
		}
		sender.recordCheck()
		if _, err := sender.check(ctx, connection, endpoint); err == nil && !connection.expired(time.Now()) {
			return connection, nil
		}
		_ = connection.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// dialFor opens a connection that carries request.
func (sender *Sender) dialFor(ctx context.Context, endpoint definer.Endpoint, request *dispatcher.Request) (*connection, error) {
	connection, err := sender.dial(ctx, endpoint)
	if err != nil {
		return nil, err
	}
	request.Carry(connection.number)
	return connection, nil
}
