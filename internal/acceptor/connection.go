package acceptor

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Bounds on the requests of one connection that have no response yet. The connection
// reads no further request until it is below both, and does not notice that the
// caller has left for as long.
const (
	maxPipelined      = 8
	maxPipelinedBytes = 128 << 10
)

// Times around the end of a connection.
const (
	// lingerTime is how long a connection that this host has ended waits for the
	// caller to close it. Closing it with unread bytes would reset it, and the caller
	// might lose the last response.
	lingerTime = 500 * time.Millisecond
	// maxLingerTime limits the wait for a caller that goes on sending a body after its
	// request has been refused.
	maxLingerTime = 5 * time.Second
	// lastReadTime is how long an idle connection is still read after a stop: a
	// request that had arrived by then is served.
	lastReadTime = 20 * time.Millisecond
	// firstRequestTime is how long a connection without a request is still read after
	// a stop, and one whose last response has not announced that it closes: its caller
	// is about to send one.
	firstRequestTime = time.Second
)

// readerBytes is the size of the buffer of a connection without a large header.
const readerBytes = 4 << 10

// phase is what a connection's task reads.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHead reads a header.
	phaseHead
	// phaseBody leaves reading to the body of the latest request.
	phaseBody
	// phaseEnd discards what the caller sends, since no more requests are accepted.
	phaseEnd
)

// connection is a connection of a caller. Its task reads the requests, and each
// request has a task that handles it. Requests that may be repeated run beside each
// other; responses are written in the order of the requests.
type connection struct {
	acceptor *Acceptor
	conn     net.Conn
	// reader is used by the task, or by the body of the latest request in phaseBody.
	reader *bufio.Reader
	// limits are those of the latest request. Only the task changes them; other tasks
	// read them while they hold mu.
	limits Limits
	// ctx is done once the caller has left or the connection has failed; cancelCause
	// ends all requests.
	ctx         context.Context
	cancelCause context.CancelCauseFunc
	// requests is done once the requests are given up, which cancelRequests does: they
	// get refusals as their responses.
	requests       context.Context
	cancelRequests context.CancelCauseFunc
	// exchanges tracks the tasks of requests.
	exchanges sync.WaitGroup
	// latest is closed once the response to the latest request has been written, and
	// barrier once the latest request that is not repeatable has ended.
	latest, barrier <-chan struct{}
	// freed receives an item when a request ends.
	freed chan struct{}
	// unread is true if the connection ends without an announcement: what its caller may
	// still send is not read, since it would go unanswered. Only the task uses it.
	unread bool

	// mu guards the fields below and the read deadline.
	mu    sync.Mutex
	phase phase
	// pipelined and pipelinedBytes count the requests without a response.
	pipelined, pipelinedBytes int
	// newest is the latest request that was accepted.
	newest *exchange
	// answered is when the last response ended; zero before the first one.
	answered time.Time
	// begun is true while a request is read, or has arrived, that has not been accepted.
	begun bool
	// reading is the request whose body is being read before it is accepted; nil if
	// there is none.
	reading *exchange
	// closing is true once a response announces that the connection closes. No request
	// is accepted after that.
	closing bool
	// stopping is true once the host stops: the newest request is the last one.
	stopping bool
}

// alwaysClosed is a closed channel.
var alwaysClosed = func() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

func newConnection(acceptor *Acceptor, conn net.Conn) *connection {
	ctx, cancel := context.WithCancelCause(context.Background())
	requests, cancelRequests := context.WithCancelCause(ctx)
	return &connection{
		acceptor: acceptor, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes),
		limits: acceptor.limiter.Limits(), ctx: ctx, cancelCause: cancel,
		requests: requests, cancelRequests: cancelRequests,
		latest: alwaysClosed, barrier: alwaysClosed, freed: make(chan struct{}, 1),
	}
}

// cancel ends all requests, since the caller has left or the connection has failed.
func (connection *connection) cancel() { connection.cancelCause(context.Canceled) }

// run serves the connection until it has ended and all its requests have.
func (connection *connection) run() {
	defer connection.acceptor.remove(connection)
	defer connection.exchanges.Wait()
	defer func() { _ = connection.conn.Close() }()
	defer connection.cancel()
	defer context.AfterFunc(connection.ctx, connection.interrupt)()
	defer connection.recover()
	connection.serve()
	connection.end()
}

// recover ends the connection if reading a request has panicked.
func (connection *connection) recover() {
	if cause := recover(); cause != nil {
		klog.ErrorS(nil, "connection failed with a panic; please report it", "cause", cause, "stack", string(debug.Stack()))
	}
}

// serve reads requests until no more is accepted.
func (connection *connection) serve() {
	for {
		connection.enter(phaseIdle)
		if _, err := connection.reader.Peek(1); err != nil && !(isTimeout(err) && connection.readArrived()) {
			connection.readFailed(err)
			return
		}
		connection.updateLimits()
		connection.enter(phaseHead)
		request, err := connection.readRequest(connection.limits.headerBytes)
		if isTimeout(err) && connection.headBegun() {
			err = &statusError{http.StatusRequestTimeout, "the header did not arrive in time"}
		}
		if failed, ok := isStatusError(err); ok {
			connection.accept(newExchange(connection, nil, failed))
			return
		}
		if err != nil {
			connection.readFailed(err)
			return
		}
		connection.enter(phaseBody)
		exchange := newExchange(connection, request, nil)
		accepted := connection.accept(exchange)
		if !accepted {
			exchange.logCut()
		}
		if !accepted {
			return
		}
		select {
		case <-exchange.body.ended:
		case <-exchange.done:
		}
		if !exchange.body.complete.Load() {
			return // The start of the next request is unknown.
		}
		if request.Close || !request.ProtoAtLeast(1, 1) {
			return
		}
	}
}

