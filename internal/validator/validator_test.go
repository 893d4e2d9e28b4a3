package validator

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// TestCheckEnd checks which errors of a write show that the peer did not end the
// connection in order.
func TestCheckEnd(t *testing.T) {
	for _, test := range []struct {
		err      error
		complete bool
	}{
		{nil, true},
		{syscall.EPIPE, true},
		{os.ErrDeadlineExceeded, true},
		{net.ErrClosed, true},
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{io.ErrShortWrite, false},
	} {
		err := test.err
		if err != nil {
			err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
		}
		if complete := CheckEnd(err, false) == nil; complete != test.complete {
			t.Errorf("after %v the body is complete: %v, want %v", err, complete, test.complete)
		}
		if CheckEnd(err, true) != nil {
			t.Errorf("after %v the body is not complete, though the peer ended its side", err)
		}
	}
}

// checkHead returns the size of the head at the start of text, or an error if it is
// invalid or not complete.
func checkHead(text []byte) (int, error) {
	var head Head
	size := 0
	for {
		length := bytes.IndexByte(text[size:], '\n')
		if length < 0 {
			return 0, io.ErrUnexpectedEOF
		}
		done, err := head.Check(text[size : size+length])
		size += length + 1
		if done || err != nil {
			return size, err
		}
	}
}

// FuzzHead guards against a valid head that net/http reads in another way: it must find
// the same status, and the end of the head in the same place.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\nConnection: close\n\nok",
		"HTTP/1.1 200\r\nX-A:1\r\nX-A:\t2 \r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n  \r\nX-B: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: 1\r\r\n\r\n",
		"HTTP/1.1   404 Not Found\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		size, err := checkHead(text)
		if err != nil {
			return
		}
		rest := bytes.NewReader(text)
		reader := bufio.NewReader(rest)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return // Of the framing, which Head does not decide.
		}
		if read := len(text) - rest.Len() - reader.Buffered(); read != size {
			t.Errorf("%q: the head has %d bytes, and net/http reads %d", text, size, read)
		}
		if err := CheckHead(response); err != nil {
			t.Errorf("%q: line by line the head is valid, parsed it is not: %v", text, err)
		}
	})
}
