// Package sender makes one attempt to send a request to an endpoint over
// HTTP/1.1 and reads the head of the answer. It never sends twice by itself:
// net/http's Transport replays requests that it takes for idempotent, which
// the body given to it here prevents (see once).
package sender

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/chivespool/chivespool/internal/dispatcher"
)

// The headers agreed with backend servers; docs/PLATFORM.md describes them.
const (
	HeaderRequestID = "Request-Id"
	// HeaderTimeout carries the time left in milliseconds.
	HeaderTimeout       = "Request-Timeout-Ms"
	HeaderRan           = "Request-Ran"
	HeaderLoad          = "Endpoint-Load-Metrics"
	HeaderEndpointState = "Endpoint-State"
)

// Bounds on kept connections.
const (
	idleEach    = 64
	idleTimeout = 90 * time.Second
	// refusalBytes bounds how much of a refusal's body is read to keep its
	// connection.
	refusalBytes = 4 << 10
)

// Sender sends requests to endpoints. Make one with New.
type Sender struct {
	transport *http.Transport
}

// New returns a sender that gives up on a connection after connectTimeout and
// on an answer whose head is over headBytes bytes.
func New(connectTimeout time.Duration, headBytes int) *Sender {
	return &Sender{transport: &http.Transport{
		DialContext:            newDialer(connectTimeout).dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleEach,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: int64(headBytes),
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}}
}

// Close closes the kept connections; those in use close with their answers.
func (sender *Sender) Close() error {
	sender.transport.CloseIdleConnections()
	return nil
}

// Send sends request to address once. Every error is a [dispatcher.Failure].
// The answer's body must be closed; ctx covers it as well.
func (sender *Sender) Send(ctx context.Context, address string, request *dispatcher.Request) (*dispatcher.Answer, error) {
	var flight flight
	outgoing, err := sender.encode(httptrace.WithClientTrace(ctx, flight.trace()), address, request)
	if err != nil {
		return nil, dispatcher.NewFailure(dispatcher.Malformed, false, err)
	}
	response, err := sender.transport.RoundTrip(outgoing)
	if err != nil {
		return nil, flight.failure(ctx, err)
	}
	if refused(response) {
		discard(response.Body)
		return nil, dispatcher.NewFailure(refusalCause(response), true, nil)
	}
	if !delimited(response) {
		_ = response.Body.Close()
		return nil, dispatcher.NewFailure(dispatcher.Malformed, true, errors.New("answer has no length"))
	}
	return decode(ctx, response), nil
}

func (sender *Sender) encode(ctx context.Context, address string, request *dispatcher.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.Target())
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = address
	header := request.Header().Clone()
	stripHopByHop(header)
	header.Set(HeaderRequestID, request.ID())
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "")
	}
	outgoing := &http.Request{
		Method: request.Method(), URL: target, Header: header, Host: address,
		ProtoMajor: 1, ProtoMinor: 1, Body: &once{reader: request.Body()}, ContentLength: request.Length(),
	}
	return outgoing.WithContext(ctx), nil
}

// once is a request body. As it is never nil and can't be had again, the
// Transport never replays the request that it belongs to, whatever the
// method and whether or not an Idempotency-Key is there.
type once struct {
	// reader is nil for an empty body.
	reader io.Reader
}

// Read reads the body.
func (once *once) Read(buffer []byte) (int, error) {
	if once.reader == nil {
		return 0, io.EOF
	}
	return once.reader.Read(buffer)
}

// Close does nothing: the front end owns the caller's body.
func (once *once) Close() error { return nil }

// refused reports whether the backend server says that it did not run the request.
func refused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderRan) == "no"
}

func refusalCause(response *http.Response) dispatcher.Cause {
	if draining(response.Header) {
		return dispatcher.Draining
	}
	return dispatcher.Shed
}

// draining reports whether the endpoint says that it drains.
func draining(header http.Header) bool { return header.Get(HeaderEndpointState) == "draining" }

// delimited reports whether the end of the body can be told from a cut.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, refusalBytes)
	_ = body.Close()
}

func decode(ctx context.Context, response *http.Response) *dispatcher.Answer {
	header := response.Header
	inFlight, slots := parseLoad(header.Get(HeaderLoad))
	drains := draining(header)
	stripHopByHop(header)
	header.Del("Content-Length")
	body := &answerBody{ReadCloser: response.Body, ctx: ctx}
	answer := dispatcher.NewAnswer(response.StatusCode, header, response.ContentLength, body)
	return answer.WithDraining(drains).WithReport(inFlight, slots)
}

// answerBody turns read errors into failures.
type answerBody struct {
	io.ReadCloser
	ctx context.Context
}

// Read reads the body; net/http tells a cut from an end by the length or the
// last chunk.
func (answerBody *answerBody) Read(buffer []byte) (int, error) {
	count, err := answerBody.ReadCloser.Read(buffer)
	if err != nil && err != io.EOF {
		return count, dispatcher.NewFailure(causeOf(answerBody.ctx, dispatcher.Malformed), true, err)
	}
	return count, err
}

// flight follows one attempt to tell whether any byte of it left.
type flight struct {
	connection *connection
	// before is what the connection had written before this attempt.
	before int64
}

func (flight *flight) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if connection, ok := info.Conn.(*connection); ok {
			flight.connection = connection
			flight.before = connection.count()
		}
	}}
}

func (flight *flight) failure(ctx context.Context, err error) *dispatcher.Failure {
	if flight.connection == nil {
		return dispatcher.NewFailure(causeOf(ctx, dispatcher.Unconnected), false, err)
	}
	if flight.connection.seal() == flight.before {
		return dispatcher.NewFailure(causeOf(ctx, dispatcher.Unconnected), false, err)
	}
	return dispatcher.NewFailure(causeOf(ctx, dispatcher.Lost), true, err)
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
