package registrar

import "net/http"

// The bounds of a recorded answer; of a larger answer, only that the operation ran
// is recorded.
const (
	MaxBodyBytes   = 4096
	MaxHeaderBytes = 1024
)

// The lowest and the highest HTTP status code.
const (
	minStatus = 100
	maxStatus = 999
)

// fieldOverhead bounds the encoded bytes of a header field beyond its name and value.
const fieldOverhead = 8

// recordedHeaders are the header fields that are recorded with an answer.
var recordedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location",
	"Etag", "Last-Modified", "Cache-Control",
}

// Answer is the recorded answer of a backend server. The zero value means that
// the operation ran and that its answer could not be recorded.
type Answer struct {
	// status is 0 if the answer could not be recorded.
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns the part of an answer that is recorded: the status, the
// header fields that describe the body, and the body. For an answer over the
// bounds, or without a valid status, it returns the zero Answer.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	answer := Answer{status: status, header: make(http.Header), body: body}
	for _, name := range recordedHeaders {
		if values := header.Values(name); len(values) > 0 {
			answer.header[name] = values
		}
	}
	if status < minStatus || status > maxStatus {
		return Answer{}
	}
	if len(body) > MaxBodyBytes || answer.headerSize() > MaxHeaderBytes {
		return Answer{}
	}
	return answer
}

// Kept reports whether the answer could be recorded; if not, only that the
// operation ran is known.
func (answer Answer) Kept() bool { return answer.status != 0 }

// Status returns the HTTP status code, or 0 if the answer was not kept.
func (answer Answer) Status() int { return answer.status }

// Header returns the recorded header fields; callers must not modify them.
func (answer Answer) Header() http.Header { return answer.header }

// Body returns the body; callers must not modify it.
func (answer Answer) Body() []byte { return answer.body }

// headerSize returns an upper bound on the encoded bytes of the header fields.
func (answer Answer) headerSize() int {
	size := 0
	for name, values := range answer.header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}

// size returns an upper bound on the encoded bytes of the answer.
func (answer Answer) size() int {
	if !answer.Kept() {
		return 0
	}
	return answer.headerSize() + len(answer.body) + fieldOverhead
}
