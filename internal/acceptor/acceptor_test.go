package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/locator"
)

// fakeDispatcher chooses the answer by the request's target.
type fakeDispatcher struct {
	// started receives one item for each request to /wait.
	started chan struct{}
	// release is closed to end the requests to /wait.
	release   chan struct{}
	cancelled atomic.Int64
}

// Repeatable reports whether the request is a GET.
func (*fakeDispatcher) Repeatable(request *dispatcher.Request) bool {
	return request.Method() == http.MethodGet
}

// Check refuses nothing.
func (*fakeDispatcher) Check(*dispatcher.Request) error { return nil }

func (fakeDispatcher *fakeDispatcher) Dispatch(ctx context.Context, request *dispatcher.Request) (*dispatcher.Answer, error) {
	switch request.Target() {
	case "/cut":
		return newAnswer(-1, &truncatedBody{}), nil
	case "/wait":
		fakeDispatcher.started <- struct{}{}
		select {
		case <-ctx.Done():
			fakeDispatcher.cancelled.Add(1)
			return nil, ctx.Err()
		case <-fakeDispatcher.release:
		}
	}
	var body []byte
	if request.Body() != nil {
		var err error
		if body, err = io.ReadAll(request.Body()); err != nil {
			return nil, badRequest("the body broke off").WithCause(err)
		}
	}
	text := request.Method() + " " + request.Target() + " " + string(body)
	return newAnswer(int64(len(text)), strings.NewReader(text)), nil
}

func newAnswer(length int64, body io.Reader) *dispatcher.Answer {
	return dispatcher.NewAnswer(http.StatusOK, http.Header{"X-End": {"1"}}, length, io.NopCloser(body))
}

// truncatedBody fails after its first bytes.
type truncatedBody struct{ started bool }

func (truncatedBody *truncatedBody) Read(buffer []byte) (int, error) {
	if truncatedBody.started {
		return 0, dispatcher.NewFailure(dispatcher.Malformed, true, nil)
	}
	truncatedBody.started = true
	return copy(buffer, "half"), nil
}

type noLocator struct{}

func (noLocator noLocator) Locate(string, definer.Place, string) (locator.Answer, bool) {
	return locator.Answer{}, false
}

// testServer runs an acceptor under test.
type testServer struct {
	*fakeDispatcher
	address string
	stop    func() error
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeDispatcher{started: make(chan struct{}, 1), release: make(chan struct{})}
	host := definer.NewHost("entry-1", listener.Addr().String(), "", definer.NewPlace("nairobi", "nairobi-a"), 1)
	const short = 50 * time.Millisecond
	acceptor := New(host, fake, noLocator{}, NewLimits(4096, short, time.Minute, short))
	acceptor.SetListener(listener)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- acceptor.Run(ctx) }()
	testServer := &testServer{fakeDispatcher: fake, address: listener.Addr().String()}
	testServer.stop = func() error { cancel(); return <-result }
	t.Cleanup(cancel)
	return testServer
}

// sendRaw sends text over a new connection and returns everything received until
// the connection closes.
func (testServer *testServer) sendRaw(t *testing.T, text string) string {
	t.Helper()
	conn := testServer.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func (testServer *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", testServer.address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestMisbehavingCallers checks that each malformed or incomplete request gets a
// clear error or a closed connection, and that the server serves other callers
// afterwards.
func TestMisbehavingCallers(t *testing.T) {
	testServer := startServer(t)
	head := "POST /s/ledger/x HTTP/1.1\r\nHost: a\r\n"
	for _, test := range []struct{ name, text, want string }{
		{"garbage", "\x16\x03\x01\x02\x00\r\n\r\n", "400 Bad Request"},
		{"large header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<16) + "\r\n\r\n", "431 Request Header Fields Too Large"},
		{"header that never ends", "GET /s/ledger/x HTTP/1.1\r\nHost:", "408 Request Timeout"},
		{"body that never ends", head + "Content-Length: 9\r\n\r\nhalf", `"kind":"body-timeout","ran":"no"`},
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nhalf", "400 Bad Request"},
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n", "400 Bad Request"},
		{"two hosts", "GET /s/ledger/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 Bad Request"},
		{"no host", "GET /s/ledger/x HTTP/1.1\r\n\r\n", "400 Bad Request"},
		{"control character", "GET /s/ledger/x HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", "400 Bad Request"},
		{"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\n", "400 Bad Request"},
		{"unknown expectation", head + "Expect: tea\r\nContent-Length: 4\r\n\r\nhalf", "417 Expectation Failed"},
		{"another protocol", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "505 HTTP Version Not Supported"},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", `"kind":"bad-request"`},
		{"bad timeout", head + "Request-Timeout-Ms: -1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", `"kind":"bad-request"`},
		{"no such page", "GET /etc/passwd HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", `"ran":"no"`},
		{"no service named", "GET /where HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "name the service"},
		{"unknown service", "GET /where?service=a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", `"kind":"unknown-service"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := testServer.sendRaw(t, test.text); !strings.Contains(got, test.want) {
				t.Fatalf("got %q, want %q in it", got, test.want)
			}
			ok := testServer.sendRaw(t, "GET /s/ledger/a?b=%2F HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			if !strings.HasSuffix(ok, "GET /a?b=%2F ") {
				t.Fatalf("the server no longer serves: %q", ok)
			}
		})
	}
}

func TestTruncatedAnswerClosesTheConnection(t *testing.T) {
	testServer := startServer(t)
	response, err := http.Get("http://" + testServer.address + "/s/ledger/cut")
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		t.Fatal("a truncated answer was forwarded as complete")
	}
}

func TestDisconnectedCallerCancels(t *testing.T) {
	testServer := startServer(t)
	conn := testServer.dial(t)
	_, _ = io.WriteString(conn, "GET /s/ledger/wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-testServer.started
	_ = conn.Close()
	if err := testServer.stop(); err != nil {
		t.Fatal(err)
	}
	if testServer.cancelled.Load() != 1 {
		t.Fatal("the request was not cancelled")
	}
}

// TestHalfClosedCallerIsCancelled checks that the connection closes after the
// caller closes its sending side, which net/http treats as a disconnect.
func TestHalfClosedCallerIsCancelled(t *testing.T) {
	testServer := startServer(t)
	conn := testServer.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /s/ledger/wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-testServer.started
	_ = conn.(*net.TCPConn).CloseWrite()
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
}

// TestStopCompletesRequests checks that a request in flight when the server stops
// gets its complete answer, with the connection marked to close.
func TestStopCompletesRequests(t *testing.T) {
	testServer := startServer(t)
	conn := testServer.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /s/ledger/wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-testServer.started
	stopped := make(chan error, 1)
	go func() { stopped <- testServer.stop() }()
	for {
		// The answer is released only after the listener has closed.
		probe, err := net.Dial("tcp", testServer.address)
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	close(testServer.release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "GET /wait " || !response.Close {
		t.Fatalf("body %q, %v, close %v", body, err, response.Close)
	}
	if err := <-stopped; err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}
