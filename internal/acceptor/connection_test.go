package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
)

// heldDispatcher holds each request until the test answers it.
type heldDispatcher struct {
	mu sync.Mutex
	// held holds the requests in progress by target.
	held map[string]chan *dispatcher.Answer
	// refusal is what Check returns.
	refusal error
	// started and cancelled receive the targets of requests.
	started, cancelled chan string
}

func newHeldDispatcher() *heldDispatcher {
	return &heldDispatcher{
		held:    make(map[string]chan *dispatcher.Answer),
		started: make(chan string, 64), cancelled: make(chan string, 64),
	}
}

// Repeatable reports whether the request is no POST.
func (*heldDispatcher) Repeatable(request *dispatcher.Request) bool {
	return request.Method() != http.MethodPost
}

// Check returns the refusal of the test; nil if there is none.
func (heldDispatcher *heldDispatcher) Check(*dispatcher.Request) error {
	heldDispatcher.mu.Lock()
	defer heldDispatcher.mu.Unlock()
	return heldDispatcher.refusal
}

// refuse makes Check return err.
func (heldDispatcher *heldDispatcher) refuse(err error) {
	heldDispatcher.mu.Lock()
	defer heldDispatcher.mu.Unlock()
	heldDispatcher.refusal = err
}

// Dispatch returns the refusal of the test, or waits for its answer.
func (heldDispatcher *heldDispatcher) Dispatch(ctx context.Context, request *dispatcher.Request) (*dispatcher.Answer, error) {
	answers := heldDispatcher.answers(request.Target())
	if err := heldDispatcher.Check(request); err != nil {
		return nil, err
	}
	heldDispatcher.started <- request.Target()
	select {
	case answer := <-answers:
		if answer == nil {
			panic("unexpected")
		}
		return answer, nil
	case <-ctx.Done():
		heldDispatcher.cancelled <- request.Target()
		return nil, refuser.New(refuser.KindCancelled, refuser.NotRun, "the caller left")
	}
}

func (heldDispatcher *heldDispatcher) answers(target string) chan *dispatcher.Answer {
	heldDispatcher.mu.Lock()
	defer heldDispatcher.mu.Unlock()
	if heldDispatcher.held[target] == nil {
		heldDispatcher.held[target] = make(chan *dispatcher.Answer, 1)
	}
	return heldDispatcher.held[target]
}

// answer ends the request to target with its target as the body.
func (heldDispatcher *heldDispatcher) answer(target string) {
	heldDispatcher.answers(target) <- newAnswer(int64(len(target)), strings.NewReader(target))
}

// fixture is an acceptor with a held dispatcher and one connection to it.
type fixture struct {
	*heldDispatcher
	acceptor *Acceptor
	address  string
	conn     net.Conn
	reader   *bufio.Reader
	stop     context.CancelFunc
	stopped  chan error
}

// testLimits are the limits of fixtures.
var testLimits = NewLimits(4096, 100*time.Millisecond, time.Minute, 100*time.Millisecond)

func newFixture(t *testing.T, limits Limiter) *fixture {
	t.Helper()
	return newFixtureWith(t, limits, func(*Acceptor) {})
}

// newFixtureWith returns a fixture whose acceptor is changed before it runs.
func newFixtureWith(t *testing.T, limits Limiter, change func(acceptor *Acceptor)) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fixture := &fixture{heldDispatcher: newHeldDispatcher(), address: listener.Addr().String(), stopped: make(chan error, 1)}
	host := definer.NewHost("entry-1", fixture.address, "", definer.NewPlace("nairobi", "nairobi-a"), 1)
	fixture.acceptor = New(host, fixture, noLocator{}, testLimits)
	fixture.acceptor.SetListener(listener)
	fixture.acceptor.SetLimiter(limits)
	change(fixture.acceptor)
	ctx, cancel := context.WithCancel(context.Background())
	fixture.stop = cancel
	go fixture.loop(ctx)
	t.Cleanup(func() { cancel(); <-fixture.stopped })
	fixture.connect(t)
	return fixture
}

func (fixture *fixture) loop(ctx context.Context) { fixture.stopped <- fixture.acceptor.Run(ctx) }

func (fixture *fixture) connect(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", fixture.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	fixture.conn, fixture.reader = conn, bufio.NewReader(conn)
}

