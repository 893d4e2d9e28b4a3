package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// headerSlack is how many bytes a header may exceed its limit by before it is no
// longer read. The dispatcher refuses such a request by its exact size.
const headerSlack = 4 << 10

// statusError is the error for a request that is answered with a status and whose
// connection closes, since the start of the next request on it is unknown.
type statusError struct {
	status int
	detail string
}

// Error names the fault of the request and the remedy.
func (statusError *statusError) Error() string {
	return fmt.Sprintf("%s; correct the request", statusError.detail)
}

// awaitHead reads until the reader has buffered a complete header. The error is a
// statusError if the header exceeds limit bytes.
func (connection *connection) awaitHead(limit int) ([]byte, error) {
	limit += headerSlack
	searched := 0
	for {
		buffered, _ := connection.reader.Peek(connection.reader.Buffered())
		if end := headEnd(buffered, searched); end > 0 {
			return buffered[:end], nil
		}
		searched = len(buffered)
		if searched >= limit {
			return nil, &statusError{http.StatusRequestHeaderFieldsTooLarge, "the header is too large"}
		}
		if searched == connection.reader.Size() {
			connection.reader = bufio.NewReaderSize(connection.reader, limit)
			searched = 0
		}
		if _, err := connection.reader.Peek(connection.reader.Buffered() + 1); err != nil {
			return nil, err
		}
	}
}

// headBegun reports whether a part of a header is buffered. Line breaks between two
// requests are none.
func (connection *connection) headBegun() bool {
	buffered, _ := connection.reader.Peek(connection.reader.Buffered())
	return len(bytes.Trim(buffered, "\r\n")) > 0
}

// headEnd returns the length of the header at the start of data, with the empty line
// that ends it, or 0 if it is incomplete. The first searched bytes hold no end.
func headEnd(data []byte, searched int) int {
	const longestEnd = len("\n\r\n")
	for start := max(searched-longestEnd, 0); ; {
		line := bytes.IndexByte(data[start:], '\n')
		if line < 0 {
			return 0
		}
		start += line + 1
		rest := data[start:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return start + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return start + 2
		}
	}
}

// readRequest reads the next request up to its body. Its error is a statusError if
// the request is malformed.
func (connection *connection) readRequest(limit int) (*http.Request, error) {
	head, err := connection.awaitHead(limit)
	if err != nil {
		return nil, err
	}
	if err := checkFraming(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(connection.reader)
	if err != nil {
		return nil, &statusError{http.StatusBadRequest, err.Error()}
	}
	return request, checkRequest(request)
}

// checkFraming checks that the header has one Host line and at most one of
// Content-Length and Transfer-Encoding: a caller and a host that disagree on which
// of them holds would disagree on where the next request starts.
func checkFraming(head []byte) error {
	hosts, lengths, encodings := 0, 0, 0
	for line := range bytes.Lines(head) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if hosts > 1 {
		return &statusError{http.StatusBadRequest, "there is more than one Host header"}
	}
	if lengths > 0 && encodings > 0 {
		return &statusError{http.StatusBadRequest, "there are both Content-Length and Transfer-Encoding"}
	}
	return nil
}

// checkRequest checks what http.ReadRequest leaves unchecked.
func checkRequest(request *http.Request) error {
	switch {
	case request.ProtoMajor != 1:
		return &statusError{http.StatusHTTPVersionNotSupported, "the protocol is " + request.Proto}
	case request.ProtoAtLeast(1, 1) && request.Host == "":
		return &statusError{http.StatusBadRequest, "there is no Host header"}
	case !validValue(request.Host):
		return &statusError{http.StatusBadRequest, "the Host header is malformed"}
	}
	for _, values := range request.Header {
		for _, value := range values {
			if !validValue(value) {
				return &statusError{http.StatusBadRequest, "a header holds a control character"}
			}
		}
	}
	if expect := request.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") {
		return &statusError{http.StatusExpectationFailed, "the expectation is unknown"}
	}
	return nil
}

// validValue reports whether value has no control characters except tabs (RFC 9110,
// 5.5).
func validValue(value string) bool {
	for index := range len(value) {
		if char := value[index]; char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}

// isStatusError returns err as a statusError.
func isStatusError(err error) (*statusError, bool) {
	statusError := new(statusError)
	return statusError, errors.As(err, &statusError)
}
