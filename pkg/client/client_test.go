package client

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// entryHost is a fake entry host with a configurable lookup result. It counts
// lookups and requests.
type entryHost struct {
	*httptest.Server
	lookups  atomic.Int64
	received atomic.Int64
	// where is the lookup result.
	where atomic.Pointer[Where]
	// serve handles all other requests.
	serve http.HandlerFunc
}

func startEntryHost(t *testing.T, serve http.HandlerFunc) *entryHost {
	t.Helper()
	entryHost := &entryHost{serve: serve}
	entryHost.Server = httptest.NewServer(http.HandlerFunc(entryHost.handle))
	t.Cleanup(entryHost.Close)
	entryHost.setAddresses(entryHost.address())
	return entryHost
}

func (entryHost *entryHost) handle(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/where" {
		entryHost.lookups.Add(1)
		_ = json.NewEncoder(writer).Encode(entryHost.where.Load())
		return
	}
	entryHost.received.Add(1)
	entryHost.serve(writer, request)
}

func (entryHost *entryHost) address() string { return strings.TrimPrefix(entryHost.URL, "http://") }

// setAddresses sets the lookup result, valid for an hour.
func (entryHost *entryHost) setAddresses(addresses ...string) {
	where := NewWhere("ledger", addresses, time.Hour)
	entryHost.where.Store(&where)
}

func ok(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok") }

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(kind, ran string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", ProblemType)
		writer.Header().Set("Proxy-Status", "entry-1; error=proxy_internal_response")
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(Problem{Kind: kind, Ran: ran, Remedy: "wait"})
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newClient(t *testing.T, entries ...string) *Client {
	t.Helper()
	client := New(entries...)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func (client *Client) get(t *testing.T) (string, error) { return client.request(t, http.MethodGet, "") }

func (client *Client) request(t *testing.T, method, key string) (string, error) {
	t.Helper()
	response, err := client.Do(t.Context(), NewRequest("ledger", method, "/x", []byte("body")).WithKey(key))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestCachesLookup(t *testing.T) {
	entryHost := startEntryHost(t, ok)
	client := newClient(t, entryHost.address())
	for range 5 {
		if body, err := client.get(t); err != nil || body != "ok" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if lookups := entryHost.lookups.Load(); lookups != 1 {
		t.Fatalf("%d lookups, want 1", lookups)
	}
}

func TestRetriesIfNothingWasSent(t *testing.T) {
	entryHost := startEntryHost(t, ok)
	entryHost.setAddresses(unusedAddress(t), entryHost.address())
	client := newClient(t, unusedAddress(t), entryHost.address())
	if body, err := client.request(t, http.MethodPost, ""); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	if received := entryHost.received.Load(); received != 1 {
		t.Fatalf("received %d requests, want 1", received)
	}
}

// TestRetriesOnlyIfSafe has the first entry host close the connection after it
// received the request.
func TestRetriesOnlyIfSafe(t *testing.T) {
	for _, test := range []struct {
		name, method, key string
		retried           bool
	}{
		{"repeatable", http.MethodGet, "", true},
		{"keyed", http.MethodPost, "k", true},
		{"not repeatable", http.MethodPost, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			second := startEntryHost(t, ok)
			first := startEntryHost(t, abort)
			first.setAddresses(first.address(), second.address())
			_, err := newClient(t, first.address()).request(t, test.method, test.key)
			var unknown *OutcomeUnknownError
			if !test.retried && !errors.As(err, &unknown) {
				t.Fatalf("got %v, want outcome unknown", err)
			}
			if test.retried && err != nil {
				t.Fatal(err)
			}
			if got := second.received.Load() == 1; got != test.retried || first.received.Load() != 1 {
				t.Fatalf("first received %d, second %d", first.received.Load(), second.received.Load())
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		kind, ran string
		retried   bool
	}{
		{"host-leaving", "no", true},
		{"overloaded", "no", false},
		{"outcome-unknown", "unknown", false},
	} {
		t.Run(test.kind, func(t *testing.T) {
			second := startEntryHost(t, ok)
			first := startEntryHost(t, refuse(test.kind, test.ran))
			first.setAddresses(first.address(), second.address())
			_, err := newClient(t, first.address()).request(t, http.MethodPost, "")
			var problem *Problem
			if got := err == nil; got != test.retried {
				t.Fatalf("got %v", err)
			}
			if !test.retried && (!errors.As(err, &problem) || problem.Kind != test.kind) {
				t.Fatalf("got %v, want %s", err, test.kind)
			}
		})
	}
}

// TestEarlierAttemptMakesOutcomeUnknown has the first entry host close the
// connection after it received the request, and the second refuse the request as
// not run. The first attempt may have run, so the outcome is unknown.
func TestEarlierAttemptMakesOutcomeUnknown(t *testing.T) {
	second := startEntryHost(t, refuse("overloaded", "no"))
	first := startEntryHost(t, abort)
	first.setAddresses(first.address(), second.address())
	_, err := newClient(t, first.address()).request(t, http.MethodPost, "k")
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || second.received.Load() != 1 {
		t.Fatalf("got %v, want outcome unknown", err)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	entryHost := startEntryHost(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(writer, "half")
		panic(http.ErrAbortHandler)
	})
	if body, err := newClient(t, entryHost.address()).get(t); err == nil {
		t.Fatalf("a truncated response was read without an error: %q", body)
	}
}

func TestUnreachable(t *testing.T) {
	_, err := newClient(t, unusedAddress(t)).get(t)
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || unreachable.Service() != "ledger" {
		t.Fatalf("got %v, want unreachable", err)
	}
}

// TestBrokenResponses has the first entry host send a response that is truncated or malformed.
// Its outcome is unknown, and a request that is not repeatable is not sent again.
func TestBrokenResponses(t *testing.T) {
	const refused = "HTTP/1.1 503 Busy\r\nContent-Type: " + ProblemType + "\r\nProxy-Status: entry-1\r\n"
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
		"status 600":             "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
		"space in a name":        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"space before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 1\r\n\r\nok",
		"no length":              "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
		"refusal, space":         refused + "X Odd: 1\r\nContent-Length: 34\r\n\r\n" + `{"kind":"host-leaving","ran":"no"}`,
		"refusal, truncated":     refused + "Transfer-Encoding: chunked\r\n\r\n1f\r\n" + `{"kind":"host-leaving","ran":"n`,
		"refusal, no length":     refused + "Connection: close\r\n\r\n" + `{"kind":"host-leaving","ran":"no"}`,
	} {
		t.Run(name, func(t *testing.T) {
			second := startEntryHost(t, ok)
			first := startEntryHost(t, func(writer http.ResponseWriter, _ *http.Request) {
				conn, _, err := writer.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			first.setAddresses(first.address(), second.address())
			body, err := newClient(t, first.address()).request(t, http.MethodPost, "")
			var unknown *OutcomeUnknownError
			if !errors.As(err, &unknown) || second.received.Load() != 0 {
				t.Errorf("got %q, %v, sent again %v; want outcome unknown", body, err, second.received.Load() > 0)
			}
		})
	}
}

// TestEmptyResponses checks that responses that have no body, and so no length, are not
// treated as truncated.
func TestEmptyResponses(t *testing.T) {
	for method, status := range map[string]int{http.MethodHead: http.StatusOK, http.MethodGet: http.StatusNoContent, http.MethodPost: http.StatusNotModified} {
		entryHost := startEntryHost(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) })
		if body, err := newClient(t, entryHost.address()).request(t, method, ""); err != nil || body != "" {
			t.Errorf("%s, status %d: got %q, %v", method, status, body, err)
		}
	}
}