// get returns the text of a GET request.
func get(target string) string {
	return "GET /s/ledger" + target + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

// post returns the text of a POST request with a body.
func post(target, body string) string {
	return fmt.Sprintf("POST /s/ledger%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

func (fixture *fixture) send(t *testing.T, texts ...string) {
	t.Helper()
	if _, err := io.WriteString(fixture.conn, strings.Join(texts, "")); err != nil {
		t.Fatal(err)
	}
}

// awaitStart waits until the requests to targets, and no others, have been started.
func (fixture *fixture) awaitStart(t *testing.T, targets ...string) {
	t.Helper()
	missing := make(map[string]bool)
	for _, target := range targets {
		missing[target] = true
	}
	for range targets {
		select {
		case target := <-fixture.started:
			if !missing[target] {
				t.Fatalf("%s was started, want one of %v", target, targets)
			}
			delete(missing, target)
		case <-time.After(5 * time.Second):
			t.Fatalf("not started: %v", missing)
		}
	}
}

// noStart checks that no request is started for a moment.
func (fixture *fixture) noStart(t *testing.T) {
	t.Helper()
	select {
	case target := <-fixture.started:
		t.Fatalf("%s was started too early", target)
	case <-time.After(30 * time.Millisecond):
	}
}

// expect reads the next response, and checks its status, its body and whether it
// closes the connection.
func (fixture *fixture) expect(t *testing.T, method string, status int, body string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(fixture.reader, &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != status || !strings.Contains(string(got), body) || response.Close != closes {
		t.Fatalf("got %d, %q, close %v; want %d, %q, close %v", response.StatusCode, got, response.Close, status, body, closes)
	}
}

// expectEnd checks that the connection ends without another byte.
func (fixture *fixture) expectEnd(t *testing.T) {
	t.Helper()
	if rest, err := io.ReadAll(fixture.reader); err != nil || len(rest) > 0 {
		t.Fatalf("got %q, %v, want the end", rest, err)
	}
}

// expectCancelled waits until the requests to targets have been cancelled.
func (fixture *fixture) expectCancelled(t *testing.T, targets ...string) {
	t.Helper()
	for range targets {
		select {
		case <-fixture.cancelled:
		case <-time.After(5 * time.Second):
			t.Fatalf("not all of %v were cancelled", targets)
		}
	}
}

// TestPipelinedRequestsRunAtOnce checks that requests sent behind each other run at
// the same time, and that their responses keep the order of the requests.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), get("/2"), get("/3"))
	fixture.awaitStart(t, "/1", "/2", "/3")
	for _, target := range []string{"/3", "/2", "/1"} {
		fixture.answer(target)
	}
	for _, target := range []string{"/1", "/2", "/3"} {
		fixture.expect(t, http.MethodGet, http.StatusOK, target, false)
	}
}

// TestUnrepeatableRequestRunsAlone checks that a request that may not be repeated
// starts after those before it have been answered, and those behind it after its end.
func TestUnrepeatableRequestRunsAlone(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), get("/2"), post("/3", "pay"), get("/4"), get("/5"))
	fixture.awaitStart(t, "/1", "/2")
	fixture.answer("/2")
	fixture.noStart(t)
	fixture.answer("/1")
	fixture.awaitStart(t, "/3")
	fixture.noStart(t)
	fixture.answer("/3")
	fixture.awaitStart(t, "/4", "/5")
	fixture.answer("/4")
	fixture.answer("/5")
	for index := range 5 {
		fixture.expect(t, http.MethodGet, http.StatusOK, fmt.Sprintf("/%d", index+1), false)
	}
}

// TestBoundOnPipelinedRequests checks that only maxPipelined requests of a connection
// are accepted before one of them has its response.
func TestBoundOnPipelinedRequests(t *testing.T) {
	fixture := newFixture(t, testLimits)
	var texts, targets []string
	for index := range maxPipelined + 2 {
		targets = append(targets, fmt.Sprintf("/%d", index+1))
		texts = append(texts, get(targets[index]))
	}
	fixture.send(t, texts...)
	fixture.awaitStart(t, targets[:maxPipelined]...)
	fixture.noStart(t)
	fixture.answer(targets[0])
	fixture.awaitStart(t, targets[maxPipelined])
	fixture.noStart(t)
	for _, target := range targets[1:] {
		fixture.answer(target)
	}
	for _, target := range targets {
		fixture.expect(t, http.MethodGet, http.StatusOK, target, false)
	}
}

// TestBoundOnPipelinedBytes checks that the requests of a connection without a
// response hold a bounded number of bytes.
func TestBoundOnPipelinedBytes(t *testing.T) {
	fixture := newFixture(t, testLimits)
	body := strings.Repeat("x", dispatcher.BufferedBodyBytes)
	for _, target := range []string{"/1", "/2", "/3"} {
		fixture.send(t, strings.Replace(post(target, body), "POST", "PUT", 1))
	}
	fixture.awaitStart(t, "/1", "/2")
	fixture.noStart(t)
	fixture.answer("/1")
	fixture.awaitStart(t, "/3")
}

// TestLeavingCallerCancelsAll checks that all requests of a connection are cancelled
// when the caller closes or resets it.
func TestLeavingCallerCancelsAll(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		fixture := newFixture(t, testLimits)
		fixture.send(t, get("/1"), get("/2"), post("/3", "pay"))
		fixture.awaitStart(t, "/1", "/2")
		_ = fixture.conn.(*net.TCPConn).SetLinger(linger)
		_ = fixture.conn.Close()
		fixture.expectCancelled(t, "/1", "/2")
		fixture.noStart(t)
	}
}

