package sender

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
)

// Verdict says what the head of an answer means.
type Verdict int

// The verdicts on an answer.
const (
	// Own means that the answer is the endpoint's to this request.
	Own Verdict = iota
	// Foreign means that the answer belongs to another request.
	Foreign
	// Refused means that the endpoint did not run the request.
	Refused
	// Leaving means that the endpoint drains and did not run the request.
	Leaving
	// Elsewhere means that another endpoint has the address; it did not run
	// the request.
	Elsewhere
	// Improper means that the answer can't be an endpoint's.
	Improper
)

// Dialect is how endpoints are spoken to: the headers of requests and answers.
type Dialect interface {
	// Authority returns the Host header of a request to endpoint.
	Authority(endpoint definer.Endpoint, request *dispatcher.Request) string
	// Sign sets the headers that a request bears, with left until its deadline.
	Sign(header http.Header, endpoint definer.Endpoint, request *dispatcher.Request, left time.Duration)
	// Judge says what the head of an answer to request means.
	Judge(response *http.Response, request *dispatcher.Request) Verdict
	// Report reads the endpoint's load and drain sign from an answer.
	Report(header http.Header) definer.Report
	// Health reads the answer to a health check of endpoint; false where it is
	// not the endpoint's.
	Health(response *http.Response, endpoint definer.Endpoint) (definer.Report, bool)
}

// The headers agreed with backend servers; docs/STAND-INS.md describes them.
const (
	HeaderRequestID = "Request-Id"
	// HeaderTimeout carries the time left in milliseconds.
	HeaderTimeout       = "Request-Timeout-Ms"
	HeaderRan           = "Request-Ran"
	HeaderLoad          = "Endpoint-Load-Metrics"
	HeaderEndpointState = "Endpoint-State"
)

// Plain is the product's own dialect.
type Plain struct{}

// Authority returns the address of the endpoint.
func (Plain) Authority(endpoint definer.Endpoint, _ *dispatcher.Request) string {
	return endpoint.Address()
}

// Sign sets the id and the time left.
func (Plain) Sign(header http.Header, _ definer.Endpoint, request *dispatcher.Request, left time.Duration) {
	header.Set(HeaderRequestID, request.ID())
	if left > 0 {
		header.Set(HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
}

// Judge tells refusals from answers.
func (Plain) Judge(response *http.Response, _ *dispatcher.Request) Verdict {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderRan) == "no":
		if draining(response.Header) {
			return Leaving
		}
		return Refused
	case !delimited(response):
		return Improper
	}
	return Own
}

// Report reads the load report.
func (Plain) Report(header http.Header) definer.Report {
	inFlight, slots := parseLoad(header.Get(HeaderLoad))
	return definer.NewReport(!draining(header), inFlight, 0, slots, 0)
}

// Health takes any success for good health.
func (plain Plain) Health(response *http.Response, _ definer.Endpoint) (definer.Report, bool) {
	report := plain.Report(response.Header)
	healthy := report.Healthy() && response.StatusCode == http.StatusOK
	return definer.NewReport(healthy, report.Running(), 0, report.Slots(), 0), true
}

// draining reports whether the endpoint says that it drains.
func draining(header http.Header) bool { return header.Get(HeaderEndpointState) == "draining" }

// delimited reports whether the end of the body can be told from a cut.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}
