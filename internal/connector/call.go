package connector

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/dialer"
	"github.com/chivespool/chivespool/internal/validator"
)

// DefaultTimeout bounds the time until the reply to a call begins, to which the wait
// of a watch is added, and each pause in the body of the reply.
const DefaultTimeout = 2 * time.Second

const (
	// maxAnswerBytes leaves room for a value of 1 MB in base64.
	maxAnswerBytes = 2 << 20
	// minAnswerRate, in bytes a second, bounds the time for the body of a reply: the
	// slowest link carries 1.25 MB a second, and requests of callers share it.
	minAnswerRate = 256 << 10
	// maxTransferTime is the longest time for the body of a reply.
	maxTransferTime = maxAnswerBytes / minAnswerRate * time.Second
	// maxIdleConnections bounds the idle connections kept to one service of the
	// platform; concurrent calls may open more.
	maxIdleConnections = 8
	idleTimeout        = 60 * time.Second
)

// Option configures a new Caller, Store or HostList.
type Option func(*Caller)

// WithTimeout sets the timeout of calls in place of DefaultTimeout.
func WithTimeout(timeout time.Duration) Option {
	return func(caller *Caller) { caller.timeout = timeout }
}

// WithRegistry registers the counters of calls in registry.
func WithRegistry(registry metrics.Registry) Option {
	return func(caller *Caller) { caller.registry = registry }
}

// WithTransport sends calls through transport, which must not retry a request that
// may have reached the platform.
func WithTransport(transport http.RoundTripper) Option {
	return func(caller *Caller) { caller.client.Transport = transport }
}

// Caller makes and counts calls to one service of the platform. NewCaller returns
// a Caller that is ready to use.
type Caller struct {
	baseURL  string
	timeout  time.Duration
	registry metrics.Registry
	client   http.Client
	calls    Calls
}

// NewCaller returns a caller of the service at baseURL; service is part of the
// names of its counters.
func NewCaller(baseURL, service string, options ...Option) Caller {
	caller := Caller{baseURL: strings.TrimSuffix(baseURL, "/"), timeout: DefaultTimeout}
	for _, option := range options {
		option(&caller)
	}
	if caller.client.Transport == nil {
		caller.client.Transport = newTransport()
	}
	caller.calls = newCalls(caller.registry, "platform."+service)
	return caller
}