// TestStopAnswersStartedRequests checks that a stop answers the requests that were
// started, the last one with the notice that the connection closes.
func TestStopAnswersStartedRequests(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), get("/2"))
	fixture.awaitStart(t, "/1", "/2")
	fixture.stop()
	for _, connection := range fixture.acceptor.openConnections() {
		connection.stop()
	}
	fixture.answer("/1")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
	fixture.answer("/2")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/2", true)
	fixture.send(t, post("/3", "pay"))
	fixture.expectEnd(t)
	fixture.noStart(t)
}

// TestStopServesArrivedRequests checks that requests that had arrived when the host
// stops are served: on a new connection and on one that was idle.
func TestStopServesArrivedRequests(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"))
	fixture.answer("/1")
	fixture.awaitStart(t, "/1")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
	idle, idleReader := fixture.conn, fixture.reader
	fixture.connect(t)
	_, _ = io.WriteString(idle, get("/2"))
	fixture.stop()
	fixture.send(t, get("/3"))
	fixture.awaitStart(t, "/2", "/3")
	fixture.answer("/2")
	fixture.answer("/3")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/3", true)
	fixture.reader = idleReader
	fixture.expect(t, http.MethodGet, http.StatusOK, "/2", true)
}

// begunStop is a stop that began just now and ends after that time.
type begunStop time.Duration

// Stopping returns true.
func (begunStop) Stopping() bool { return true }

// End returns the end of the stop.
func (begunStop begunStop) End() (time.Time, bool) {
	return time.Now().Add(time.Duration(begunStop)), true
}

// TestLeavingHostClosesAfterTheNewest checks that a host that leaves closes a
// connection after the newest of its requests, not after one before it.
func TestLeavingHostClosesAfterTheNewest(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), get("/2"))
	fixture.awaitStart(t, "/1", "/2")
	fixture.acceptor.SetStopper(begunStop(time.Minute))
	fixture.answer("/1")
	fixture.answer("/2")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
	fixture.expect(t, http.MethodGet, http.StatusOK, "/2", true)
	fixture.send(t, post("/3", "pay"))
	fixture.expectEnd(t)
	fixture.noStart(t)
}

// TestMalformedRequestInPipeline checks that the requests before a malformed one are
// answered, and nothing behind it is.
func TestMalformedRequestInPipeline(t *testing.T) {
	for _, text := range []string{
		"garbage\r\n\r\n",
		"POST /s/ledger/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		fixture := newFixture(t, testLimits)
		fixture.send(t, get("/1"), text, get("/2"))
		fixture.awaitStart(t, "/1")
		fixture.noStart(t)
		fixture.answer("/1")
		fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
		fixture.expect(t, http.MethodGet, http.StatusBadRequest, "", true)
		fixture.expectEnd(t)
	}
}

