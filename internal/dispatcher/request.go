package dispatcher

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// BufferedBodyBytes is how much of a request's body is buffered before the request
// acquires a slot. A body that fits is buffered completely, so that a slow caller
// occupies no slot and a repeatable request can be sent again.
const BufferedBodyBytes = 64 << 10

// Request is a caller's request, independent of its encoding.
type Request struct {
	id string
	// service is the service that the caller names; empty if authority and target
	// select it.
	service string
	// authority is the host name that the caller addressed; empty if service names the
	// destination.
	authority string
	method    string
	// target is the path and query sent to the backend server.
	target string
	header http.Header
	// buffered is the first part of the body, at most BufferedBodyBytes.
	buffered []byte
	// remainder is the body after buffered; nil if buffered is the complete body.
	remainder *readTracker
	// length is the body's length in bytes, or -1 if it is unknown.
	length int64
	// key is the caller's Idempotency-Key, or empty.
	key string
	// apiKey is the caller's API key, or empty. It must not be logged.
	apiKey string
	// account is the account that holds apiKey; nil if there is none.
	account *definer.Account
	// keysChecked is true if requests need API keys, so that account is the caller's.
	keysChecked bool
	// timeout is the limit set by the caller, or 0.
	timeout time.Duration
	// arrived is when the request arrived; zero if that is when it is dispatched.
	arrived time.Time
	// atMostOnce is true if the request must not run more than once.
	atMostOnce bool
	// carriers records the connections that have carried the request; copies of the
	// request share it.
	carriers *carriers
}

// NewRequest returns a request without a body.
func NewRequest(id, service, method, target string, header http.Header) *Request {
	return &Request{id: id, service: service, method: method, target: target, header: header, carriers: new(carriers)}
}

// WithBody buffers the first part of body and attaches the body to a copy of the
// request; length is the body's length in bytes, or -1 if it is unknown.
func (request *Request) WithBody(body io.Reader, length int64) (*Request, error) {
	clone := *request
	clone.length = length
	if body == nil || length == 0 {
		return &clone, nil
	}
	size := int64(BufferedBodyBytes)
	if length > 0 && length < size {
		size = length
	}
	// A body in chunks takes as much memory as it needs, not as it may need.
	var buffered bytes.Buffer
	if length > 0 {
		buffered.Grow(int(size) + bytes.MinRead)
	}
	count, err := buffered.ReadFrom(io.LimitReader(body, size))
	clone.buffered = buffered.Bytes()
	switch {
	case err != nil:
		return nil, err
	case count < size:
		if length >= 0 {
			return nil, io.ErrUnexpectedEOF
		}
		clone.length = count
	case count != length:
		clone.remainder = &readTracker{reader: body}
	}
	return &clone, nil
}

// WithKey returns a copy with the caller's Idempotency-Key.
func (request *Request) WithKey(key string) *Request {
	clone := *request
	clone.key = key
	return &clone
}

// WithTimeout returns a copy with the caller's timeout.
func (request *Request) WithTimeout(timeout time.Duration) *Request {
	clone := *request
	clone.timeout = timeout
	return &clone
}

// WithArrival returns a copy that arrived at a time: its limits of time count from
// then.
func (request *Request) WithArrival(arrived time.Time) *Request {
	clone := *request
	clone.arrived = arrived
	return &clone
}

// WithAuthority returns a copy addressed to a host name.
func (request *Request) WithAuthority(authority string) *Request {
	clone := *request
	clone.authority = authority
	return &clone
}

// WithAPIKey returns a copy with the caller's API key.
func (request *Request) WithAPIKey(key string) *Request {
	clone := *request
	clone.apiKey = key
	return &clone
}

// withPlan returns a copy with the service, the account and the repeatability of plan.
func (request *Request) withPlan(plan Plan) *Request {
	clone := *request
	clone.service = plan.service
	clone.account, clone.keysChecked = plan.account, plan.keysChecked
	clone.atMostOnce = !plan.repeatable
	return &clone
}

