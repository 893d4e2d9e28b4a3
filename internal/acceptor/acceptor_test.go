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

// fakeDispatcher answers by the request's target.
type fakeDispatcher struct {
	// began gets one item for each request to /wait.
	began chan struct{}
	// release ends the requests to /wait.
	release   chan struct{}
	cancelled atomic.Int64
}

func (fakeDispatcher *fakeDispatcher) Dispatch(ctx context.Context, request *dispatcher.Request) (*dispatcher.Answer, error) {
	switch request.Target() {
	case "/cut":
		return newAnswer(-1, &cutBody{}), nil
	case "/wait":
		fakeDispatcher.began <- struct{}{}
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

// cutBody breaks off after its first bytes.
type cutBody struct{ begun bool }

func (cutBody *cutBody) Read(buffer []byte) (int, error) {
	if cutBody.begun {
		return 0, dispatcher.NewFailure(dispatcher.Malformed, true, nil)
	}
	cutBody.begun = true
	return copy(buffer, "half"), nil
}

type noLocator struct{}

func (noLocator noLocator) Locate(string, definer.Place, string) (locator.Answer, bool) {
	return locator.Answer{}, false
}

// front is an acceptor under test.
type front struct {
	*fakeDispatcher
	address string
	stop    func() error
}

func startFront(t *testing.T) *front {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeDispatcher{began: make(chan struct{}, 1), release: make(chan struct{})}
	host := definer.NewHost("entry-1", listener.Addr().String(), "", definer.NewPlace("nairobi", "nairobi-a"), 1)
	const short = 50 * time.Millisecond
	acceptor := New(host, fake, noLocator{}, NewLimits(4096, short, time.Minute, short))
	acceptor.SetListener(listener)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- acceptor.Run(ctx) }()
	front := &front{fakeDispatcher: fake, address: listener.Addr().String()}
	front.stop = func() error { cancel(); return <-result }
	t.Cleanup(cancel)
	return front
}

// talk sends raw text over a new connection and returns all that comes back
// until the connection ends.
func (front *front) talk(t *testing.T, text string) string {
	t.Helper()
	conn := front.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func (front *front) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", front.address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestBadCallers has callers misbehave; each gets a clear error or the end of
// its connection, and the front serves on.
func TestBadCallers(t *testing.T) {
	front := startFront(t)
	head := "POST /s/ledger/x HTTP/1.1\r\nHost: a\r\n"
	for _, test := range []struct{ name, text, want string }{
		{"garbage", "\x16\x03\x01\x02\x00\r\n\r\n", "400 Bad Request"},
		{"large header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<16) + "\r\n\r\n", "431 Request Header Fields Too Large"},
		{"header that never ends", "GET /s/ledger/x HTTP/1.1\r\nHost:", ""},
		{"body that never ends", head + "Content-Length: 9\r\n\r\nhalf", `"kind":"bad-request"`},
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nhalf", "400 Bad Request"},
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n", "200 OK"},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", `"kind":"bad-request"`},
		{"bad timeout", head + "Request-Timeout-Ms: -1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", `"kind":"bad-request"`},
		{"no such page", "GET /etc/passwd HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", `"ran":"no"`},
		{"no service named", "GET /where HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "name the service"},
		{"unknown service", "GET /where?service=a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", `"kind":"unknown-service"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := front.talk(t, test.text); !strings.Contains(got, test.want) {
				t.Fatalf("got %q, want %q in it", got, test.want)
			}
			ok := front.talk(t, "GET /s/ledger/a?b=%2F HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			if !strings.HasSuffix(ok, "GET /a?b=%2F ") {
				t.Fatalf("the front no longer serves: %q", ok)
			}
		})
	}
}

func TestCutAnswerEndsTheConnection(t *testing.T) {
	front := startFront(t)
	response, err := http.Get("http://" + front.address + "/s/ledger/cut")
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		t.Fatal("a cut answer was passed on as complete")
	}
}

func TestCallerThatGoesAwayCancels(t *testing.T) {
	front := startFront(t)
	conn := front.dial(t)
	_, _ = io.WriteString(conn, "GET /s/ledger/wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-front.began
	_ = conn.Close()
	if err := front.stop(); err != nil {
		t.Fatal(err)
	}
	if front.cancelled.Load() != 1 {
		t.Fatal("the request was not cancelled")
	}
}

// TestHalfClosedCallerIsBounded has a caller close its sending side after a
// request; net/http takes that for a caller that went away.
func TestHalfClosedCallerIsBounded(t *testing.T) {
	front := startFront(t)
	conn := front.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /s/ledger/wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-front.began
	_ = conn.(*net.TCPConn).CloseWrite()
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
}

// TestStopLetsRequestsEnd stops the front with a request in flight: it ends
// whole, and its connection is told to close.
func TestStopLetsRequestsEnd(t *testing.T) {
	front := startFront(t)
	conn := front.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /s/ledger/wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-front.began
	stopped := make(chan error, 1)
	go func() { stopped <- front.stop() }()
	for {
		// The listener closes first; only then is the answer let go.
		probe, err := net.Dial("tcp", front.address)
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	close(front.release)
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