// TestFramingInPipeline checks the framing of responses in the middle of a pipeline:
// to HEAD, without content, of unknown length, and after 100 Continue.
func TestFramingInPipeline(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, strings.Replace(get("/head"), "GET", "HEAD", 1), get("/none"), get("/stream"), get("/end"))
	fixture.awaitStart(t, "/head", "/none", "/stream", "/end")
	fixture.answers("/none") <- dispatcher.NewAnswer(http.StatusNoContent, nil, 0, http.NoBody)
	fixture.answers("/stream") <- newAnswer(-1, strings.NewReader("/stream"))
	fixture.answer("/end")
	fixture.answer("/head")
	fixture.expect(t, http.MethodHead, http.StatusOK, "", false)
	fixture.expect(t, http.MethodGet, http.StatusNoContent, "", false)
	fixture.expect(t, http.MethodGet, http.StatusOK, "/stream", false)
	fixture.expect(t, http.MethodGet, http.StatusOK, "/end", false)
	fixture.send(t, "PUT /s/ledger/body HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if line, err := fixture.reader.ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
		t.Fatalf("got %q, %v", line, err)
	}
	_, _ = fixture.reader.ReadString('\n')
	fixture.send(t, "half", get("/last"))
	fixture.awaitStart(t, "/body", "/last")
	fixture.answer("/last")
	fixture.answer("/body")
	fixture.expect(t, http.MethodPut, http.StatusOK, "/body", false)
	fixture.expect(t, http.MethodGet, http.StatusOK, "/last", false)
}

// TestTruncatedAnswerInPipeline checks that nothing follows an answer that is
// truncated, and that the connection ends within it.
func TestTruncatedAnswerInPipeline(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), get("/2"))
	fixture.awaitStart(t, "/1", "/2")
	fixture.answer("/2")
	fixture.answers("/1") <- newAnswer(-1, &truncatedBody{})
	if text, _ := io.ReadAll(fixture.reader); strings.Contains(string(text), "/2") || strings.HasSuffix(string(text), "0\r\n\r\n") {
		t.Fatalf("got %q", text)
	}
}

// TestPanicEndsOnlyTheConnection checks that a request whose handler panics ends its
// connection, and that the process serves others.
func TestPanicEndsOnlyTheConnection(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"))
	fixture.awaitStart(t, "/1")
	fixture.answers("/1") <- nil
	if text, _ := io.ReadAll(fixture.reader); len(text) > 0 {
		t.Fatalf("got %q", text)
	}
	fixture.connect(t)
	fixture.send(t, get("/2"))
	fixture.awaitStart(t, "/2")
	fixture.answer("/2")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/2", false)
}

// panickingProtocol fails with a panic when it decodes a request.
type panickingProtocol struct{ Protocol }

// Decode panics.
func (panickingProtocol) Decode(*http.Request) (*dispatcher.Request, error) {
	panic("a header that no one expected")
}

// TestPanicInDecodingEndsOnlyTheConnection checks that a request that can't be decoded
// without a panic ends its connection only.
func TestPanicInDecodingEndsOnlyTheConnection(t *testing.T) {
	fixture := newFixtureWith(t, testLimits, func(acceptor *Acceptor) {
		acceptor.SetProtocol(panickingProtocol{acceptor.protocol})
	})
	fixture.send(t, get("/1"))
	if text, _ := io.ReadAll(fixture.reader); len(text) > 0 {
		t.Fatalf("got %q", text)
	}
}

