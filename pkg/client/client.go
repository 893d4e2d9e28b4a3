// Package client sends requests through chivespool, for callers written in Go. A
// [Client] looks up the entry hosts of a service at any entry host, caches the
// result for its hold time, and sends requests to the first address.
//
// A Client retries at the next address only if that is safe: the request
// certainly did not run, is repeatable or has an Idempotency-Key. It uses HTTP
// over persistent connections and the system clock.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/validator"
)

// Limits of a Client.
const (
	// lookupTimeout bounds one lookup at one entry host.
	lookupTimeout = 2 * time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxDocumentBytes bounds a problem document or a lookup result.
	maxDocumentBytes          = 64 << 10
	maxIdleConnectionsPerHost = 256
	// idleTimeout is shorter than that of the entry hosts. Otherwise an entry
	// host could close a connection just as the next request is sent on it.
	idleTimeout = 30 * time.Second
)

// Client sends requests through chivespool. It is safe for concurrent use. Use
// New to create a Client.
type Client struct {
	entries    []string
	region     string
	dataCentre string
	seed       string
	http       *http.Client
	// mu guards cache.
	mu sync.Mutex
	// cache holds the lookup results by service.
	cache map[string]*cachedWhere
}

// cachedWhere is a lookup result with its time of expiry.
type cachedWhere struct {
	where   Where
	expires time.Time
}

// New returns a client that looks up services at the entry hosts with the
// addresses entries (IP:port).
func New(entries ...string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{entries: entries, http: &http.Client{Transport: transport}, cache: make(map[string]*cachedWhere)}
}

// WithPlace sets the caller's location, so that lookups return nearby hosts.
func (client *Client) WithPlace(region, dataCentre string) *Client {
	client.region = region
	client.dataCentre = dataCentre
	return client
}

// WithSeed sets the seed that distributes callers over equally suitable hosts.
func (client *Client) WithSeed(seed string) *Client {
	client.seed = seed
	return client
}

// Close closes idle connections.
func (client *Client) Close() error {
	client.http.CloseIdleConnections()
	return nil
}

// Do sends request to an entry host. The caller must close the response body.
// The error is a [*Problem] if chivespool refused the request, an
// [*UnreachableError] if nothing was sent, or an [*OutcomeUnknownError].
func (client *Client) Do(ctx context.Context, request *Request) (*http.Response, error) {
	// ambiguous is the latest failure after which the request may have run.
	var ambiguous, last error
	for attempt := range maxAttempts {
		address, err := client.address(ctx, request.service, attempt)
		if err != nil {
			return nil, finalError(ambiguous, &UnreachableError{service: request.service, cause: errors.Join(last, err)})
		}
		response, err := client.send(ctx, address, request)
		if err == nil {
			return response, nil
		}
		last = err
		if !notRun(err) {
			ambiguous = err
		}
		if ctx.Err() != nil || !mayRetry(request, err) {
			break
		}
		client.expire(request.service)
	}
	return nil, finalError(ambiguous, last)
}

// finalError returns the error of a request whose last attempt failed with
// last. After an ambiguous attempt the outcome stays unknown, even if a later
// attempt did not run.
func finalError(ambiguous, last error) error {
	if ambiguous == nil || !notRun(last) {
		return last
	}
	return &OutcomeUnknownError{cause: errors.Join(ambiguous, last)}
}

// notRun reports whether a request that failed with err certainly did not run.
func notRun(err error) bool {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem.NotRun()
	}
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// mayRetry reports whether a request that failed with err may be sent to another
// entry host.
func mayRetry(request *Request, err error) bool {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem.NotRun() && (problem.Kind == "host-leaving" || problem.Kind == "no-configuration")
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return true
	}
	return request.repeatable || request.key != ""
}

// send makes one attempt at address.
func (client *Client) send(ctx context.Context, address string, request *Request) (*http.Response, error) {
	// Once there is a connection, part of the request may have been sent.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	outgoing, err := request.encode(httptrace.WithClientTrace(ctx, trace), address)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Transport.RoundTrip(outgoing)
	if err != nil && !connected {
		return nil, &UnreachableError{service: request.service, cause: err}
	}
	if err != nil {
		return nil, &OutcomeUnknownError{address: address, cause: err}
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, &OutcomeUnknownError{address: address, cause: err}
	}
	if response.Header.Get("Content-Type") == ProblemType && response.Header.Get("Proxy-Status") != "" {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(address, response.Body)
	}
	return response, nil
}

// errNoLength is the error for a response whose truncation could not be detected.
var errNoLength = errors.New("the response has neither a length nor chunks; check that the address is an entry host's")

// checkResponse checks that an entry host can have sent the head of response. Entry hosts
// send each body with its length or in chunks.
func checkResponse(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return errNoLength
	}
	return validator.CheckHead(response)
}

func readProblem(address string, body io.Reader) error {
	problem := &Problem{}
	if err := json.NewDecoder(io.LimitReader(body, maxDocumentBytes)).Decode(problem); err != nil {
		return &OutcomeUnknownError{address: address, cause: err}
	}
	return problem
}

// address returns the entry host for an attempt, counted from 0.
func (client *Client) address(ctx context.Context, service string, attempt int) (string, error) {
	where, err := client.Where(ctx, service)
	if err != nil {
		return "", err
	}
	addresses := where.Addresses()
	if len(addresses) == 0 {
		return "", fmt.Errorf("the lookup of %s returned no entry host", service)
	}
	return addresses[attempt%len(addresses)], nil
}

// Where returns the addresses of the entry hosts for service. The result comes
// from the cache until it expires.
func (client *Client) Where(ctx context.Context, service string) (Where, error) {
	now := time.Now()
	client.mu.Lock()
	cached := client.cache[service]
	client.mu.Unlock()
	if cached != nil && now.Before(cached.expires) {
		return cached.where, nil
	}
	where, err := client.lookUp(ctx, service)
	if err != nil && cached != nil {
		return cached.where, nil // An expired result is better than none.
	}
	if err != nil {
		return Where{}, err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cache[service] = &cachedWhere{where: where, expires: now.Add(where.Hold())}
	return where, nil
}

// expire makes the next attempt look up service again, since the cached result
// may be outdated.
func (client *Client) expire(service string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if cached := client.cache[service]; cached != nil {
		cached.expires = time.Time{}
	}
}

// lookUp asks the configured entry hosts in turn, then those of the cached
// result.
func (client *Client) lookUp(ctx context.Context, service string) (Where, error) {
	var last error
	for _, entry := range client.candidates(service) {
		where, err := client.lookUpAt(ctx, entry, service)
		if err == nil {
			return where, nil
		}
		last = err
	}
	if last == nil {
		last = errors.New("the client has no entry addresses")
	}
	return Where{}, last
}

func (client *Client) candidates(service string) []string {
	client.mu.Lock()
	defer client.mu.Unlock()
	candidates := append([]string(nil), client.entries...)
	if cached := client.cache[service]; cached != nil {
		candidates = append(candidates, cached.where.AddressList...)
	}
	return candidates
}

func (client *Client) lookUpAt(ctx context.Context, entry, service string) (Where, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {service}}
	if client.region != "" {
		query.Set("region", client.region)
		query.Set("data-centre", client.dataCentre)
	}
	if client.seed != "" {
		query.Set("seed", client.seed)
	}
	target := "http://" + entry + "/where?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Where{}, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Where{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Where{}, readProblem(entry, response.Body)
	}
	var where Where
	err = json.NewDecoder(io.LimitReader(response.Body, maxDocumentBytes)).Decode(&where)
	return where, err
}
