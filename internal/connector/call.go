package connector

import (
	"bytes"
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
)

// DefaultTimeout bounds a call to the platform that has no tighter deadline; a
// watch may take its wait on top.
const DefaultTimeout = 2 * time.Second

const (
	// maxAnswerBytes bounds an answer: a value of 1 MB in base64, and some room.
	maxAnswerBytes = 2 << 20
	// maxIdleConnections is how many idle connections are kept to one service
	// of the platform; more calls at once open more.
	maxIdleConnections = 8
	idleTimeout        = 60 * time.Second
)

// Option sets one property of a new Store or HostList.
type Option func(*Caller)

// WithTimeout bounds each call in place of DefaultTimeout.
func WithTimeout(timeout time.Duration) Option {
	return func(caller *Caller) { caller.timeout = timeout }
}

// WithRegistry registers the counters of calls in registry.
func WithRegistry(registry metrics.Registry) Option {
	return func(caller *Caller) { caller.registry = registry }
}

// WithTransport sends calls through transport. It must not send a request
// again that may have reached the platform.
func WithTransport(transport http.RoundTripper) Option {
	return func(caller *Caller) { caller.client.Transport = transport }
}

// Caller makes and counts calls to one service of the platform. Make one with
// NewCaller.
type Caller struct {
	baseURL  string
	timeout  time.Duration
	registry metrics.Registry
	client   http.Client
	calls    Calls
}

// NewCaller returns a caller of the service at baseURL, whose counters are
// named for service.
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

// newTransport returns a transport that sends a write again only where no byte
// of it was written: net/http replays a request whose answer was lost only for
// safe methods and those with an idempotency key, and calls carry none.
func newTransport() *http.Transport {
	dialer := dialer.New(DefaultTimeout)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Calls returns the counters of the calls made so far.
func (caller *Caller) Calls() *Calls { return &caller.calls }

// Close drops idle connections; no goroutine of the caller's own is left.
func (caller *Caller) Close() error {
	caller.client.CloseIdleConnections()
	return nil
}

// Call is one exchange with the platform.
type Call struct {
	operation string
	method    string
	path      string
	// effect is true where the call may change the platform's state.
	effect bool
	// wait is how long the platform may hold the answer back on purpose.
	wait time.Duration
	body any
}

// NewCall returns a call that changes nothing; operation names it in errors.
func NewCall(operation, method, path string) Call {
	return Call{operation: operation, method: method, path: path}
}

// WithWait returns a copy whose answer may be held back on purpose for wait.
func (call Call) WithWait(wait time.Duration) Call {
	call.wait = wait
	return call
}

// WithEffect returns a copy that may change the platform's state; body is sent
// as JSON unless it is nil.
func (call Call) WithEffect(body any) Call {
	call.effect = true
	call.body = body
	return call
}

// Fail returns the failure of the call with cause: Unknown where it may have
// had an effect, else Unavailable.
func (call Call) Fail(cause error) *CallError {
	return NewError(lossKind(call.effect), call.operation, cause)
}

// FailAs returns the failure of the call as kind.
func (call Call) FailAs(kind ErrorKind, cause error) *CallError {
	return NewError(kind, call.operation, cause)
}

// do sends call, decodes a good answer into answer, and types any failure.
func (caller *Caller) do(ctx context.Context, call Call, answer any) error {
	return caller.Exchange(ctx, call, func(status int, body []byte) error {
		return decode(call, status, body, answer)
	})
}

// Exchange sends call and hands the status and the body of its answer to read,
// whose error it returns. A call that was not answered fails as a [CallError].
func (caller *Caller) Exchange(ctx context.Context, call Call, read func(status int, body []byte) error) error {
	err := caller.exchange(ctx, call, read)
	var failure *CallError
	failed := errors.As(err, &failure) && (failure.kind == Unknown || failure.kind == Unavailable)
	caller.calls.note(!failed, time.Now())
	return err
}

func (caller *Caller) exchange(ctx context.Context, call Call, read func(status int, body []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, caller.timeout+call.wait)
	defer cancel()
	// sent is true once a connection was given to the request: from there on
	// bytes of it may have reached the platform.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return call.Fail(err)
	}
	return read(response.StatusCode, data)
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
		return nil, fmt.Errorf("make %s: %w", call.operation, err)
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// lossKind returns the kind of a call whose answer never came.
func lossKind(mayHaveEffect bool) ErrorKind {
	if mayHaveEffect {
		return Unknown
	}
	return Unavailable
}

// failure is the platform's answer to a call that it did not serve.
type failure struct {
	Applied *bool  `json:"applied"`
	Reason  string `json:"reason"`
}

// decode reads the answer of call or types its failure.
func decode(call Call, status int, data []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return NewError(lossKind(call.effect), call.operation, err)
		}
		return nil
	}
	var failure failure
	// A body that is no JSON leaves failure empty, which is the cautious case.
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
