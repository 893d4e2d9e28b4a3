package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Request describes a request as far as its placement needs.
type Request struct {
	pool string
	// class groups requests with similar run times, such as a rule and a path.
	// No run times are recorded for the empty class.
	class    string
	lane     definer.Lane
	priority int
	// deadline is zero for none.
	deadline time.Time
	// callerDeadline is the caller's own deadline; zero if it has set none.
	callerDeadline time.Time
	// target is the latency objective of the request; 0 for none.
	target time.Duration
	// id names the request in logs.
	id string
	// hedge is true for a second attempt made while the first still runs.
	hedge bool
	// isolated keeps the request off an endpoint that runs another isolated one.
	isolated bool
	// avoid names endpoints to use only if there is no other.
	avoid []string
	// account is the account of the caller; nil if there is none.
	account *definer.Account
	// regions are those whose endpoints may get the request; empty for all.
	regions []string
	// bytes is the size of the body, or -1 if it is unknown.
	bytes int64
}

// RequestOption sets one property of a new request.
type RequestOption func(*Request)

// InLane puts the request in lane.
func InLane(lane definer.Lane) RequestOption { return func(request *Request) { request.lane = lane } }

// WithClass groups the request with others of similar run time.
func WithClass(class string) RequestOption { return func(request *Request) { request.class = class } }

// WithPriority gives the request a priority; those with a higher one are shed later.
func WithPriority(priority int) RequestOption {
	return func(request *Request) { request.priority = priority }
}

// WithDeadline sets the deadline; the zero time means none.
func WithDeadline(deadline time.Time) RequestOption {
	return func(request *Request) { request.deadline = deadline }
}

// WithCallerDeadline sets the caller's own deadline; the zero time means none.
func WithCallerDeadline(deadline time.Time) RequestOption {
	return func(request *Request) { request.callerDeadline = deadline }
}

// WithTarget sets the latency objective; 0 means none.
func WithTarget(target time.Duration) RequestOption {
	return func(request *Request) { request.target = target }
}

// WithID names the request in logs.
func WithID(id string) RequestOption { return func(request *Request) { request.id = id } }

// AsHedge sets whether the request is a hedge: a second attempt made while the
// first still runs. It never displaces another request.
func AsHedge(hedge bool) RequestOption { return func(request *Request) { request.hedge = hedge } }

// Isolated sets whether the request must not share an endpoint with another
// isolated request.
func Isolated(isolated bool) RequestOption {
	return func(request *Request) { request.isolated = isolated }
}

// Avoiding keeps the request off endpoints while there are others.
func Avoiding(endpoints ...string) RequestOption {
	return func(request *Request) { request.avoid = endpoints }
}

// ForAccount sets the account of the caller; nil for none.
func ForAccount(account *definer.Account) RequestOption {
	return func(request *Request) { request.account = account }
}

// InRegions limits the request to the endpoints of regions; none means all.
func InRegions(regions []string) RequestOption {
	return func(request *Request) { request.regions = regions }
}

// WithBytes sets the size of the body; -1 if it is unknown.
func WithBytes(bytes int64) RequestOption { return func(request *Request) { request.bytes = bytes } }

// NewRequest returns a request for pool, short and of the default priority
// unless an option sets another.
func NewRequest(pool string, options ...RequestOption) Request {
	request := Request{pool: pool, priority: definer.DefaultPriority}
	for _, option := range options {
		option(&request)
	}
	return request
}

// Pool returns the name of the pool that serves the request.
func (request Request) Pool() string { return request.pool }

// Class returns the group of requests with similar run times, or empty.
func (request Request) Class() string { return request.class }

// Lane returns the request's lane.
func (request Request) Lane() definer.Lane { return request.lane }

// Priority returns the priority; requests with a higher one are shed later.
func (request Request) Priority() int { return request.priority }

// Deadline returns the deadline, or the zero time for none.
func (request Request) Deadline() time.Time { return request.deadline }

// CallerDeadline returns the caller's own deadline, or the zero time for none.
func (request Request) CallerDeadline() time.Time { return request.callerDeadline }

// Target returns the latency objective, or 0 for none.
func (request Request) Target() time.Duration { return request.target }

// ID returns the name of the request in logs.
func (request Request) ID() string { return request.id }

// Hedge reports whether the request is a second attempt made while the first
// still runs.
func (request Request) Hedge() bool { return request.hedge }

// Isolated reports whether the request must not share an endpoint with another
// isolated one.
func (request Request) Isolated() bool { return request.isolated }

// Account returns the account of the caller, or nil.
func (request Request) Account() *definer.Account { return request.account }

// Regions returns the regions whose endpoints may get the request; empty for all.
func (request Request) Regions() []string { return request.regions }

// Bytes returns the size of the body, or -1 if it is unknown.
func (request Request) Bytes() int64 { return request.bytes }

// Avoid returns the endpoints to use only if there is no other.
func (request Request) Avoid() []string { return request.avoid }
