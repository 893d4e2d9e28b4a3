package acceptor

import (
	"bytes"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stop makes the newest request the last one, ends an idle connection, and refuses a
// request whose body is being read if it can't be sent any more.
func (connection *connection) stop() {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.stopping = true
	if connection.phase == phaseIdle {
		connection.updateDeadline()
	}
	connection.checkReading()
}

// giveUp gives up all requests: their responses are refusals, unless they have begun.
func (connection *connection) giveUp() {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.cancelRequests(errStopTimeout)
	if connection.phase != phaseEnd {
		_ = connection.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// startReading makes exchange the request whose body is being read, unless it will not be
// sent.
func (connection *connection) startReading(exchange *exchange) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.reading = exchange
	connection.checkReading()
}

// checkReading refuses the request whose body is being read if it will not be sent. Of
// the body, only what arrives in lastReadTime is read then: if that is all of it, the next
// request can be found. The refusal of a request that waits behind others does not come
// sooner without its body. The caller holds mu.
func (connection *connection) checkReading() {
	exchange := connection.reading
	if exchange == nil || exchange.refusal != nil || connection.pipelined > 0 {
		return
	}
	if exchange.refusal = connection.acceptor.dispatcher.Check(exchange.head); exchange.refusal != nil {
		_ = connection.conn.SetReadDeadline(time.Now().Add(lastReadTime))
	}
}

// endReading ends reading of a body, and returns why it was refused meanwhile.
func (connection *connection) endReading() error {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	refusal := connection.reading.refusal
	connection.reading = nil
	return refusal
}

// end waits until the last response has been written, and then for the caller to
// close the connection, for lingerTime after the last bytes that the caller sends. A
// caller that closes it earlier has left.
func (connection *connection) end() {
	connection.enter(phaseEnd)
	if connection.unread {
		connection.exchanges.Wait()
		return
	}
	var buffer [512]byte
	for ; connection.lingers(); connection.enter(phaseEnd) {
		if _, err := connection.reader.Read(buffer[:]); err != nil {
			return
		}
	}
}

// lingers reports whether the connection still waits for its last response or, for
// maxLingerTime after that, for the caller.
func (connection *connection) lingers() bool {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	return connection.pipelined > 0 || time.Since(connection.answered) < maxLingerTime
}

// readArrived reads what has arrived by now although the read deadline has passed, and
// reports whether there is something. On a busy processor the deadline may pass before a
// read finds the bytes that wait for it.
func (connection *connection) readArrived() bool {
	conn, ok := connection.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil || !connection.clearDeadline() {
		return false
	}
	var buffer [readerBytes]byte
	count := 0
	err = raw.Read(func(fd uintptr) bool {
		count, _ = unix.Read(int(fd), buffer[:]) // A later read reports the error again.
		return true
	})
	if err != nil || count <= 0 {
		return false
	}
	connection.reader.Reset(io.MultiReader(bytes.NewReader(buffer[:count]), connection.conn))
	return true
}

// clearDeadline removes the read deadline. It returns false if the connection has ended.
func (connection *connection) clearDeadline() bool {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	return connection.ctx.Err() == nil && connection.conn.SetReadDeadline(time.Time{}) == nil
}
