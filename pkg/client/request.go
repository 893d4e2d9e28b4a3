package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request to a service.
type Request struct {
	service string
	method  string
	// target is the path and query for the backend server.
	target string
	header http.Header
	body   []byte
	// key is the Idempotency-Key, or empty.
	key        string
	timeout    time.Duration
	repeatable bool
}

// NewRequest returns a request to service. Only requests with a safe method are
// repeatable by default.
func NewRequest(service, method, target string, body []byte) *Request {
	safe := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return &Request{
		service: service, method: method, target: target, header: make(http.Header), body: body, repeatable: safe,
	}
}

// Header returns the header, which may be changed before the request is sent.
func (request *Request) Header() http.Header { return request.header }

// WithKey sets the Idempotency-Key, so that resending does not run the operation
// twice.
func (request *Request) WithKey(key string) *Request {
	request.key = key
	return request
}

// WithTimeout sets how long the backend server may take for the request.
func (request *Request) WithTimeout(timeout time.Duration) *Request {
	request.timeout = timeout
	return request
}

// WithRepeatable sets whether the request may run more than once.
func (request *Request) WithRepeatable(repeatable bool) *Request {
	request.repeatable = repeatable
	return request
}

func (request *Request) encode(ctx context.Context, address string) (*http.Request, error) {
	target := "http://" + address + "/s/" + request.service + "/" + strings.TrimPrefix(request.target, "/")
	// MultiReader hides the reader's type, so that net/http can't rewind the body
	// and resend the request.
	body := io.MultiReader(bytes.NewReader(request.body))
	outgoing, err := http.NewRequestWithContext(ctx, request.method, target, body)
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = int64(len(request.body))
	outgoing.Header = request.header.Clone()
	if request.key != "" {
		outgoing.Header.Set("Idempotency-Key", request.key)
	}
	if request.timeout > 0 {
		outgoing.Header.Set("Request-Timeout-Ms", strconv.FormatInt(request.timeout.Milliseconds(), 10))
	}
	return outgoing, nil
}
