package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chivespool/chivespool/internal/definer"
)

// Limits of connections to endpoints.
const (
	bufferBytes = 4 << 10
	// defaultIdleTimeout applies to a connection whose endpoint sends no Keep-Alive
	// timeout. Of a timeout that the endpoint sends, idleTimeoutShare is used.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutShare   = 0.8
)

// connection is a connection to an endpoint, used by one request at a time.
type connection struct {
	net.Conn
	// number identifies the connection in this process.
	number uint64
	reader *bufio.Reader
	// readLimit is how many bytes the reader may still read from the connection.
	readLimit int64
	// mu is held during a write and guards writeErr.
	mu sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
	// written counts the bytes sent, and received those read.
	written, received int64
	// key is the connection's key in the pool.
	key string
	// lastUsed is when the connection last completed a response.
	lastUsed time.Time
	// expires is the time after which the connection is not reused.
	expires time.Time
}

// dial opens a connection to endpoint.
func (sender *Sender) dial(ctx context.Context, endpoint definer.Endpoint) (*connection, error) {
	start := time.Now()
	conn, err := sender.dialer.DialContext(ctx, "tcp", endpoint.Address())
	if err != nil {
		return nil, err
	}
	sender.meters.connect()
	sender.surveyor.RecordRoundTrip(time.Now(), endpoint.Place(), time.Since(start))
	connection := newConnection(conn)
	connection.number = sender.dialed.Add(1)
	connection.key = connectionKey(endpoint)
	connection.lastUsed = time.Now()
	connection.expires = connection.lastUsed.Add(defaultIdleTimeout)
	return connection, nil
}

func newConnection(conn net.Conn) *connection {
	connection := &connection{Conn: conn, readLimit: math.MaxInt64}
	connection.reader = bufio.NewReaderSize(&limitedReader{connection: connection}, bufferBytes)
	return connection
}

// connectionKey returns the pool's key for endpoint. It includes the start time,
// so that a restarted endpoint gets new connections.
func connectionKey(endpoint definer.Endpoint) string {
	return endpoint.Name() + " " + endpoint.Address() + " " + strconv.FormatInt(endpoint.StartedAt(), 36)
}

// errHeadTooLarge is the error for a response head that exceeds its limit.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// limitedReader reads from a connection up to its readLimit.
type limitedReader struct {
	connection *connection
}

// Read fails with errHeadTooLarge once the limit is reached.
func (limitedReader *limitedReader) Read(buffer []byte) (int, error) {
	connection := limitedReader.connection
	if connection.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := connection.Conn.Read(buffer[:min(int64(len(buffer)), connection.readLimit)])
	connection.readLimit -= int64(count)
	connection.received += int64(count)
	return count, err
}

// Write sends data and counts the bytes sent.
func (connection *connection) Write(data []byte) (int, error) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	count, err := connection.Conn.Write(data)
	connection.written += int64(count)
	if connection.writeErr == nil {
		connection.writeErr = err
	}
	return count, err
}

// passed is a deadline that has passed.
var passed = time.Unix(1, 0)

// endWrites makes pending and later writes fail, waits for a pending one, and returns the
// first error of a write.
func (connection *connection) endWrites() error {
	_ = connection.SetWriteDeadline(passed) // It fails only on a closed connection.
	connection.mu.Lock()
	defer connection.mu.Unlock()
	return connection.writeErr
}

// peerEnded reports whether the endpoint is known to have ended its side in order. It
// holds once all bytes are read: the kernel counts the end as one more received byte, as
// its counter is the advance of the sequence number (tcpEStatsAppHCThruOctetsReceived of
// RFC 4898).
func (connection *connection) peerEnded() bool {
	conn, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.Bytes_received == uint64(connection.received)+1
	})
	return err == nil && ended
}

// interrupt makes pending and later reads and writes fail.
func (connection *connection) interrupt() { _ = connection.SetDeadline(passed) }

// head returns the start line and the header of a request with a body of length
// bytes, or of unknown length if length is -1.
func (connection *connection) head(method, target, authority string, header http.Header, length int64) *bytes.Buffer {
	head := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, authority)
	switch {
	case length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || (method != http.MethodGet && method != http.MethodHead):
		fmt.Fprintf(head, "Content-Length: %d\r\n", length)
	}
	_ = header.WriteSubset(head, excludedHeaders) // Writes to a buffer do not fail.
	head.WriteString("\r\n")
	return head
}

// excludedHeaders lists the headers that head writes itself.
var excludedHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// updateExpiry sets the idle timeout from the response's Keep-Alive header.
func (connection *connection) updateExpiry(keepAlive string) {
	connection.lastUsed = time.Now()
	idleTimeout := defaultIdleTimeout
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			idleTimeout = time.Duration(idleTimeoutShare * float64(seconds) * float64(time.Second))
		}
	}
	connection.expires = connection.lastUsed.Add(idleTimeout)
}

func (connection *connection) expired(now time.Time) bool { return now.After(connection.expires) }

// reusable reports whether the connection is open and has no unread data.
func (connection *connection) reusable() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	conn, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		reusable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// upload sends a body while the response is read, since an endpoint may respond
// before it has read the body.
type upload struct {
	connection *connection
	body       io.Reader
	length     int64
	// done is closed when the body was sent or sending failed.
	done chan struct{}
	// err is the error of sending; it may be read after done is closed.
	err error
}

func newUpload(connection *connection, body io.Reader, length int64) *upload {
	return &upload{connection: connection, body: body, length: length, done: make(chan struct{})}
}

func (upload *upload) run() {
	defer close(upload.done)
	if upload.length >= 0 {
		_, upload.err = io.CopyN(upload.connection, upload.body, upload.length)
		return
	}
	chunks := httputil.NewChunkedWriter(upload.connection)
	if _, upload.err = io.Copy(chunks, upload.body); upload.err != nil {
		return
	}
	upload.err = chunks.Close()
	if upload.err == nil {
		_, upload.err = io.WriteString(upload.connection, "\r\n")
	}
}

// sent reports whether the whole body was sent.
func (upload *upload) sent() bool {
	select {
	case <-upload.done:
		return upload.err == nil
	default:
		return false
	}
}

// wait waits until sending ends; closing the connection ends it.
func (upload *upload) wait() { <-upload.done }