// readFailed processes an error of reading between two requests or in a header: the
// caller has left, or it has sent nothing for too long.
func (connection *connection) readFailed(err error) {
	if !isTimeout(err) {
		connection.cancel()
		return
	}
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.unread = !connection.closing
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// accept starts the task of a request once there is room for it. It returns false
// if the connection accepts no more; the request is not handled then.
func (connection *connection) accept(exchange *exchange) bool {
	exchange.prepare()
	for !connection.hasRoom() {
		select {
		case <-connection.freed:
		case <-connection.ctx.Done():
			return false
		}
	}
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if connection.closing || connection.ctx.Err() != nil {
		return false
	}
	exchange.streamed = !exchange.body.complete.Load()
	connection.newest, connection.begun = exchange, !exchange.streamed && connection.reader.Buffered() > 0
	connection.pipelined++
	connection.pipelinedBytes += exchange.size
	exchange.previous, exchange.barrier = connection.latest, connection.barrier
	connection.latest = exchange.done
	if !exchange.repeatable {
		connection.barrier = exchange.done
	}
	connection.exchanges.Add(1)
	connection.acceptor.workers.start(exchange)
	return true
}

// hasRoom reports whether another request may be accepted.
func (connection *connection) hasRoom() bool {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	return connection.pipelined < maxPipelined && connection.pipelinedBytes < maxPipelinedBytes
}

// remove removes a request that has ended.
func (connection *connection) remove(exchange *exchange) {
	defer connection.exchanges.Done()
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.pipelined--
	connection.answered = time.Now()
	connection.pipelinedBytes -= exchange.size
	if connection.phase == phaseIdle || connection.phase == phaseEnd {
		connection.updateDeadline()
	}
	select {
	case connection.freed <- struct{}{}:
	default:
	}
}

// closesAfter decides whether the connection closes after the response of exchange,
// whose header is about to be written. It does if it must, and after the newest
// request if no more are accepted and none is being read. It does not if others may have
// arrived or will until the end of the response: they could not be answered.
func (connection *connection) closesAfter(exchange *exchange, must, others bool) bool {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	stopping := connection.stopping || connection.acceptor.isStopping()
	last := connection.phase == phaseEnd || stopping && !connection.begun && !others
	if must || last && connection.newest == exchange {
		connection.closing = true
	}
	return connection.closing
}

// updateLimits takes over the limits in force.
func (connection *connection) updateLimits() {
	limits := connection.acceptor.limiter.Limits()
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.limits = limits
}

// enter starts a phase.
func (connection *connection) enter(phase phase) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.phase = phase
	connection.begun = connection.begun || phase == phaseHead
	connection.updateDeadline()
}

// updateDeadline sets the read deadline of the phase; mu is held.
func (connection *connection) updateDeadline() {
	if connection.ctx.Err() != nil || connection.requests.Err() != nil && connection.phase != phaseEnd {
		return // The connection was interrupted.
	}
	now := time.Now()
	deadline := time.Time{}
	switch {
	case connection.phase == phaseBody:
		return
	case connection.phase == phaseHead:
		deadline = now.Add(connection.limits.headerTimeout)
	case connection.pipelined > 0:
		// The task reads only to notice that the caller leaves.
	case connection.phase == phaseEnd:
		closeWrite(connection.conn)
		deadline = now.Add(lingerTime)
	case connection.closing:
		deadline = now.Add(lastReadTime)
	case connection.stopping && connection.newest != nil:
		deadline = now.Add(lastReadTime)
		if next := connection.answered.Add(firstRequestTime); next.After(deadline) {
			deadline = next
		}
	case connection.stopping:
		deadline = now.Add(firstRequestTime)
	case connection.newest == nil:
		deadline = now.Add(connection.limits.headerTimeout)
	default:
		deadline = now.Add(connection.limits.idleTimeout)
	}
	_ = connection.conn.SetReadDeadline(deadline)
}

// allowBody sets the deadline for the next part of a body.
func (connection *connection) allowBody(deadline time.Time) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if connection.requests.Err() == nil && (connection.reading == nil || connection.reading.refusal == nil) {
		_ = connection.conn.SetReadDeadline(deadline)
	}
}

// interruptBody ends a pending read of a body.
func (connection *connection) interruptBody() { connection.allowBody(time.Unix(1, 0)) }

// interrupt ends all pending reads and writes, and makes later ones fail.
func (connection *connection) interrupt() {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	_ = connection.conn.SetDeadline(time.Unix(1, 0))
}

// closeWrite announces the end of the responses.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // It fails if the caller has closed the connection.
	}
}

// write sends data, and ends the connection if the caller does not read it in time.
func (connection *connection) write(data []byte) error {
	err := connection.conn.SetWriteDeadline(time.Now().Add(connection.acceptor.limits.bodyTimeout))
	if err == nil && connection.ctx.Err() == nil {
		_, err = connection.conn.Write(data)
	}
	if err != nil {
		connection.cancel()
		return err
	}
	return connection.ctx.Err()
}

// Write implements io.Writer for the buffers of responses.
func (connection *connection) Write(data []byte) (int, error) {
	if err := connection.write(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

var _ http.ResponseWriter = (*response)(nil)
