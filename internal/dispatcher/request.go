package dispatcher

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// HeldBodyBytes is how much of a request's body is read before the request
// takes a slot. A body that fits is held whole, so that a slow caller holds
// no slot and a repeatable request can be sent again.
const HeldBodyBytes = 64 << 10

// Request is a caller's request, apart from how it was encoded.
type Request struct {
	id string
	// service is what the caller asks for; empty where authority and target
	// select it.
	service string
	// authority is the host that the caller addressed; empty where service
	// names the destination.
	authority string
	method    string
	// target is the path and query that the backend server gets.
	target string
	header http.Header
	// held is the first part of the body, at most HeldBodyBytes.
	held []byte
	// rest is what follows held; nil where held is the whole body.
	rest *onceReader
	// length is the body's length in bytes, or -1 where it is not known.
	length int64
	// key is the caller's Idempotency-Key, or empty.
	key string
	// timeout is the caller's bound, or 0.
	timeout time.Duration
	// once is true where the request must not run more than once.
	once bool
}

// NewRequest returns a request without a body.
func NewRequest(id, service, method, target string, header http.Header) *Request {
	return &Request{id: id, service: service, method: method, target: target, header: header}
}

// WithBody reads the first part of body and attaches it all to the request;
// length is the body's length in bytes, or -1.
func (request *Request) WithBody(body io.Reader, length int64) (*Request, error) {
	clone := *request
	clone.length = length
	if body == nil || length == 0 {
		return &clone, nil
	}
	size := int64(HeldBodyBytes)
	if length > 0 && length < size {
		size = length
	}
	held := make([]byte, size)
	count, err := io.ReadFull(body, held)
	clone.held = held[:count]
	switch {
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		if length >= 0 {
			return nil, io.ErrUnexpectedEOF
		}
		clone.length = int64(count)
	case err != nil:
		return nil, err
	case int64(count) != length:
		clone.rest = &onceReader{reader: body}
	}
	return &clone, nil
}

// WithKey returns a copy with the caller's Idempotency-Key.
func (request *Request) WithKey(key string) *Request {
	clone := *request
	clone.key = key
	return &clone
}

// WithTimeout returns a copy with the caller's own bound.
func (request *Request) WithTimeout(timeout time.Duration) *Request {
	clone := *request
	clone.timeout = timeout
	return &clone
}

// WithAuthority returns a copy that is addressed to a host name.
func (request *Request) WithAuthority(authority string) *Request {
	clone := *request
	clone.authority = authority
	return &clone
}

// planned returns a copy that plan applies to.
func (request *Request) planned(plan Plan) *Request {
	clone := *request
	clone.service = plan.service
	clone.once = !plan.repeatable
	return &clone
}

// ID returns the request's identifier, unique over the fleet.
func (request *Request) ID() string { return request.id }

// Service returns the name of the service asked for.
func (request *Request) Service() string { return request.service }

// Authority returns the host that the caller addressed, or empty.
func (request *Request) Authority() string { return request.authority }

// Once reports whether the request must not run more than once.
func (request *Request) Once() bool { return request.once }

// Method returns the HTTP method.
func (request *Request) Method() string { return request.method }

// Target returns the path and query that the backend server gets.
func (request *Request) Target() string { return request.target }

// Header returns the caller's header; users must not change it.
func (request *Request) Header() http.Header { return request.header }

// headerBytes returns about how many bytes the header took on the wire.
func (request *Request) headerBytes() int {
	const lineEnds = len(": \r\n")
	size := len(request.method) + len(request.target) + len(" HTTP/1.1\r\n") + lineEnds + len("Host") + len(request.authority)
	for name, values := range request.header {
		for _, value := range values {
			size += len(name) + len(value) + lineEnds
		}
	}
	return size
}

// Length returns the body's length in bytes, or -1 where it is not known.
func (request *Request) Length() int64 { return request.length }

// Body returns the body, or nil where there is none. A body that is not held
// whole can be read once only.
func (request *Request) Body() io.Reader {
	if request.length == 0 {
		return nil
	}
	if request.rest == nil {
		return bytes.NewReader(request.held)
	}
	return io.MultiReader(bytes.NewReader(request.held), request.rest)
}

// Replayable reports whether the body can be sent from its start: it is held
// whole, or nothing beyond its held part was read so far.
func (request *Request) Replayable() bool {
	return request.rest == nil || !request.rest.begun.Load()
}

// Fingerprint identifies what is asked for: two requests with the same
// service, method, target, key, length and held part of the body are alike.
func (request *Request) Fingerprint() [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{request.service, request.method, request.target, request.key} {
		_, _ = io.WriteString(hash, part)
		hash.Write([]byte{0})
	}
	_ = binary.Write(hash, binary.BigEndian, request.length)
	hash.Write(request.held)
	return [sha256.Size]byte(hash.Sum(nil))
}

// onceReader notes whether it was read from.
type onceReader struct {
	reader io.Reader
	begun  atomic.Bool
}

// Read reads from the reader below.
func (onceReader *onceReader) Read(buffer []byte) (int, error) {
	onceReader.begun.Store(true)
	return onceReader.reader.Read(buffer)
}
