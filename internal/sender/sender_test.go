package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
)

// backend is a stub backend server that answers from a script with one raw
// response for each request. An empty response closes the connection.
type backend struct {
	listener net.Listener
	script   []string
	// received counts the requests on all connections.
	received atomic.Int64
	// head is the head of the last request.
	head atomic.Pointer[http.Request]
}

func startBackend(t *testing.T, script ...string) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &backend{listener: listener, script: script}
	go backend.serve()
	t.Cleanup(func() { _ = listener.Close() })
	return backend
}

func (backend *backend) serve() {
	for {
		conn, err := backend.listener.Accept()
		if err != nil {
			return
		}
		backend.answer(conn)
	}
}

func (backend *backend) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		backend.head.Store(request)
		index := int(backend.received.Add(1)) - 1
		if index >= len(backend.script) || backend.script[index] == "" {
			return
		}
		_, _ = io.WriteString(conn, backend.script[index])
		if strings.Contains(backend.script[index], "Connection: close") {
			return
		}
	}
}

func (backend *backend) endpoint() definer.Endpoint {
	return definer.NewEndpoint("ledger-1", "ledger", backend.listener.Addr().String(), definer.Place{}, 4)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newSender(t *testing.T) *Sender {
	t.Helper()
	sender := New(time.Second, 4096)
	t.Cleanup(func() { _ = sender.Close() })
	return sender
}

func newRequest(t *testing.T, method, body string, header http.Header) *dispatcher.Request {
	t.Helper()
	request, err := dispatcher.NewRequest("id-1", "ledger", method, "/x?y=1", header).
		WithBody(strings.NewReader(body), int64(len(body)))
	if err != nil {
		t.Fatal(err)
	}
	return request
}

func wantFailure(t *testing.T, err error, cause dispatcher.Cause) {
	t.Helper()
	var failure *dispatcher.Failure
	if !errors.As(err, &failure) || failure.Cause() != cause {
		t.Fatalf("got %v, want %v", err, cause)
	}
}

// TestNeverReplays checks that a request is not sent again after the backend
// server read it and closed the reused connection. net/http's Transport would
// resend each of these.
func TestNeverReplays(t *testing.T) {
	key := http.Header{"Idempotency-Key": {"transfer-7"}}
	for _, test := range []struct {
		method, body string
		header       http.Header
	}{
		{http.MethodGet, "", http.Header{}},
		{http.MethodPost, "", key},
		{http.MethodPost, "amount=5", key},
		{http.MethodPut, "", http.Header{"X-Idempotency-Key": {"a"}}},
	} {
		t.Run(fmt.Sprint(test.method, len(test.body)), func(t *testing.T) {
			backend := startBackend(t, okResponse, "", okResponse)
			sender := newSender(t)
			answer, err := sender.Send(t.Context(), backend.endpoint(), newRequest(t, test.method, test.body, test.header))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, answer)
			_ = answer.Close()
			_, err = sender.Send(t.Context(), backend.endpoint(), newRequest(t, test.method, test.body, test.header))
			wantFailure(t, err, dispatcher.ConnectionLost)
			if got := backend.received.Load(); got != 2 {
				t.Fatalf("the backend server received %d requests, want 2", got)
			}
		})
	}
}

func TestFailureCauses(t *testing.T) {
	for _, test := range []struct {
		name, script string
		cause        dispatcher.Cause
	}{
		{"shed", "HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\nContent-Length: 0\r\n\r\n", dispatcher.Shed},
		{
			"draining", "HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\nEndpoint-State: draining\r\nContent-Length: 0\r\n\r\n",
			dispatcher.Draining,
		},
		{"garbage", "\x00\x01garbage\r\n\r\n", dispatcher.ConnectionLost},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an answer", dispatcher.Malformed},
		{"large head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 10000) + "\r\n\r\n", dispatcher.ConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend := startBackend(t, test.script)
			_, err := newSender(t).Send(t.Context(), backend.endpoint(), newRequest(t, http.MethodGet, "", http.Header{}))
			wantFailure(t, err, test.cause)
		})
	}
}

func TestTruncatedResponsesFail(t *testing.T) {
	for name, script := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			backend := startBackend(t, script, "")
			sender := newSender(t)
			request := newRequest(t, http.MethodGet, "", http.Header{"Connection": {"close"}})
			answer, err := sender.Send(t.Context(), backend.endpoint(), request)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(answer)
			wantFailure(t, err, dispatcher.Malformed)
		})
	}
}

