// Package sender makes one attempt to send a request to an endpoint over
// HTTP/1.1 and reads the head of the answer. It never sends twice by itself.
//
// The package keeps its own connections, since what may be concluded from a
// failure rests on what was written to one: net/http reads and writes the
// messages, but its Transport replays requests and takes whatever comes next
// on a connection for the answer. An attempt is one task, written straight
// down; a large body is sent by a second one.
package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dialer"
	"github.com/chivespool/chivespool/internal/dispatcher"
)

// Bounds on what comes back beside the answer.
const (
	// refusalBytes bounds how much of a refusal's body is read to keep its
	// connection.
	refusalBytes = 4 << 10
	// foreignMost bounds the answers of other requests that are passed over on
	// one connection, and foreignBytes each of their bodies.
	foreignMost  = 3
	foreignBytes = 1 << 20
	// smallBodyBytes is the size up to which a body is sent by the attempt's own
	// task: the send buffer takes it, so that it can't block.
	smallBodyBytes = 4 << 10
)

// proofAge is how long a kept connection is trusted with a request that may run
// only once: endpoints drop idle connections unseen.
const proofAge = 50 * time.Millisecond

// Sender sends requests to endpoints. Make one with New.
type Sender struct {
	dialer    net.Dialer
	dialect   Dialect
	headBytes int
	// proofAge is how long ago a kept connection must have carried an answer for
	// a request that may run only once.
	proofAge time.Duration
	keeper
}

// New returns a sender that gives up on a connection after connectTimeout and
// on an answer whose head is over headBytes bytes.
func New(connectTimeout time.Duration, headBytes int) *Sender {
	return &Sender{dialer: dialer.New(connectTimeout), dialect: Plain{}, headBytes: headBytes, proofAge: proofAge}
}

// SetDialect replaces the product's own dialect.
func (sender *Sender) SetDialect(dialect Dialect) { sender.dialect = dialect }

// SetProofAge sets for how long a kept connection is trusted with a request that
// may run only once; 0 proves it each time.
func (sender *Sender) SetProofAge(age time.Duration) { sender.proofAge = age }

// Send sends request to endpoint once. Every error is a [dispatcher.Failure].
// The answer's body must be closed; ctx covers it as well.
func (sender *Sender) Send(ctx context.Context, endpoint definer.Endpoint, request *dispatcher.Request) (*dispatcher.Answer, error) {
	connection, err := sender.connect(ctx, endpoint, request.AtMostOnce())
	if err != nil {
		return nil, dispatcher.NewFailure(causeOf(ctx, dispatcher.Unconnected), false, err)
	}
	exchange := &exchange{sender: sender, connection: connection, endpoint: endpoint, request: request, ctx: ctx}
	answer, err := exchange.carry()
	if err == nil {
		return answer, nil
	}
	exchange.abort()
	if connection.written == exchange.before {
		return nil, dispatcher.NewFailure(causeOf(ctx, dispatcher.Unconnected), false, err)
	}
	failure := new(dispatcher.Failure)
	if errors.As(err, &failure) {
		return nil, failure
	}
	return nil, dispatcher.NewFailure(causeOf(ctx, dispatcher.Lost), true, err)
}

// exchange is one request and its answer on a connection.
type exchange struct {
	sender     *Sender
	connection *connection
	endpoint   definer.Endpoint
	request    *dispatcher.Request
	ctx        context.Context
	// stop ends the watch over ctx.
	stop func() bool
	// before is what the connection had written before the request.
	before int64
	// upload is the body on its way; nil where it was sent with the head.
	upload *upload
	// tainted is true where an answer of another request came by.
	tainted bool
}

// carry sends the request and reads up to the head of its answer.
func (exchange *exchange) carry() (*dispatcher.Answer, error) {
	connection := exchange.connection
	exchange.before = connection.written
	exchange.stop = context.AfterFunc(exchange.ctx, connection.interrupt)
	if err := exchange.write(); err != nil {
		return nil, err
	}
	response, verdict, err := exchange.read()
	if err != nil {
		return nil, err
	}
	switch verdict {
	case Own:
		return exchange.answer(response), nil
	case Improper:
		return nil, dispatcher.NewFailure(dispatcher.Malformed, true, errors.New("the answer can't be the endpoint's"))
	}
	return nil, exchange.refused(response, verdict)
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
	exchange.sender.dialect.Sign(header, exchange.endpoint, request, left)
	head := exchange.connection.head(request.Method(), request.Target(),
		exchange.sender.dialect.Authority(exchange.endpoint, request), header, request.Length())
	body := request.Body()
	if body != nil && request.Length() > 0 && request.Length() <= smallBodyBytes {
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

// read returns the first answer that is not another request's.
func (exchange *exchange) read() (*http.Response, Verdict, error) {
	for range foreignMost {
		response, err := exchange.connection.readHead(exchange.request.Method(), exchange.sender.headBytes)
		if err != nil {
			return nil, Improper, err
		}
		verdict := exchange.sender.dialect.Judge(response, exchange.request)
		if verdict != Foreign {
			return response, verdict, nil
		}
		exchange.tainted = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, foreignBytes)); err != nil {
			return nil, Improper, err
		}
	}
	return nil, Improper, errors.New("only answers of other requests come back")
}

