package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Request is what a router has to know of one request to place it.
type Request struct {
	pool string
	// class groups requests with like run times, such as a rule and a path;
	// empty learns nothing.
	class    string
	lane     definer.Lane
	priority int
	// deadline is zero where the request has none.
	deadline time.Time
	// target is the time within which an answer is of full use; 0 for none.
	target time.Duration
	// id names the request in logs.
	id string
	// hedge is true for a second attempt beside one that runs.
	hedge bool
	// isolated keeps the request off an endpoint that runs another isolated one.
	isolated bool
	// avoid names endpoints that are used only where there is no other.
	avoid []string
}

// RequestOption sets one property of a new request.
type RequestOption func(*Request)

// InLane puts the request in lane.
func InLane(lane definer.Lane) RequestOption { return func(request *Request) { request.lane = lane } }

// WithClass groups the request with others that run about as long.
func WithClass(class string) RequestOption { return func(request *Request) { request.class = class } }

// WithPriority gives the request a priority from 0 (shed first) to 9.
func WithPriority(priority int) RequestOption {
	return func(request *Request) { request.priority = priority }
}

// WithDeadline bounds the request; the zero time is no bound.
func WithDeadline(deadline time.Time) RequestOption {
	return func(request *Request) { request.deadline = deadline }
}

// WithTarget says within what time an answer is of full use; 0 for none.
func WithTarget(target time.Duration) RequestOption {
	return func(request *Request) { request.target = target }
}

// WithID names the request in logs.
func WithID(id string) RequestOption { return func(request *Request) { request.id = id } }

// AsHedge says whether the request is a second attempt beside one that runs; it
// takes no room that another request needs.
func AsHedge(hedge bool) RequestOption { return func(request *Request) { request.hedge = hedge } }

// Isolated lets the request run beside no other isolated one on an endpoint.
func Isolated(isolated bool) RequestOption {
	return func(request *Request) { request.isolated = isolated }
}

// Avoiding keeps the request off the endpoints named while there are others.
func Avoiding(endpoints ...string) RequestOption {
	return func(request *Request) { request.avoid = endpoints }
}

// NewRequest returns a request for pool: short and of the default priority
// where no option says otherwise.
func NewRequest(pool string, options ...RequestOption) Request {
	request := Request{pool: pool, priority: definer.DefaultPriority}
	for _, option := range options {
		option(&request)
	}
	return request
}

// Pool returns the name of the pool that can answer the request.
func (request Request) Pool() string { return request.pool }

// Class returns the group of requests with like run times, or empty.
func (request Request) Class() string { return request.class }

// Lane returns the request's lane.
func (request Request) Lane() definer.Lane { return request.lane }

// Priority returns 0 (shed first) to 9 (shed last).
func (request Request) Priority() int { return request.priority }

// Deadline returns the bound, or the zero time.
func (request Request) Deadline() time.Time { return request.deadline }

// Target returns the time within which an answer is of full use, or 0.
func (request Request) Target() time.Duration { return request.target }

// ID names the request in logs.
func (request Request) ID() string { return request.id }

// Hedge reports whether this is a second attempt beside one that runs.
func (request Request) Hedge() bool { return request.hedge }

// Isolated reports whether the request runs beside no other isolated one.
func (request Request) Isolated() bool { return request.isolated }

// Avoid returns the endpoints to use only where there is no other.
func (request Request) Avoid() []string { return request.avoid }
