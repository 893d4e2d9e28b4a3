package acceptor

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pendingBytes is the size up to which a body of unknown length is held back, so that
// it is sent with its length.
const pendingBytes = 2 << 10

// errConnectionEnded is the error of writing a response whose connection has ended.
var errConnectionEnded = errors.New("the caller's connection has ended")

// response writes one response. It waits for the responses before it, so that its
// handler may finish first.
type response struct {
	exchange *exchange
	header   http.Header
	// status is 0 until WriteHeader.
	status int
	// length is the announced length of the body in bytes, or -1.
	length int64
	// pending is the start of a body whose length is not known yet.
	pending []byte
	// sent is true once the header has been written to writer.
	sent bool
	// chunked is true if the body is sent in chunks, and bodyless if there is none.
	chunked, bodyless bool
	// closes is true if the connection closes after the response.
	closes bool
	// ready is true if the whole body is at hand when the header is sent.
	ready bool
	// written counts the bytes of the body.
	written int64
	// writer is nil until the responses before this one have been written.
	writer *bufio.Writer
}

// writers is a pool of buffers for responses.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// Header returns the header, which may be changed until it is sent.
func (response *response) Header() http.Header { return response.header }

// WriteHeader sets the status; further calls and interim statuses have no effect.
func (response *response) WriteHeader(status int) {
	if response.status != 0 || status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return
	}
	response.status = status
	response.bodyless = response.exchange.request.Method == http.MethodHead ||
		status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
	if length, err := strconv.ParseInt(response.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		response.length = length
	}
}

// Write sends a part of the body, once it is this response's turn.
func (response *response) Write(data []byte) (int, error) {
	if response.status == 0 {
		response.WriteHeader(http.StatusOK)
	}
	response.written += int64(len(data))
	if response.bodyless {
		return len(data), nil
	}
	if response.length >= 0 && response.written > response.length {
		return 0, http.ErrContentLength
	}
	if !response.sent && response.length < 0 && len(response.pending)+len(data) <= pendingBytes {
		response.pending = append(response.pending, data...)
		return len(data), nil
	}
	if err := response.sendHeader(); err != nil {
		return 0, err
	}
	return len(data), response.sendPart(data)
}

// sendPart sends a part of the body behind the header.
func (response *response) sendPart(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if response.chunked {
		_, _ = fmt.Fprintf(response.writer, "%x\r\n", len(data)) // The writer keeps its error.
	}
	_, err := response.writer.Write(data)
	if response.chunked {
		_, err = response.writer.WriteString("\r\n")
	}
	return err
}

// sendHeader waits for the response's turn and writes the header and the pending part
// of the body.
func (response *response) sendHeader() error {
	if response.sent {
		return nil
	}
	exchange := response.exchange
	if !exchange.awaitTurn() {
		return errConnectionEnded
	}
	response.sent = true
	exchange.stage = stageAnswering
	response.writer = writers.Get().(*bufio.Writer)
	response.writer.Reset(exchange.connection)
	request, header := exchange.request, response.header
	unframed := response.length < 0 && !response.bodyless
	response.chunked = unframed && request.ProtoAtLeast(1, 1)
	must := request.Close || !request.ProtoAtLeast(1, 1) || header.Get("Connection") == "close" || !exchange.body.complete.Load()
	ready := response.ready || response.bodyless || response.length >= 0 && response.written >= response.length
	response.closes = exchange.connection.closesAfter(exchange, must, !ready || exchange.streamed)
	for _, name := range []string{"Connection", "Transfer-Encoding"} {
		header.Del(name)
	}
	if response.closes {
		header.Set("Connection", "close")
	}
	if response.chunked {
		header.Set("Transfer-Encoding", "chunked")
	}
	if unframed || response.status == http.StatusNoContent {
		header.Del("Content-Length")
	}
	if header.Get("Date") == "" {
		header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_, _ = fmt.Fprintf(response.writer, "HTTP/1.1 %03d %s\r\n", response.status, http.StatusText(response.status))
	_ = header.Write(response.writer) // The writer keeps its error.
	_, _ = response.writer.WriteString("\r\n")
	return response.sendPart(response.pending)
}

// FlushError sends what has been written.
func (response *response) FlushError() error {
	if response.status == 0 {
		response.WriteHeader(http.StatusOK)
	}
	if err := response.sendHeader(); err != nil {
		return err
	}
	return response.writer.Flush()
}

// end sends the rest of the response. It ends the connection if the body is shorter
// than announced, so that the caller does not take it as complete.
func (response *response) end() {
	if response.status == 0 {
		response.WriteHeader(http.StatusOK)
	}
	if !response.sent && response.length < 0 && !response.bodyless {
		response.length = int64(len(response.pending))
		response.header.Set("Content-Length", strconv.FormatInt(response.length, 10))
	}
	if err := response.sendHeader(); err != nil {
		return
	}
	if !response.bodyless && response.length > response.written {
		response.exchange.connection.cancel()
		return
	}
	if response.chunked {
		_, _ = response.writer.WriteString("0\r\n\r\n")
	}
	if response.writer.Flush() == nil { // A failure has ended the connection.
		response.exchange.stage = stageAnswered
	}
}

// abort ends the connection within the response. One whose end is the end of the
// connection is reset, so that the caller does not take it as complete.
func (response *response) abort() {
	connection := response.exchange.connection
	if conn, ok := connection.conn.(*net.TCPConn); ok && response.sent && response.length < 0 && !response.chunked {
		_ = conn.SetLinger(0) // It fails only on a closed connection.
	}
	connection.cancel()
}

// release returns the buffer. Parts that were not flushed are dropped.
func (response *response) release() {
	if response.writer == nil {
		return
	}
	response.writer.Reset(nil)
	writers.Put(response.writer)
	response.writer = nil
}