func TestRefusedConnectionIsUnconnected(t *testing.T) {
	backend := startBackend(t)
	endpoint := backend.endpoint()
	_ = backend.listener.Close()
	_, err := newSender(t).Send(t.Context(), endpoint, newRequest(t, http.MethodPost, "x", http.Header{}))
	wantFailure(t, err, dispatcher.Unconnected)
}

func TestContextErrors(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	backend := startBackend(t, okResponse)
	_, err := newSender(t).Send(cancelled, backend.endpoint(), newRequest(t, http.MethodPost, "x", http.Header{}))
	wantFailure(t, err, dispatcher.Cancelled)
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, err = newSender(t).Send(expired, backend.endpoint(), newRequest(t, http.MethodPost, "x", http.Header{}))
	wantFailure(t, err, dispatcher.DeadlineExceeded)
}

func TestHopByHopHeadersAreStripped(t *testing.T) {
	backend := startBackend(t, "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT in_flight=3, slots=4\r\n"+
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n")
	header := http.Header{"Connection": {"X-Secret"}, "X-Secret": {"1"}, "Te": {"trailers"}, "X-Kept": {"2"}}
	answer, err := newSender(t).Send(t.Context(), backend.endpoint(), newRequest(t, http.MethodGet, "", header))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Close() }()
	got := backend.head.Load().Header
	if got.Get("X-Secret") != "" || got.Get("Te") != "" || got.Get("X-Kept") != "2" || got.Get(HeaderRequestID) != "id-1" {
		t.Fatalf("the backend server got %v", got)
	}
	if answer.Header().Get("X-Hop") != "" || answer.Header().Get("X-End") != "2" {
		t.Fatalf("the caller got %v", answer.Header())
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT in_flight=2, slots=4, run_ms=1.2")
	f.Add("TEXT in_flight=1e300,slots=NaN,=,")
	f.Fuzz(func(t *testing.T, report string) {
		inFlight, slots := parseLoad(report)
		if inFlight < 0 || slots < 0 || inFlight > maxLoadValue || slots > maxLoadValue {
			t.Fatalf("%q: %d, %d", report, inFlight, slots)
		}
	})
}

// TestRejectedConnectionInUse sends requests that are rejected from several tasks over
// the same connections. Run with the race detector, it guards against a failed attempt
// using its connection after another has taken it from the pool.
func TestRejectedConnectionInUse(t *testing.T) {
	rejection := "HTTP/1.1 503 Busy\r\n" + HeaderRan + ": no\r\nContent-Length: 0\r\n\r\n"
	const tasks, requests = 4, 50
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		_, err = io.WriteString(connection, rejection)
		for err == nil {
			if _, err = http.ReadRequest(reader); err == nil {
				_, err = io.WriteString(connection, rejection)
			}
		}
	}))
	t.Cleanup(server.Close)
	sender := newSender(t)
	endpoint := definer.NewEndpoint("ledger-1", "ledger", server.Listener.Addr().String(), definer.Place{}, 4)
	var wait sync.WaitGroup
	for range tasks {
		wait.Go(func() {
			for range requests {
				_, err := sender.Send(t.Context(), endpoint, newRequest(t, http.MethodGet, "", nil))
				if failure := new(dispatcher.Failure); !errors.As(err, &failure) || failure.Cause() != dispatcher.Shed {
					t.Errorf("got %v, want a rejection", err)
				}
			}
		})
	}
	wait.Wait()
}

// surveyor counts round trips.
type surveyor struct{ count int }

func (surveyor *surveyor) RecordRoundTrip(_ time.Time, _ definer.Place, measured time.Duration) {
	if measured > 0 {
		surveyor.count++
	}
}

// TestRoundTripsMeasured checks that each connect and each health check measures a round
// trip.
func TestRoundTripsMeasured(t *testing.T) {
	backend, surveyor := startBackend(t, okResponse, okResponse, okResponse), &surveyor{}
	sender := New(time.Second, 64<<10)
	sender.SetSurveyor(surveyor)
	for range 2 {
		if _, err := sender.Probe(t.Context(), backend.endpoint().WithHealthPath("/health")); err != nil {
			t.Fatal(err)
		}
	}
	if surveyor.count != 3 {
		t.Errorf("%d round trips are measured by one connect and two health checks, want 3", surveyor.count)
	}
}