var refusalCauses = map[Verdict]dispatcher.Cause{
	Refused: dispatcher.Shed, Leaving: dispatcher.Draining, Elsewhere: dispatcher.Misdirected,
}

// refused ends an exchange whose request did not run.
func (exchange *exchange) refused(response *http.Response, verdict Verdict) error {
	count, err := io.CopyN(io.Discard, response.Body, refusalBytes)
	if err == io.EOF && count < refusalBytes {
		exchange.finish(response)
	}
	return dispatcher.NewFailure(refusalCauses[verdict], true, nil)
}

func (exchange *exchange) answer(response *http.Response) *dispatcher.Answer {
	report := exchange.sender.dialect.Report(response.Header)
	header := response.Header
	stripHopByHop(header)
	header.Del("Content-Length")
	body := &answerBody{exchange: exchange, response: response}
	answer := dispatcher.NewAnswer(response.StatusCode, header, response.ContentLength, body)
	return answer.WithDraining(!report.Healthy()).WithReport(report.Running(), report.Slots())
}

// finish keeps the connection for another request, or closes it where what
// comes next on it can't be told.
func (exchange *exchange) finish(response *http.Response) {
	if !exchange.stop() {
		exchange.abort() // ctx has ended and interrupted the connection.
		return
	}
	sent := exchange.upload == nil || exchange.upload.sent()
	if exchange.tainted || response.Close || !delimited(response) || !sent {
		exchange.abort()
		return
	}
	exchange.connection.note(response.Header)
	exchange.sender.put(exchange.connection)
	exchange.connection = nil
}

// abort closes the connection, unless it is kept already.
func (exchange *exchange) abort() {
	exchange.stop()
	if exchange.connection == nil {
		return
	}
	_ = exchange.connection.Close()
	if exchange.upload != nil {
		exchange.upload.wait()
	}
}

// answerBody is the body of an answer; its errors are failures.
type answerBody struct {
	exchange *exchange
	response *http.Response
	// ended is true once the exchange is finished or aborted.
	ended bool
}

// Read reads the body; net/http tells a cut from an end by the length, the
// last chunk, or the way in which the connection ends.
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

// Close ends the exchange; before the end of the body it closes the connection.
func (answerBody *answerBody) Close() error {
	if !answerBody.ended {
		answerBody.ended = true
		answerBody.exchange.abort()
	}
	return nil
}

// causeOf returns why ctx ended, or otherwise where it has not.
func causeOf(ctx context.Context, otherwise dispatcher.Cause) dispatcher.Cause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatcher.Overdue
	case ctx.Err() != nil:
		return dispatcher.Abandoned
	}
	return otherwise
}

// Ask sends a health check to endpoint over a connection that a request may
// use next, and returns what the endpoint says of itself.
func (sender *Sender) Ask(ctx context.Context, endpoint definer.Endpoint) (definer.Report, error) {
	connection := sender.take(endpoint, time.Now())
	if connection != nil {
		if report, err := sender.ask(ctx, connection, endpoint); err == nil || ctx.Err() != nil {
			return report, err
		}
	}
	connection, err := sender.dial(ctx, endpoint)
	if err != nil {
		return definer.Report{}, err
	}
	return sender.ask(ctx, connection, endpoint)
}

// ask makes a health check on connection, which it keeps or closes.
func (sender *Sender) ask(ctx context.Context, connection *connection, endpoint definer.Endpoint) (definer.Report, error) {
	report, err := sender.check(ctx, connection, endpoint)
	if err != nil {
		_ = connection.Close()
		return definer.Report{}, err
	}
	sender.put(connection)
	return report, nil
}

func (sender *Sender) check(ctx context.Context, connection *connection, endpoint definer.Endpoint) (definer.Report, error) {
	stop := context.AfterFunc(ctx, connection.interrupt)
	defer stop()
	head := connection.head(http.MethodGet, endpoint.HealthPath(), endpoint.Address(), nil, 0)
	if _, err := connection.Write(head.Bytes()); err != nil {
		return definer.Report{}, err
	}
	response, err := connection.readHead(http.MethodGet, sender.headBytes)
	if err != nil {
		return definer.Report{}, err
	}
	report, ok := sender.dialect.Health(response, endpoint)
	if !ok {
		return definer.Report{}, errors.New("another answer came in place of the health check's")
	}
	count, err := io.CopyN(io.Discard, response.Body, refusalBytes)
	if err != io.EOF || count >= refusalBytes || !delimited(response) || !stop() {
		return definer.Report{}, errors.New("the answer to a health check was cut or too long")
	}
	connection.note(response.Header)
	if response.Close {
		connection.expires = time.Time{}.Add(1)
	}
	return report, nil
}

// connect returns a kept connection to endpoint or makes one. For a request
// that may run only once, a kept one must have answered just now.
func (sender *Sender) connect(ctx context.Context, endpoint definer.Endpoint, once bool) (*connection, error) {
	for {
		connection := sender.take(endpoint, time.Now())
		if connection == nil {
			return sender.dial(ctx, endpoint)
		}
		if !once || time.Since(connection.rested) <= sender.proofAge {
			return connection, nil
		}
		if !strings.HasPrefix(endpoint.HealthPath(), "/") {
			_ = connection.Close()
			continue
		}
		if _, err := sender.check(ctx, connection, endpoint); err == nil && !connection.expired(time.Now()) {
			return connection, nil
		}
		_ = connection.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}
