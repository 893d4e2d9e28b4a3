package acceptor

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
)

// wrappingListener changes the connections that it accepts.
type wrappingListener struct {
	*net.TCPListener
	wrap func(conn *net.TCPConn) net.Conn
	// accepting, if set, is called before each Accept; an error is returned in place of a
	// connection.
	accepting func() error
}

// Accept accepts a connection.
func (wrappingListener *wrappingListener) Accept() (net.Conn, error) {
	if wrappingListener.accepting != nil {
		if err := wrappingListener.accepting(); err != nil {
			return nil, err
		}
	}
	conn, err := wrappingListener.AcceptTCP()
	if err != nil || wrappingListener.wrap == nil {
		return conn, err
	}
	return wrappingListener.wrap(conn), nil
}

// newWrappedFixture returns a fixture whose listener is changed before it is used.
func newWrappedFixture(t *testing.T, change func(*wrappingListener)) *fixture {
	t.Helper()
	return newFixtureWith(t, testLimits, func(acceptor *Acceptor) {
		listener := &wrappingListener{TCPListener: acceptor.listener.(*net.TCPListener)}
		change(listener)
		acceptor.SetListener(listener)
	})
}

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

// Read reads and counts.
func (countingConn *countingConn) Read(buffer []byte) (int, error) {
	count, err := countingConn.Conn.Read(buffer)
	countingConn.count.Add(int64(count))
	return count, err
}

// CloseWrite closes the write side.
func (countingConn *countingConn) CloseWrite() error {
	return countingConn.Conn.(*net.TCPConn).CloseWrite()
}

// TestRequestBehindIdleClose sends a request on a connection that a stop has closed while
// it was idle. It was read and discarded, so that its caller could not know that it had
// not run.
func TestRequestBehindIdleClose(t *testing.T) {
	var count atomic.Int64
	fixture := newWrappedFixture(t, func(listener *wrappingListener) {
		listener.wrap = func(conn *net.TCPConn) net.Conn { return &countingConn{Conn: conn, count: &count} }
	})
	fixture.send(t, get("/1"))
	fixture.answer("/1")
	fixture.awaitStart(t, "/1")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
	fixture.stop()
	fixture.expectEnd(t)
	_, _ = io.WriteString(fixture.conn, post("/2", "pay")) // The connection may have been reset.
	fixture.awaitStop(t)
	if read := count.Load(); read != int64(len(get("/1"))) {
		t.Errorf("%d bytes were read, want the %d of the first request", read, len(get("/1")))
	}
}

// awaitStop waits until the acceptor has stopped.
func (fixture *fixture) awaitStop(t *testing.T) {
	t.Helper()
	select {
	case err := <-fixture.stopped:
		fixture.stopped <- err
	case <-time.After(5 * time.Second):
		t.Fatal("the acceptor does not stop")
	}
}

// lateConn reports a passed read deadline in place of its first read.
type lateConn struct {
	*net.TCPConn
	// late receives an item when the first Read is to end.
	late     <-chan struct{}
	reported bool
}

// Read reads, unless the deadline is to be reported.
func (lateConn *lateConn) Read(buffer []byte) (int, error) {
	if !lateConn.reported {
		lateConn.reported = true
		<-lateConn.late
		return 0, os.ErrDeadlineExceeded
	}
	return lateConn.TCPConn.Read(buffer)
}

// TestBytesBehindPassedDeadline sends a request on an idle connection whose read deadline
// is noticed before the bytes that have arrived. The request was discarded.
func TestBytesBehindPassedDeadline(t *testing.T) {
	late := make(chan struct{})
	fixture := newWrappedFixture(t, func(listener *wrappingListener) {
		listener.wrap = func(conn *net.TCPConn) net.Conn { return &lateConn{TCPConn: conn, late: late} }
	})
	fixture.send(t, get("/1"))
	late <- struct{}{}
	fixture.awaitStart(t, "/1")
	fixture.answer("/1")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
}

