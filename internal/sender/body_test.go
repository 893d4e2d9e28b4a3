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

// earlyBackend answers one request before it has read its body, without a length. Then
// finish ends the connection.
type earlyBackend struct {
	listener net.Listener
	finish   func(conn *net.TCPConn)
	// received is closed when the answer has reached the sender.
	received chan struct{}
	// done is closed when finish has returned.
	done chan struct{}
}

func startEarlyBackend(t *testing.T, finish func(conn *net.TCPConn)) *earlyBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	earlyBackend := &earlyBackend{listener: listener, finish: finish, received: make(chan struct{}), done: make(chan struct{})}
	go earlyBackend.run()
	return earlyBackend
}

func (earlyBackend *earlyBackend) run() {
	defer close(earlyBackend.done)
	conn, err := earlyBackend.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
	<-earlyBackend.received
	earlyBackend.finish(conn.(*net.TCPConn))
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

// TestUnsizedAnswerDuringUpload guards against an answer that a reset has cut looking
// complete. The socket reports a reset once: if a write of the request's body gets it, a
// read finds the end of the connection. The test reads the answer only after that write.
func TestUnsizedAnswerDuringUpload(t *testing.T) {
	for name, test := range map[string]struct {
		finish func(conn *net.TCPConn)
		// callerErr ends the body of the request.
		callerErr error
		whole     bool
	}{
		"reset": {finish: reset},
		"half closed, then reset": {finish: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		}, whole: true},
		"half closed, the caller leaves": {finish: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, callerErr: errors.New("the caller left"), whole: true},
	} {
		for framing, length := range map[string]int64{"length": 1 << 40, "chunks": -1} {
			t.Run(name+", upload by "+framing, func(t *testing.T) {
				earlyBackend := startEarlyBackend(t, test.finish)
				sender := newSender(t)
				sender.SetDialect(lenient{})
				body := &endlessBody{ended: make(chan struct{}), err: test.callerErr}
				request, err := dispatcher.NewRequest("id-1", "ledger", http.MethodPost, "/", nil).WithBody(body, length)
				if err != nil {
					t.Fatal(err)
				}
				connection, err := sender.dial(t.Context(), earlyBackend.endpoint())
				if err != nil {
					t.Fatal(err)
				}
				exchange := &exchange{
					sender: sender, connection: connection, endpoint: earlyBackend.endpoint(), request: request, ctx: t.Context(),
				}
				answer, err := exchange.roundTrip()
				if err != nil {
					t.Fatal(err)
				}
				close(earlyBackend.received)
				close(body.ended)
				<-exchange.upload.done
				got, err := io.ReadAll(answer)
				_ = answer.Close()
				<-earlyBackend.done
				if string(got) != "half" {
					t.Errorf("got %q", got)
				}
				if !test.whole {
					wantFailure(t, err, dispatcher.Malformed)
				} else if err != nil {
					t.Errorf("a whole answer fails: %v", err)
				}
			})
		}
	}
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

// TestUnsizedAnswerDuringWrite checks that the end of an answer waits for a write that
// has not reported its result yet.
func TestUnsizedAnswerDuringWrite(t *testing.T) {
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
		t.Errorf("an answer cut by a reset is read as complete: %q", got)
	}
	_ = conn.SetWriteDeadline(time.Now())
	upload.wait()
}
