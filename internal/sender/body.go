package sender

import (
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/chivespool/chivespool/internal/validator"
)

// frame replaces the body of response where its framing needs more than net/http checks.
// A trailer section may have maxTrailerBytes bytes.
func (connection *connection) frame(response *http.Response, maxTrailerBytes int) {
	switch {
	case response.Body == http.NoBody || response.ContentLength >= 0:
		// For a body with a length, net/http fails if the connection ends before.
	case delimited(response):
		response.Body = &chunkedBody{
			connection: connection, chunks: httputil.NewChunkedReader(connection.reader), maxTrailerBytes: maxTrailerBytes,
		}
	default:
		response.Body = &closeDelimitedBody{connection: connection}
	}
}

// delimited reports whether the framing of the body shows where it ends.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	connection *connection
}

// Read reads the body. At its end, it ends the writes on the connection: one of them may
// have received the error that shows that the body is truncated.
func (closeDelimitedBody *closeDelimitedBody) Read(buffer []byte) (int, error) {
	count, err := closeDelimitedBody.connection.reader.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	connection := closeDelimitedBody.connection
	if err := validator.CheckEnd(connection.endWrites(), connection.peerEnded()); err != nil {
		return count, err
	}
	return count, io.EOF
}

// Close does nothing; the exchange closes the connection.
func (closeDelimitedBody *closeDelimitedBody) Close() error { return nil }

// chunkedBody is a body in chunks. It discards the trailer section.
type chunkedBody struct {
	connection      *connection
	chunks          io.Reader
	maxTrailerBytes int
	// ended is true after the trailer section.
	ended bool
}

// Read reads the body. The body is complete only with a valid trailer section after its
// last chunk.
func (chunkedBody *chunkedBody) Read(buffer []byte) (int, error) {
	if chunkedBody.ended {
		return 0, io.EOF
	}
	count, err := chunkedBody.chunks.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if err := chunkedBody.connection.discardTrailer(chunkedBody.maxTrailerBytes); err != nil {
		return count, err
	}
	chunkedBody.ended = true
	return count, io.EOF
}

// Close does nothing; the exchange closes the connection.
func (chunkedBody *chunkedBody) Close() error { return nil }