// ID returns the request's identifier, unique across the fleet.
func (request *Request) ID() string { return request.id }

// Service returns the name of the requested service.
func (request *Request) Service() string { return request.service }

// Authority returns the host name that the caller addressed, or empty.
func (request *Request) Authority() string { return request.authority }

// Account returns the account that holds the request's API key; nil if there is none.
func (request *Request) Account() *definer.Account { return request.account }

// KeysChecked reports whether requests need API keys. If so, endpoints learn the account
// and not the key.
func (request *Request) KeysChecked() bool { return request.keysChecked }

// Timeout returns the limit set by the caller, or 0.
func (request *Request) Timeout() time.Duration { return request.timeout }

// Arrived returns when the request arrived; zero if it has not been dispatched yet.
func (request *Request) Arrived() time.Time { return request.arrived }

// AtMostOnce reports whether the request must not run more than once.
func (request *Request) AtMostOnce() bool { return request.atMostOnce }

// Method returns the HTTP method.
func (request *Request) Method() string { return request.method }

// Target returns the path and query sent to the backend server.
func (request *Request) Target() string { return request.target }

// Header returns the caller's header; users must not modify it.
func (request *Request) Header() http.Header { return request.header }

// headerBytes returns the approximate size of the header on the wire.
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

// Length returns the body's length in bytes, or -1 if it is unknown.
func (request *Request) Length() int64 { return request.length }

// Body returns the body, or nil if there is none. A body that is not buffered
// completely can be read only once.
func (request *Request) Body() io.Reader {
	if request.length == 0 {
		return nil
	}
	if request.remainder == nil {
		return bytes.NewReader(request.buffered)
	}
	return io.MultiReader(bytes.NewReader(request.buffered), request.remainder)
}

// Buffered reports whether the body is buffered completely, so that several attempts can
// send it at the same time.
func (request *Request) Buffered() bool { return request.remainder == nil }

// Replayable reports whether the body can be sent from its start: it is buffered
// completely, or nothing beyond the buffered part has been read. It holds only while no
// attempt runs that may still read it.
func (request *Request) Replayable() bool {
	return request.remainder == nil || !request.remainder.started.Load()
}

// Carry records that the connection numbered connection carries the request, and
// reports whether it does so for the first time. An answer on a connection that has
// carried the request before may be a late copy of an earlier one: both have its id.
func (request *Request) Carry(connection uint64) bool { return request.carriers.add(connection) }

// Fingerprint returns a hash of the request's content: its service or authority, method,
// target, key, length and the buffered part of its body.
func (request *Request) Fingerprint() [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{request.service, request.method, request.target, request.key} {
		_, _ = io.WriteString(hash, part)
		hash.Write([]byte{0})
	}
	if request.authority != "" {
		_, _ = io.WriteString(hash, request.authority)
		hash.Write([]byte{0})
	}
	_ = binary.Write(hash, binary.BigEndian, request.length)
	hash.Write(request.buffered)
	return [sha256.Size]byte(hash.Sum(nil))
}

// carriers is the set of the connections that have carried a request, at most one for
// each of its attempts. The zero value is the empty set.
type carriers struct {
	// mu guards numbers.
	mu      sync.Mutex
	numbers []uint64
}

// add adds number and reports whether it is new.
func (carriers *carriers) add(number uint64) bool {
	carriers.mu.Lock()
	defer carriers.mu.Unlock()
	if slices.Contains(carriers.numbers, number) {
		return false
	}
	carriers.numbers = append(carriers.numbers, number)
	return true
}

// readTracker records whether it was read from.
type readTracker struct {
	reader  io.Reader
	started atomic.Bool
}

// Read reads from the underlying reader.
func (readTracker *readTracker) Read(buffer []byte) (int, error) {
	readTracker.started.Store(true)
	return readTracker.reader.Read(buffer)
}
