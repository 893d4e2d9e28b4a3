package sender

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
)

// Verdict classifies a response by its head.
type Verdict int

// The verdicts on a response.
const (
	// Answered means that the response is the endpoint's response to this request.
	Answered Verdict = iota
	// Foreign means that the response belongs to another request.
	Foreign
	// Refused means that the endpoint rejected the request without running it.
	Refused
	// Draining means that the endpoint is draining and rejected the request without
	// running it.
	Draining
	// Misdirected means that another endpoint is at the address and rejected the
	// request without running it.
	Misdirected
	// Invalid means that no endpoint sends such a response.
	Invalid
)

// Dialect defines the headers of requests to endpoints and of their responses.
type Dialect interface {
	// Authority returns the Host header of a request to endpoint.
	Authority(endpoint definer.Endpoint, request *dispatcher.Request) string
	// SetHeaders sets the headers of a request; left is the time until its deadline.
	SetHeaders(header http.Header, endpoint definer.Endpoint, request *dispatcher.Request, left time.Duration)
	// Classify returns the verdict on the response to request, judged by its head. The
	// connection may hold late responses to others if it is reused.
	Classify(response *http.Response, request *dispatcher.Request, reused bool) Verdict
	// Report returns what an endpoint states about itself in the head of a response.
	Report(response *http.Response) definer.Report
	// Health returns the report from the response to a health check of endpoint,
	// or false if the response is not the endpoint's.
	Health(response *http.Response, endpoint definer.Endpoint) (definer.Report, bool)
}

// The headers agreed with backend servers; docs/STAND-INS.md describes them.
const (
	HeaderRequestID = "Request-Id"
	// HeaderTimeout is the time until the deadline in milliseconds.
	HeaderTimeout       = "Request-Timeout-Ms"
	HeaderRan           = "Request-Ran"
	HeaderLoad          = "Endpoint-Load-Metrics"
	HeaderEndpointState = "Endpoint-State"
)

// Plain is the default dialect.
type Plain struct{}

// Authority returns the address of the endpoint.
func (Plain) Authority(endpoint definer.Endpoint, _ *dispatcher.Request) string {
	return endpoint.Address()
}

// SetHeaders sets the request's id and the time until its deadline.
func (Plain) SetHeaders(header http.Header, _ definer.Endpoint, request *dispatcher.Request, left time.Duration) {
	header.Set(HeaderRequestID, request.ID())
	if left > 0 {
		header.Set(HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
}

// Classify treats a 503 response with "Request-Ran: no" as a rejection.
func (Plain) Classify(response *http.Response, _ *dispatcher.Request, _ bool) Verdict {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderRan) == "no":
		if draining(response.Header) {
			return Draining
		}
		return Refused
	case !delimited(response):
		return Invalid
	}
	return Answered
}

// Report parses the load report and the drain state.
func (Plain) Report(response *http.Response) definer.Report {
	inFlight, slots := parseLoad(response.Header.Get(HeaderLoad))
	return definer.NewReport(!draining(response.Header), inFlight, 0, slots, 0)
}

// Health reports the endpoint as healthy if the status is 200 and it is not
// draining.
func (plain Plain) Health(response *http.Response, _ definer.Endpoint) (definer.Report, bool) {
	report := plain.Report(response)
	healthy := report.Healthy() && response.StatusCode == http.StatusOK
	return definer.NewReport(healthy, report.Running(), 0, report.Slots(), 0), true
}

// draining reports whether the header marks the endpoint as draining.
func draining(header http.Header) bool { return header.Get(HeaderEndpointState) == "draining" }