// TestConnectionsWaitAtStop opens a connection that is not accepted before the listener's
// deadline has passed. It was reset.
func TestConnectionsWaitAtStop(t *testing.T) {
	var fixture *fixture
	held, passed := make(chan struct{}), false
	fixture = newWrappedFixture(t, func(listener *wrappingListener) {
		listener.accepting = func() error {
			if <-held; passed {
				return nil
			}
			passed = true
			time.Sleep(2 * lastAcceptTime)
			return os.ErrDeadlineExceeded
		}
	})
	fixture.send(t, get("/1"))
	fixture.stop()
	close(held)
	fixture.awaitStart(t, "/1")
	fixture.answer("/1")
	fixture.expect(t, http.MethodGet, http.StatusOK, "/1", true)
}

// TestRequestReadAtStop checks that the response before a request that is being read does
// not announce that the connection closes. It did, and the request was dropped.
func TestRequestReadAtStop(t *testing.T) {
	for _, begun := range []int{len("GET"), len(post("/2", "pay")) - 1} {
		fixture := newFixtureWith(t, testLimits, func(acceptor *Acceptor) { acceptor.SetStopper(begunStop(time.Minute)) })
		second := post("/2", "pay")
		fixture.send(t, get("/1"), second[:begun])
		fixture.awaitStart(t, "/1")
		fixture.awaitPhase(t)
		fixture.answer("/1")
		fixture.expect(t, http.MethodGet, http.StatusOK, "/1", false)
		fixture.send(t, second[begun:])
		fixture.awaitStart(t, "/2")
		fixture.answer("/2")
		fixture.expect(t, http.MethodPost, http.StatusOK, "/2", true)
	}
}

// awaitPhase waits until all connections read a request that is not accepted.
func (fixture *fixture) awaitPhase(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		begun := 0
		open := fixture.acceptor.openConnections()
		for _, connection := range open {
			connection.mu.Lock()
			if connection.begun {
				begun++
			}
			connection.mu.Unlock()
		}
		if len(open) > 0 && begun == len(open) {
			return
		}
	}
	t.Fatal("the request is not read")
}

// patientLimits let callers take their time.
var patientLimits = NewLimits(4096, time.Minute, time.Minute, time.Minute)

// TestStopEndsWithAnswers checks that the end of a stop answers the requests that are
// left: one at work, one that waits for it and one that is being sent. Their connections
// were closed in silence.
func TestStopEndsWithAnswers(t *testing.T) {
	fixture := newFixtureWith(t, patientLimits, func(acceptor *Acceptor) {
		acceptor.SetStopper(begunStop(200 * time.Millisecond))
	})
	upload, uploadReader := fixture.conn, fixture.reader
	fixture.send(t, post("/3", "pay")[:len(post("/3", "pay"))-1])
	fixture.connect(t)
	fixture.send(t, post("/1", "pay"), post("/2", "pay"))
	fixture.awaitStart(t, "/1")
	fixture.stop()
	fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), false)
	fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), true)
	fixture.conn, fixture.reader = upload, uploadReader
	fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), true)
	fixture.expectEnd(t)
	fixture.awaitStop(t)
}

// TestUploadBeyondStop checks that a request whose body is being sent when the host stops
// is refused at once if it would not be sent to an endpoint, and that its caller can go
// on sending without losing the response. It was read to its end, however long that took.
func TestUploadBeyondStop(t *testing.T) {
	leaving := refuser.New(refuser.KindLeaving, refuser.NotRun, "the host leaves")
	for _, text := range []string{
		"POST /s/ledger/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nhalf",
		"POST /s/ledger/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\nhalf",
	} {
		fixture := newFixture(t, patientLimits)
		fixture.send(t, text)
		fixture.awaitBody(t)
		fixture.refuse(leaving)
		fixture.stop()
		fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), true)
		for range 4 {
			time.Sleep(lingerTime / 3)
			fixture.send(t, strings.Repeat("x", 100))
		}
		fixture.noStart(t)
	}
}

// TestUploadRefusedWithItsHeader checks that a request that will not be sent is refused
// before its body is read, and that no caller is invited to send one.
func TestUploadRefusedWithItsHeader(t *testing.T) {
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		fixture := newFixture(t, testLimits)
		fixture.refuse(refuser.New(refuser.KindLeaving, refuser.NotRun, "the host leaves"))
		fixture.send(t, "POST /s/ledger/1 HTTP/1.1\r\nHost: a\r\n"+expect+"Content-Length: 1000\r\n\r\n")
		fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), true)
		fixture.noStart(t)
	}
}