// newTransport returns a transport that retries a write only if none of its bytes
// were sent: net/http replays a request after a lost reply only for safe methods
// and for requests with an idempotency key, which calls do not carry.
func newTransport() *http.Transport {
	dialer := dialer.New(DefaultTimeout)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Calls returns the call counters.
func (caller *Caller) Calls() *Calls { return &caller.calls }

// Close closes idle connections. A Caller has no goroutines of its own.
func (caller *Caller) Close() error {
	caller.client.CloseIdleConnections()
	return nil
}

// Call is a request to the platform.
type Call struct {
	operation string
	method    string
	path      string
	// effect is true if the call may change the platform's state.
	effect bool
	// wait is how long the platform may intentionally delay the reply.
	wait time.Duration
	// timeout is the longest time until the reply begins, without wait; 0 for the
	// caller's timeout.
	timeout time.Duration
	body    any
}

// NewCall returns a read-only call; operation names it in errors.
func NewCall(operation, method, path string) Call {
	return Call{operation: operation, method: method, path: path}
}

// WithWait returns a copy whose reply the platform may delay by up to wait.
func (call Call) WithWait(wait time.Duration) Call {
	call.wait = wait
	return call
}

// WithTimeout returns a copy whose reply must begin within timeout, in place of the
// caller's. Pauses in the body of the reply are still bounded by the caller's.
func (call Call) WithTimeout(timeout time.Duration) Call {
	call.timeout = timeout
	return call
}

// WithEffect returns a copy that may change the platform's state; body is sent
// as JSON unless it is nil.
func (call Call) WithEffect(body any) Call {
	call.effect = true
	call.body = body
	return call
}

// LostReplyError returns the failure of a call whose reply is missing or unusable:
// Unknown if the call may have had an effect, else Unavailable.
func (call Call) LostReplyError(cause error) *CallError {
	return NewError(lossKind(call.effect), call.operation, cause)
}

// NewError returns the failure of the call with kind and cause.
func (call Call) NewError(kind ErrorKind, cause error) *CallError {
	return NewError(kind, call.operation, cause)
}

// Reply is the platform's reply to a call.
type Reply struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status of the reply.
func (reply Reply) Status() int { return reply.status }

// Header returns the first value of a header, or "" if the reply does not have it.
func (reply Reply) Header(name string) string { return reply.header.Get(name) }

// Body returns the body of the reply.
func (reply Reply) Body() []byte { return reply.body }

// do sends call and decodes a successful reply into answer. Any failure is a
// [CallError].
func (caller *Caller) do(ctx context.Context, call Call, answer any) error {
	return caller.Exchange(ctx, call, func(reply Reply) error {
		return decode(call, reply.status, reply.body, answer)
	})
}

// Exchange sends call, passes the reply to read, and returns the error of read. A call
// without a reply fails with a [CallError].
func (caller *Caller) Exchange(ctx context.Context, call Call, read func(reply Reply) error) error {
	err := caller.exchange(ctx, call, read)
	var failure *CallError
	failed := errors.As(err, &failure) && (failure.kind == Unknown || failure.kind == Unavailable)
	caller.calls.recordResult(!failed, time.Now())
	return err
}

func (caller *Caller) exchange(ctx context.Context, call Call, read func(reply Reply) error) error {
	transfer := newTransfer(ctx, cmp.Or(call.timeout, caller.timeout)+call.wait)
	defer transfer.end()
	ctx = transfer.ctx
	// sent is true once the request has a connection: from then on, bytes of it may
	// have reached the platform.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := caller.newRequest(ctx, call)
	if err != nil {
		return NewError(Unavailable, call.operation, err)
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return NewError(lossKind(call.effect && sent.Load()), call.operation, err)
	}
	defer response.Body.Close()
	if err := validator.CheckHead(response); err != nil {
		return call.LostReplyError(err)
	}
	transfer.begin(response.Body, caller.timeout)
	data, err := io.ReadAll(io.LimitReader(transfer, maxAnswerBytes))
	if err != nil {
		return call.LostReplyError(err)
	}
	return read(Reply{status: response.StatusCode, header: response.Header, body: data})
}

func (caller *Caller) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		data, err := json.Marshal(call.body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", call.operation, err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, caller.baseURL+call.path, body)
	if err != nil {
		return nil, fmt.Errorf("create request to %s: %w", call.operation, err)
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// lossKind returns the kind of failure of a call whose reply was lost.
func lossKind(mayHaveEffect bool) ErrorKind {
	if mayHaveEffect {
		return Unknown
	}
	return Unavailable
}

// failure is the body of the platform's reply to a failed call.
type failure struct {
	Applied *bool  `json:"applied"`
	Reason  string `json:"reason"`
}

// decode decodes a successful reply into answer, or returns the call's failure.
func decode(call Call, status int, data []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return NewError(lossKind(call.effect), call.operation, err)
		}
		return nil
	}
	var failure failure
	// A body other than JSON leaves failure empty: a write then fails as Unknown.
	_ = json.Unmarshal(data, &failure)
	cause := fmt.Errorf("status %d: %s", status, failure.Reason)
	return NewError(statusKind(call, status, failure), call.operation, cause)
}

func statusKind(call Call, status int, failure failure) ErrorKind {
	switch status {
	case http.StatusConflict:
		return Conflict
	case http.StatusNotModified:
		return Unchanged
	case http.StatusRequestEntityTooLarge:
		return TooLarge
	}
	refused := failure.Applied != nil && !*failure.Applied
	return lossKind(call.effect && !refused)
}