// TestEarlyAnswer checks that an answer reaches a caller that waits for it before it
// sends the rest of its body.
func TestEarlyAnswer(t *testing.T) {
	fixture := newFixture(t, testLimits)
	size := 2 * dispatcher.BufferedBodyBytes
	fixture.send(t, fmt.Sprintf("PUT /s/ledger/1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size), strings.Repeat("x", size-1))
	fixture.awaitStart(t, "/1")
	fixture.answers("/1") <- dispatcher.NewAnswer(http.StatusOK, http.Header{}, 2, &heldBody{Reader: strings.NewReader("ok"), released: t.Context().Done()})
	fixture.expect(t, http.MethodPut, http.StatusOK, "ok", true)
}

// heldBody is the body of an answer whose Close waits.
type heldBody struct {
	io.Reader
	released <-chan struct{}
}

// Close waits until the body is released, or for a second.
func (heldBody *heldBody) Close() error {
	select {
	case <-heldBody.released:
	case <-time.After(time.Second):
	}
	return nil
}

// TestSlowBodyBesideResponses checks that the time limit of a body is not replaced by
// that of a header when an earlier request of the connection ends.
func TestSlowBodyBesideResponses(t *testing.T) {
	fixture := newFixture(t, NewLimits(4096, 20*time.Millisecond, time.Minute, time.Second))
	fixture.send(t, get("/1"), "PUT /s/ledger/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nha")
	fixture.awaitStart(t, "/1")
	fixture.answer("/1")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
	time.Sleep(60 * time.Millisecond)
	fixture.send(t, "lf")
	fixture.awaitStart(t, "/2")
	fixture.answer("/2")
	fixture.expect(t, http.MethodPut, http.StatusOK, "/2", false)
}

// TestSlowBodyIsRefusedAsNotRun checks that a request whose body does not arrive in time is
// refused with the status that promises that it has not run. It was 400, as if the request
// were malformed.
func TestSlowBodyIsRefusedAsNotRun(t *testing.T) {
	for _, framing := range []string{
		"Content-Length: 9\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	} {
		fixture := newFixture(t, testLimits)
		fixture.send(t, "POST /s/ledger/1 HTTP/1.1\r\nHost: a\r\n"+framing)
		if strings.HasPrefix(framing, "Expect") {
			for range 2 {
				if _, err := fixture.reader.ReadString('\n'); err != nil {
					t.Fatal(err)
				}
			}
		}
		fixture.expect(t, http.MethodPost, http.StatusRequestTimeout, `"kind":"body-timeout","ran":"no"`, true)
		fixture.expectEnd(t)
		fixture.noStart(t)
	}
}

// TestOtherHandlersReadTheBody checks that a handler of another path than those of
// services gets the whole body, also where the protocol decodes its requests. The body
// was read for the dispatcher, and operators' requests came without one.
func TestOtherHandlersReadTheBody(t *testing.T) {
	for _, path := range []string{"/echo", "/s/echo"} {
		fixture := newFixtureWith(t, testLimits, func(acceptor *Acceptor) {
			acceptor.Group("").POST(path, func(c echo.Context) error {
				body, err := io.ReadAll(c.Request().Body)
				if err != nil {
					return err
				}
				return c.String(http.StatusOK, string(body))
			})
		})
		fixture.send(t, "POST "+path+" HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
		fixture.expect(t, http.MethodPost, http.StatusOK, "body", false)
	}
}

// TestSlowReader checks that a caller that reads nothing for the time limit loses its
// connection.
func TestSlowReader(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), get("/2"))
	fixture.awaitStart(t, "/1", "/2")
	fixture.answers("/1") <- newAnswer(64<<20, io.LimitReader(zeros{}, 64<<20))
	fixture.expectCancelled(t, "/2")
}

// zeros is a source of zero bytes without end.
type zeros struct{}

// Read fills buffer with zero bytes.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// changingLimiter provides limits that a test changes.
type changingLimiter struct {
	mu     sync.Mutex
	limits Limits
}

// Limits returns the limits in force.
func (changingLimiter *changingLimiter) Limits() Limits {
	changingLimiter.mu.Lock()
	defer changingLimiter.mu.Unlock()
	return changingLimiter.limits
}

// TestLimitsInForce checks that the limits of a header's time, of the idle time and of
// a chunked body are those in force when a request arrives.
func TestLimitsInForce(t *testing.T) {
	limiter := &changingLimiter{limits: testLimits.Override(0, 1000, time.Second, time.Minute)}
	fixture := newFixture(t, limiter)
	chunked := "PUT /s/ledger/%s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
	fixture.send(t, fmt.Sprintf(chunked, "1", 900, strings.Repeat("x", 900)))
	fixture.awaitStart(t, "/1")
	fixture.answer("/1")
	fixture.expect(t, http.MethodPut, http.StatusOK, "/1", false)
	limiter.mu.Lock()
	limiter.limits = testLimits.Override(0, 800, 20*time.Millisecond, 50*time.Millisecond)
	limiter.mu.Unlock()
	fixture.send(t, fmt.Sprintf(chunked, "2", 900, strings.Repeat("x", 900)))
	fixture.expect(t, http.MethodPut, http.StatusRequestEntityTooLarge, "too-large", true)
	fixture.expectEnd(t)

	fixture.connect(t)
	start := time.Now()
	fixture.send(t, "GET /s/ledger/3 HTTP/1.1\r\nHost:")
	fixture.expect(t, http.MethodGet, http.StatusRequestTimeout, "header", true)
	fixture.expectEnd(t)
	if took := time.Since(start); took >= time.Second {
		t.Fatalf("an incomplete header was kept for %v", took)
	}
	fixture.connect(t)
	fixture.send(t, get("/4"))
	fixture.awaitStart(t, "/4")
	fixture.answer("/4")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/4", false)
	fixture.expectEnd(t)
}

// TestDeadlineCountsFromArrival checks that a request that waits for others on its
// connection arrives before it is started.
func TestDeadlineCountsFromArrival(t *testing.T) {
	fixture := newFixture(t, testLimits)
	fixture.send(t, get("/1"), post("/2", "pay"))
	fixture.awaitStart(t, "/1")
	time.Sleep(50 * time.Millisecond)
	connection := fixture.acceptor.openConnections()[0]
	connection.mu.Lock()
	waited := time.Since(connection.newest.decoded.Arrived())
	connection.mu.Unlock()
	if waited < 40*time.Millisecond {
		t.Fatalf("the request arrived %v ago", waited)
	}
}

// FuzzRequests checks that the reader of requests neither fails with a panic nor
// takes two requests for one, whatever a caller sends.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		get("/1") + get("/2"), post("/1", "pay") + get("/2"), "garbage\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n" + get("/2"),
		"GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n continued\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding : chunked\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		connection := &connection{reader: bufio.NewReaderSize(strings.NewReader(text), 32)}
		for read := 0; ; {
			request, err := connection.readRequest(512)
			if err != nil {
				return
			}
			if lengths := request.Header["Content-Length"]; len(lengths) > 0 && len(request.TransferEncoding) > 0 {
				t.Fatalf("two framings: %q", text)
			}
			count, err := io.Copy(io.Discard, request.Body)
			if request.ContentLength >= 0 && err == nil && count != request.ContentLength {
				t.Fatalf("body of %d bytes, announced %d", count, request.ContentLength)
			}
			if read++; err != nil || read > len(text) {
				return
			}
		}
	})
}

