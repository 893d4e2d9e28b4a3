package sender

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
)

// lenient is the plain dialect, but accepts responses of unknown length.
type lenient struct{ Plain }

// Classify accepts every response.
func (lenient) Classify(*http.Response, *dispatcher.Request, bool) Verdict { return Answered }

// earlyBackend answers one request before it has read its body. Then finish ends the
// connection.
type earlyBackend struct {
	listener net.Listener
	answer   string
	finish   func(conn *net.TCPConn)
	// received is closed when the connection may end.
	received chan struct{}
	// uploaded is closed when the upload has ended.
	uploaded chan struct{}
}

func startEarlyBackend(t *testing.T, answer string, finish func(conn *net.TCPConn)) *earlyBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	earlyBackend := &earlyBackend{
		listener: listener, answer: answer, finish: finish, received: make(chan struct{}), uploaded: make(chan struct{}),
	}
	go earlyBackend.run()
	return earlyBackend
}

func (earlyBackend *earlyBackend) run() {
	conn, err := earlyBackend.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, earlyBackend.answer)
	<-earlyBackend.received
	earlyBackend.finish(conn.(*net.TCPConn))
	<-earlyBackend.uploaded
}

func (earlyBackend *earlyBackend) endpoint() definer.Endpoint {
	return definer.NewEndpoint("ledger-1", "ledger", earlyBackend.listener.Addr().String(), definer.Place{}, 4)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// endlessBody is a body that ends with err, which may be nil, when ended is closed.
type endlessBody struct {
	ended chan struct{}
	err   error
}

// Read returns bytes at once until the body has ended.
func (endlessBody *endlessBody) Read(buffer []byte) (int, error) {
	select {
	case <-endlessBody.ended:
		if endlessBody.err != nil {
			return 0, endlessBody.err
		}
	default:
	}
	return len(buffer), nil
}

// The ways in which an endpoint ends a connection.
var (
	readNothing       = func(*net.TCPConn) {}
	halfClose         = func(conn *net.TCPConn) { _ = conn.CloseWrite() }
	halfCloseAndReset = func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		reset(conn)
	}
	halfCloseAndRead = func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
)

// TestAnswerDuringUpload guards against an answer that a reset has truncated looking complete,
// and against a complete one failing. The socket reports a reset once: if a write of the
// request's body gets it, a read finds the end of the connection. The test reads the end
// of the answer, or all of it, only after that write.
func TestAnswerDuringUpload(t *testing.T) {
	const (
		noLength   = "HTTP/1.1 200 OK\r\n\r\n"
		withLength = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		chunked    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	)
	for name, test := range map[string]struct {
		answer string
		finish func(conn *net.TCPConn)
		// callerErr ends the body of the request.
		callerErr error
		complete  bool
	}{
		"no length, reset":                   {answer: noLength + "body", finish: reset},
		"no length and empty, reset":         {answer: noLength, finish: reset},
		"no length, half closed, then reset": {answer: noLength + "body", finish: halfCloseAndReset, complete: true},
		"no length, half closed, the caller leaves": {
			answer: noLength + "body", finish: halfCloseAndRead, callerErr: errors.New("the caller left"), complete: true,
		},
		"no length, the upload times out":              {answer: noLength + "body", finish: readNothing},
		"no length, half closed, the upload times out": {answer: noLength + "body", finish: halfClose, complete: true},
		"length, reset after the last byte":            {answer: withLength + "body", finish: reset, complete: true},
		"length, reset before the last byte":           {answer: withLength + "bod", finish: reset},
		"length, closed before the last byte":          {answer: withLength + "bod", finish: halfCloseAndReset},
		"chunks, reset after the last line":            {answer: chunked + "0\r\n\r\n", finish: reset, complete: true},
		"chunks, reset in the last line":               {answer: chunked + "0\r\n\r", finish: reset},
		"chunks, reset before the last one":            {answer: chunked, finish: reset},
		"chunks, closed before the last one":           {answer: chunked, finish: halfCloseAndReset},
	} {
		for framing, length := range map[string]int64{"length": 1 << 40, "chunks": -1} {
			t.Run(name+", upload by "+framing, func(t *testing.T) {
				t.Parallel()
				for _, late := range []bool{false, true} {
					earlyBackend := startEarlyBackend(t, test.answer, test.finish)
					body := &endlessBody{ended: make(chan struct{}), err: test.callerErr}
					got, err := earlyBackend.upload(t, body, length, late)
					if test.complete && (got != "body" || err != nil) {
						t.Errorf("head read late %v: a complete answer gives %q, %v", late, got, err)
					} else if !test.complete && err == nil {
						t.Errorf("head read late %v: an answer that was truncated looks complete: %q", late, got)
					}
				}
			})
		}
	}
}

// upload sends a request with body, and returns the body of its answer. The head is read
// before the connection ends or, if late is true, after the upload has ended; the rest is
// read after that.
func (earlyBackend *earlyBackend) upload(t *testing.T, body *endlessBody, length int64, late bool) (string, error) {
	t.Helper()
	sender := newSender(t)
	sender.SetDialect(lenient{})
	request, err := dispatcher.NewRequest("id-1", "ledger", http.MethodPost, "/", nil).WithBody(body, length)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := sender.dial(t.Context(), earlyBackend.endpoint())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	exchange := &exchange{
		sender: sender, connection: connection, endpoint: earlyBackend.endpoint(), request: request, ctx: t.Context(),
	}
	var answer io.Reader
	if late {
		if err := exchange.write(); err != nil {
			t.Fatal(err)
		}
	} else if answer, err = exchange.roundTrip(); err != nil {
		t.Fatal(err)
	}
	close(earlyBackend.received)
	close(body.ended)
	<-exchange.upload.done
	close(earlyBackend.uploaded)
	if late {
		response, err := connection.readHead(http.MethodPost, 4096)
		if err != nil {
			t.Fatal(err)
		}
		answer = response.Body
	}
	got, err := io.ReadAll(answer)
	if !late && err != nil {
		wantFailure(t, err, dispatcher.Malformed)
	}
	return string(got), err
}

// slowConn is a connection whose write has taken the reset from the socket, but returns
// only when its deadline is set.
type slowConn struct {
	net.Conn
	unread   io.Reader
	writing  chan struct{}
	deadline chan struct{}
	once     sync.Once
}

// Read returns the received bytes, and io.EOF once the write has taken the reset.
func (slowConn *slowConn) Read(buffer []byte) (int, error) {
	count, err := slowConn.unread.Read(buffer)
	if err == io.EOF {
		<-slowConn.writing
	}
	return count, err
}

// Write returns the reset late.
func (slowConn *slowConn) Write([]byte) (int, error) {
	close(slowConn.writing)
	<-slowConn.deadline
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

// SetWriteDeadline lets Write return.
func (slowConn *slowConn) SetWriteDeadline(time.Time) error {
	slowConn.once.Do(func() { close(slowConn.deadline) })
	return nil
}

// TestAnswerDuringWrite checks that the end of an answer waits for a write that
// has not reported its result yet.
func TestAnswerDuringWrite(t *testing.T) {
	conn := &slowConn{
		unread:  strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhalf"),
		writing: make(chan struct{}), deadline: make(chan struct{}),
	}
	connection := newConnection(conn)
	response, err := connection.readHead(http.MethodPost, 4096)
	if err != nil {
		t.Fatal(err)
	}
	upload := newUpload(connection, strings.NewReader("x"), 1)
	go upload.run()
	if got, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("an answer truncated by a reset is read as complete: %q", got)
	}
	_ = conn.SetWriteDeadline(time.Now())
	upload.wait()
}
