package sender

import (
	"io"
	"net/http"

	"github.com/chivespool/chivespool/internal/validator"
)

// frame replaces the body of response, if its framing needs more than net/http checks.
func (connection *connection) frame(response *http.Response) {
	if !delimited(response) {
		response.Body = &unsizedBody{connection: connection}
	}
}

// delimited reports whether the framing of the body shows where it ends.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// unsizedBody is a body that ends with its connection.
type unsizedBody struct {
	connection *connection
}

// Read reads the body. At its end, it ends the writes on the connection: one of them may
// have received the error that shows that the body is cut.
func (unsizedBody *unsizedBody) Read(buffer []byte) (int, error) {
	count, err := unsizedBody.connection.reader.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if err := validator.CheckEnd(unsizedBody.connection.endWrites()); err != nil {
		return count, err
	}
	return count, io.EOF
}

// Close does nothing; the exchange closes the connection.
func (unsizedBody *unsizedBody) Close() error { return nil }