// TestLimitsBesideResponses sends requests behind each other whose answers are ready. Run
// with the race detector, it guards against the connection's task taking over new limits
// while the task of the request before sets a deadline by the old ones.
func TestLimitsBesideResponses(t *testing.T) {
	fixture := newFixture(t, testLimits)
	for range 500 {
		var texts []string
		for index := range maxPipelined {
			target := fmt.Sprint("/", index)
			fixture.answer(target)
			texts = append(texts, get(target))
		}
		fixture.send(t, texts...)
		for index := range maxPipelined {
			fixture.expect(t, http.MethodGet, http.StatusOK, fmt.Sprint("/", index), false)
			<-fixture.started
		}
	}
}

// TestBodiesHaveABound checks that a request whose body has no room beside those of others
// is refused as not run and comes back, and that room is returned. Each body was bounded
// alone, and their number by descriptors.
func TestBodiesHaveABound(t *testing.T) {
	fixture := newFixture(t, testLimits)
	bodies := &fixture.acceptor.bodies
	if !bodies.Reserve(maxHeldBodyBytes-4, maxHeldBodyBytes) {
		t.Fatal("no memory reserved")
	}
	fixture.send(t, post("/1", "12345"))
	fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, "memory for bodies", false)
	fixture.connect(t)
	fixture.send(t, post("/2", "1234"))
	fixture.awaitStart(t, "/2")
	if held := bodies.Held(); held != maxHeldBodyBytes {
		t.Errorf("%d bytes are held, want %d", held, maxHeldBodyBytes)
	}
	fixture.answer("/2")
	fixture.expect(t, http.MethodPost, http.StatusOK, "/2", false)
	fixture.send(t, "POST /s/ledger/3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, "memory for bodies", false)
	bodies.Release(maxHeldBodyBytes - 4)
	fixture.connect(t)
	fixture.send(t, "POST /s/ledger/4 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	fixture.awaitStart(t, "/4")
	if held := bodies.Held(); held != 1 {
		t.Errorf("a body of 1 byte in chunks holds %d", held)
	}
	fixture.answer("/4")
	fixture.expect(t, http.MethodPost, http.StatusOK, "/4", false)
}

// TestBodyClosesBesideRead checks that a body closes at once although a read of it begins
// at the same moment. The read could set its time limit after the interrupt.
func TestBodyClosesBesideRead(t *testing.T) {
	fixture := newFixture(t, testLimits)
	caller, host := net.Pipe()
	t.Cleanup(func() { _ = caller.Close(); _ = host.Close() })
	connection := newConnection(fixture.acceptor, host)
	for range 2000 {
		request, err := http.NewRequest(http.MethodPut, "/", host)
		if err != nil {
			t.Fatal(err)
		}
		exchange := newExchange(connection, request, nil)
		exchange.limits.bodyTimeout = time.Minute
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = exchange.body.Read(make([]byte, 1))
		}()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			exchange.body.close()
		}()
		for _, task := range []chan struct{}{closed, ended} {
			select {
			case <-task:
			case <-time.After(5 * time.Second):
				t.Fatal("the body is still read after it was closed")
			}
		}
	}
}
