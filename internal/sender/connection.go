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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chivespool/chivespool/internal/definer"
)

// Bounds on connections to endpoints.
const (
	bufferBytes = 4 << 10
	// restTime is how long a connection is kept where the endpoint does not say
	// for how long it keeps it, and restShare the part of what it says.
	restTime  = 4 * time.Second
	restShare = 0.8
)

// connection is a connection to an endpoint. One task uses it at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// left bounds what the reader may take from the connection.
	left int64
	// written counts the bytes that were sent.
	written int64
	key     string
	// rested is when the connection last carried a whole answer.
	rested time.Time
	// expires is when it is not used any more.
	expires time.Time
}

// dial makes a connection to endpoint.
func (sender *Sender) dial(ctx context.Context, endpoint definer.Endpoint) (*connection, error) {
	conn, err := sender.dialer.DialContext(ctx, "tcp", endpoint.Address())
	if err != nil {
		return nil, err
	}
	connection := &connection{Conn: conn, key: keyOf(endpoint), left: math.MaxInt64}
	connection.reader = bufio.NewReaderSize(&boundReader{connection: connection}, bufferBytes)
	connection.rested = time.Now()
	connection.expires = connection.rested.Add(restTime)
	return connection, nil
}

// keyOf tells the connections of one start of an endpoint from others.
func keyOf(endpoint definer.Endpoint) string {
	return endpoint.Name() + " " + endpoint.Address() + " " + strconv.FormatInt(endpoint.StartedAt(), 36)
}

// errHeadTooLarge ends the reading of a head that is over its bound.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// boundReader reads from a connection within its bound.
type boundReader struct {
	connection *connection
}

// Read reads what the bound leaves.
func (boundReader *boundReader) Read(buffer []byte) (int, error) {
	connection := boundReader.connection
	if connection.left <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := connection.Conn.Read(buffer[:min(int64(len(buffer)), connection.left)])
	connection.left -= int64(count)
	return count, err
}

// Write counts what was sent.
func (connection *connection) Write(data []byte) (int, error) {
	count, err := connection.Conn.Write(data)
	connection.written += int64(count)
	return count, err
}

// interrupt ends what is read and written.
func (connection *connection) interrupt() { _ = connection.SetDeadline(time.Unix(1, 0)) }

// head returns the start line and the header of a request with a body of
// length bytes, or -1.
func (connection *connection) head(method, target, authority string, header http.Header, length int64) *bytes.Buffer {
	head := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, authority)
	switch {
	case length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || (method != http.MethodGet && method != http.MethodHead):
		fmt.Fprintf(head, "Content-Length: %d\r\n", length)
	}
	_ = header.WriteSubset(head, notForwarded) // A buffer takes every write.
	head.WriteString("\r\n")
	return head
}

// notForwarded are the headers that the head has lines of its own for.
var notForwarded = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// readHead reads the head of the next answer; interim answers are passed over.
func (connection *connection) readHead(method string, most int) (*http.Response, error) {
	connection.left = int64(most)
	defer func() { connection.left = math.MaxInt64 }()
	for {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// note learns for how long the endpoint keeps the connection.
func (connection *connection) note(header http.Header) {
	connection.rested = time.Now()
	keep := restTime
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			keep = time.Duration(restShare * float64(seconds) * float64(time.Second))
		}
	}
	connection.expires = connection.rested.Add(keep)
}

func (connection *connection) expired(now time.Time) bool { return now.After(connection.expires) }

// silent reports whether the connection is open and nothing waits on it to be
// read, as it should be between answers.
func (connection *connection) silent() bool {
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// upload sends a body beside the reading of the answer: an endpoint may answer
// before it has read the body.
type upload struct {
	connection *connection
	body       io.Reader
	length     int64
	// done is closed when all is sent or the sending failed.
	done chan struct{}
	// err is why the sending failed; read after done.
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

// sent reports whether the whole body is sent by now.
func (upload *upload) sent() bool {
	select {
	case <-upload.done:
		return upload.err == nil
	default:
		return false
	}
}

// wait waits for the end of the sending, which a closed connection brings.
func (upload *upload) wait() { <-upload.done }
