package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// errBodyTooLarge is the error for a body of unknown length that exceeds its limit.
var errBodyTooLarge = errors.New("the body exceeds its limit")

// requestBody is the body of a request. While it is read, the connection reads
// nothing else.
type requestBody struct {
	exchange *exchange
	// mu is held during a read, so that none goes on after close.
	mu     sync.Mutex
	reader io.ReadCloser
	// closed is true once no read may begin.
	closed atomic.Bool
	// expected is true until the caller has been told to send the body.
	expected bool
	// bytes is the number of bytes read.
	bytes int64
	// limit is the time after which no read waits, in nanoseconds of the Unix time; 0 for
	// no limit.
	limit atomic.Int64
	// tooLarge is true once the body has exceeded the limit on its size.
	tooLarge atomic.Bool
	// ended is closed at the end of the body, or when it will not be read any more.
	ended chan struct{}
	// complete is true after the end of the body.
	complete atomic.Bool
}

// awaited reports whether the caller waits to be told to send the body.
func (requestBody *requestBody) awaited() bool {
	requestBody.mu.Lock()
	defer requestBody.mu.Unlock()
	return requestBody.expected
}

// end marks the end of the body; further calls have no effect.
func (requestBody *requestBody) end() {
	if requestBody.complete.CompareAndSwap(false, true) {
		close(requestBody.ended)
	}
}

// Read fails if the caller sends nothing within the time limit, and once the body
// exceeds the limit on its size.
func (requestBody *requestBody) Read(buffer []byte) (int, error) {
	requestBody.mu.Lock()
	defer requestBody.mu.Unlock()
	connection := requestBody.exchange.connection
	if requestBody.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if requestBody.complete.Load() {
		return 0, io.EOF
	}
	if requestBody.expected && !requestBody.invite() {
		return 0, io.ErrUnexpectedEOF
	}
	limits := requestBody.exchange.limits
	deadline := time.Now().Add(limits.bodyTimeout)
	if limit := requestBody.limit.Load(); limit > 0 {
		deadline = time.Unix(0, limit)
	}
	connection.allowBody(deadline)
	if requestBody.closed.Load() {
		return 0, http.ErrBodyReadAfterClose // The interrupt may have come before allowBody.
	}
	count, err := requestBody.reader.Read(buffer)
	requestBody.bytes += int64(count)
	if limits.bodyBytes > 0 && requestBody.bytes > limits.bodyBytes {
		requestBody.tooLarge.Store(true)
		return 0, errBodyTooLarge
	}
	switch {
	case err == io.EOF:
		requestBody.end()
	case err == io.ErrUnexpectedEOF || errors.As(err, new(net.Error)) && !isTimeout(err):
		connection.cancel() // The caller has left.
	}
	return count, err
}

// Limits of reading the body of a refused request, so that its connection can be used
// further.
const (
	maxDiscardTime  = 100 * time.Millisecond
	maxDiscardBytes = 256 << 10
)

// discard reads and discards the rest of the body if it has arrived or does so in
// maxDiscardTime, so that the next request of the connection can be found.
func (requestBody *requestBody) discard() {
	if requestBody.complete.Load() {
		return
	}
	// An upload that is given up may still read; the limit ends its read, too.
	limit := time.Now().Add(maxDiscardTime)
	requestBody.limit.Store(limit.UnixNano())
	requestBody.exchange.connection.allowBody(limit)
	if requestBody.awaited() {
		return
	}
	_, _ = io.CopyN(io.Discard, requestBody, maxDiscardBytes) // What is left ends the connection.
}

// invite tells the caller to send the body.
func (requestBody *requestBody) invite() bool {
	requestBody.expected = false
	exchange := requestBody.exchange
	if !exchange.awaitTurn() {
		return false
	}
	return exchange.connection.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) == nil
}

// Close does nothing; the exchange closes its body.
func (requestBody *requestBody) Close() error { return nil }

// close ends reading. A pending read is interrupted, since the request has its
// response.
func (requestBody *requestBody) close() {
	if requestBody.complete.Load() {
		return
	}
	requestBody.closed.Store(true)
	requestBody.exchange.connection.interruptBody()
	requestBody.mu.Lock() // Waits for a pending read.
	defer requestBody.mu.Unlock()
}

// refusal returns the refusal for err if the body was too large, or err.
func (requestBody *requestBody) refusal(err error) error {
	if err == nil || !requestBody.tooLarge.Load() {
		return err
	}
	ran := refuser.Unknown
	if refusal := new(refuser.Refusal); errors.As(err, &refusal) {
		ran = refusal.Ran()
	}
	return refuser.New(refuser.KindTooLarge, ran, errBodyTooLarge.Error()).WithCause(err)
}