// awaitBody waits until the connection reads a body.
func (fixture *fixture) awaitBody(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, connection := range fixture.acceptor.openConnections() {
			connection.mu.Lock()
			reading := connection.reading
			connection.mu.Unlock()
			if reading != nil {
				return
			}
		}
	}
	t.Fatal("no body is read")
}

// TestHeaderBeyondStop checks that a request whose header is still being sent at the end
// of a stop is refused. Its connection was closed in silence. Line breaks alone are no
// request, and get no response.
func TestHeaderBeyondStop(t *testing.T) {
	fixture := newFixtureWith(t, patientLimits, func(acceptor *Acceptor) {
		acceptor.SetStopper(begunStop(200 * time.Millisecond))
	})
	breaks := fixture.reader
	fixture.send(t, "\r\n\r")
	fixture.connect(t)
	fixture.send(t, get("/1")[:20])
	fixture.awaitPhase(t)
	fixture.stop()
	fixture.expect(t, http.MethodGet, http.StatusRequestTimeout, "header", true)
	fixture.expectEnd(t)
	fixture.reader = breaks
	fixture.expectEnd(t)
	fixture.awaitStop(t)
}

// TestRequestBehindStreamedAnswer sends a request while the body of the answer before it
// takes its time, in a stop. That answer announced that the connection closes, and the
// request was discarded. The connection stays open for a while after such an answer.
func TestRequestBehindStreamedAnswer(t *testing.T) {
	for _, during := range []bool{true, false} {
		fixture := newFixtureWith(t, testLimits, func(acceptor *Acceptor) { acceptor.SetStopper(begunStop(time.Minute)) })
		body, rest := io.Pipe()
		t.Cleanup(func() { _ = rest.Close() })
		fixture.send(t, get("/1"))
		fixture.awaitStart(t, "/1")
		fixture.stop()
		fixture.answers("/1") <- newAnswer(-1, body)
		_, _ = io.WriteString(rest, strings.Repeat("x", pendingBytes+1))
		response, err := http.ReadResponse(fixture.reader, &http.Request{Method: http.MethodGet})
		if err != nil || response.Close {
			t.Fatalf("got %+v, %v; want an answer that announces nothing", response, err)
		}
		if during {
			fixture.send(t, post("/2", "pay"))
		}
		time.Sleep(2 * lastReadTime)
		_ = rest.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		if !during {
			time.Sleep(2 * lastReadTime)
			fixture.send(t, post("/2", "pay"))
		}
		fixture.awaitStart(t, "/2")
		fixture.answer("/2")
		fixture.expect(t, http.MethodPost, http.StatusOK, "/2", true)
	}
}

// TestRequestBehindRefusedUpload checks that a request behind one that is refused is
// answered if the body before it has arrived, or arrives before the refusal has its turn.
// The refusal announced that the connection closes, and the request was discarded.
func TestRequestBehindRefusedUpload(t *testing.T) {
	leaving := refuser.New(refuser.KindLeaving, refuser.NotRun, "the host leaves")
	long := strings.Repeat("x", dispatcher.BufferedBodyBytes+1000)
	for _, body := range []string{"pay", long} {
		fixture := newFixtureWith(t, patientLimits, func(acceptor *Acceptor) { acceptor.SetStopper(begunStop(time.Minute)) })
		fixture.refuse(leaving)
		fixture.send(t, post("/1", body), post("/2", "pay"))
		fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), false)
		fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), true)

		fixture.refuse(nil)
		fixture.connect(t)
		fixture.send(t, get("/3"), post("/4", body)[:len(post("/4", body))-1])
		fixture.awaitStart(t, "/3")
		fixture.refuse(leaving)
		time.Sleep(2 * lastReadTime)
		fixture.send(t, "y", post("/5", "pay"))
		fixture.answer("/3")
		fixture.expect(t, http.MethodGet, http.StatusOK, "/3", false)
		fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), false)
		fixture.expect(t, http.MethodPost, http.StatusServiceUnavailable, string(refuser.KindLeaving), true)
	}
}
