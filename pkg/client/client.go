// Package client is what a Go caller imports to send requests through
// chivespool. A [Client] asks any entry host where to go for a service, keeps
// the answer while it holds, sends requests to the first address, and goes to
// the next one only where that is safe: the request surely did not run, or it
// is repeatable.
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
)

// Bounds of a Client.
const (
	// whereTimeout bounds one question of where to go.
	whereTimeout = 2 * time.Second
	// tries bounds the entry hosts that one request is sent to.
	tries = 4
	// problemBytes bounds a refusal's document.
	problemBytes = 64 << 10
	idleEach     = 256
	// idleTimeout is below the entry hosts', so that they do not close a
	// connection in the moment of its next request.
	idleTimeout = 30 * time.Second
)

// Client sends requests through chivespool; it is safe for concurrent use.
// Make one with New.
type Client struct {
	entries    []string
	region     string
	dataCentre string
	seed       string
	http       *http.Client
	// mu guards kept.
	mu sync.Mutex
	// kept holds the answers of where to go by service.
	kept map[string]*kept
}

// kept is one answer of where to go.
type kept struct {
	where Where
	until time.Time
}

// New returns a client that asks the entry hosts at the addresses entries
// (IP:port) where to go.
func New(entries ...string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleEach, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{entries: entries, http: &http.Client{Transport: transport}, kept: make(map[string]*kept)}
}

// WithPlace says where the caller stands, so that it is sent to hosts nearby.
func (client *Client) WithPlace(region, dataCentre string) *Client {
	client.region = region
	client.dataCentre = dataCentre
	return client
}

// WithSeed sets what spreads this caller over equal hosts.
func (client *Client) WithSeed(seed string) *Client {
	client.seed = seed
	return client
}

// Close closes the connections that are kept.
func (client *Client) Close() error {
	client.http.CloseIdleConnections()
	return nil
}

// Do sends request to an entry host. The caller must close the answer's body.
// Errors are a [*Problem] where chivespool refused, an [*UnreachableError]
// where nothing was sent, or an [*OutcomeUnknownError].
func (client *Client) Do(ctx context.Context, request *Request) (*http.Response, error) {
	// doubt is the failure of a try that may have run, if there was one.
	var doubt, last error
	for try := range tries {
		address, err := client.address(ctx, request.service, try)
		if err != nil {
			return nil, final(doubt, &UnreachableError{service: request.service, cause: errors.Join(last, err)})
		}
		response, err := client.send(ctx, address, request)
		if err == nil {
			return response, nil
		}
		last = err
		if !notRun(err) {
			doubt = err
		}
		if ctx.Err() != nil || !safeElsewhere(request, err) {
			break
		}
		client.forget(request.service)
	}
	return nil, final(doubt, last)
}

// final returns what a caller learns of a request whose last failure is last:
// after a try that may have run, no later one makes it not run.
func final(doubt, last error) error {
	if doubt == nil || !notRun(last) {
		return last
	}
	return &OutcomeUnknownError{cause: errors.Join(doubt, last)}
}

// notRun reports whether a request that failed with err surely did not run.
func notRun(err error) bool {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem.NotRun()
	}
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// safeElsewhere reports whether a request that failed with err may be sent to
// another entry host.
func safeElsewhere(request *Request, err error) bool {
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
	// From a connection on, bytes of the request may have left.
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	outgoing, err := request.encode(httptrace.WithClientTrace(ctx, trace), address)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Transport.RoundTrip(outgoing)
	if err != nil && !sent {
		return nil, &UnreachableError{service: request.service, cause: err}
	}
	if err != nil {
		return nil, &OutcomeUnknownError{address: address, cause: err}
	}
	if response.Header.Get("Content-Type") == ProblemType && response.Header.Get("Proxy-Status") != "" {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(address, response.Body)
	}
	return response, nil
}

func readProblem(address string, body io.Reader) error {
	problem := &Problem{}
	if err := json.NewDecoder(io.LimitReader(body, problemBytes)).Decode(problem); err != nil {
		return &OutcomeUnknownError{address: address, cause: err}
	}
	return problem
}

// address returns the entry host for the try given, from 0.
func (client *Client) address(ctx context.Context, service string, try int) (string, error) {
	where, err := client.Where(ctx, service)
	if err != nil {
		return "", err
	}
	addresses := where.Addresses()
	if len(addresses) == 0 {
		return "", fmt.Errorf("no entry host is named for %s", service)
	}
	return addresses[try%len(addresses)], nil
}

// Where returns which addresses to use for service, from memory while the
// last answer holds.
func (client *Client) Where(ctx context.Context, service string) (Where, error) {
	now := time.Now()
	client.mu.Lock()
	known := client.kept[service]
	client.mu.Unlock()
	if known != nil && now.Before(known.until) {
		return known.where, nil
	}
	where, err := client.ask(ctx, service)
	if err != nil && known != nil {
		return known.where, nil // An old answer is better than none.
	}
	if err != nil {
		return Where{}, err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	client.kept[service] = &kept{where: where, until: now.Add(where.Hold())}
	return where, nil
}

// forget lets the next try ask where to go again, since the answer may be old.
func (client *Client) forget(service string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if known := client.kept[service]; known != nil {
		known.until = time.Time{}
	}
}

// ask asks the entry hosts, those last named for the service first.
func (client *Client) ask(ctx context.Context, service string) (Where, error) {
	var last error
	for _, entry := range client.candidates(service) {
		where, err := client.askOne(ctx, entry, service)
		if err == nil {
			return where, nil
		}
		last = err
	}
	if last == nil {
		last = errors.New("the client was given no entry address")
	}
	return Where{}, last
}

func (client *Client) candidates(service string) []string {
	client.mu.Lock()
	defer client.mu.Unlock()
	candidates := append([]string(nil), client.entries...)
	if known := client.kept[service]; known != nil {
		candidates = append(candidates, known.where.AddressList...)
	}
	return candidates
}

func (client *Client) askOne(ctx context.Context, entry, service string) (Where, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
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
	err = json.NewDecoder(io.LimitReader(response.Body, problemBytes)).Decode(&where)
	return where, err
}
