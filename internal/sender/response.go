package sender

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/http"

	"github.com/chivespool/chivespool/internal/validator"
)

// readHead reads the head of the next response, of at most maxBytes bytes, and skips
// interim (1xx) responses. A response that violates HTTP fails with
// [validator.ErrInvalid].
func (connection *connection) readHead(method string, maxBytes int) (*http.Response, error) {
	defer connection.limitReads(maxBytes)()
	for {
		if _, err := connection.awaitLines(new(validator.Head).Check); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			connection.frame(response, maxBytes)
			return response, nil
		}
	}
}

// discardTrailer reads the trailer section of a body in chunks, of at most maxBytes bytes.
func (connection *connection) discardTrailer(maxBytes int) error {
	defer connection.limitReads(maxBytes)()
	size, err := connection.awaitLines(validator.CheckTrailer)
	if err != nil {
		return err
	}
	_, err = connection.reader.Discard(size)
	return err
}

// limitReads makes the reader fail after maxBytes more bytes, until end is called.
func (connection *connection) limitReads(maxBytes int) (end func()) {
	connection.readLimit = int64(maxBytes)
	return func() { connection.readLimit = math.MaxInt64 }
}

// awaitLines reads lines into the reader's buffer, and passes each to check once it has
// arrived, without its line feed, until check is done or fails. It returns the size of
// the lines.
func (connection *connection) awaitLines(check func(line []byte) (done bool, err error)) (size int, err error) {
	start, searched := 0, 0
	for {
		buffered, err := connection.peek(searched + 1)
		if err != nil {
			return 0, err
		}
		length := bytes.IndexByte(buffered[searched:], '\n')
		if length < 0 {
			searched = len(buffered)
			continue
		}
		end := searched + length
		if done, err := check(buffered[start:end]); done || err != nil {
			return end + 1, err
		}
		start, searched = end+1, end+1
	}
}

// peek returns the bytes in the reader's buffer once there are at least size. The buffer
// grows as needed; the read limit bounds it.
func (connection *connection) peek(size int) ([]byte, error) {
	for {
		reader := connection.reader
		buffered, err := reader.Peek(max(size, reader.Buffered()))
		switch err {
		case bufio.ErrBufferFull:
			source := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), &limitedReader{connection: connection})
			connection.reader = bufio.NewReaderSize(source, 2*reader.Size())
		case io.EOF:
			return nil, io.ErrUnexpectedEOF
		default:
			return buffered, err
		}
	}
}
