package acceptor

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/pkg/client"
)

// statusCancelled is for a caller that disconnected and receives no response.
const statusCancelled = 499

// statusCodes maps kinds of refusal to HTTP status codes; other kinds are 503.
var statusCodes = map[refuser.Kind]int{
	refuser.KindBadRequest:     http.StatusBadRequest,
	refuser.KindUnknownService: http.StatusNotFound,
	refuser.KindDeadline:       http.StatusGatewayTimeout,
	refuser.KindCancelled:      statusCancelled,
	refuser.KindUnreachable:    http.StatusBadGateway,
	refuser.KindOutcomeUnknown: http.StatusBadGateway,
	refuser.KindDeadlyRequest:  http.StatusUnprocessableEntity,
	refuser.KindKeyMismatch:    http.StatusUnprocessableEntity,
	refuser.KindTooLarge:       http.StatusRequestEntityTooLarge,
	refuser.KindHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	refuser.KindBodyTimeout:    http.StatusRequestTimeout,
}

func statusOf(kind refuser.Kind) int {
	if status, ok := statusCodes[kind]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// newProblem returns the problem document for refusal.
func newProblem(refusal *refuser.Refusal) client.Problem {
	return client.Problem{
		Type:         "urn:chivespool:refusal:" + string(refusal.Kind()),
		Title:        string(refusal.Kind()),
		Status:       statusOf(refusal.Kind()),
		Detail:       refusal.Detail(),
		Kind:         string(refusal.Kind()),
		Ran:          refusal.Ran().String(),
		Remedy:       refusal.Remedy(),
		RetryAfterMs: refusal.RetryAfter().Milliseconds(),
	}
}

// handleError responds to a request that failed.
func (acceptor *Acceptor) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := toRefusal(err)
	acceptor.protocol.Refuse(c, refusal)
}

func toRefusal(err error) *refuser.Refusal {
	refusal := new(refuser.Refusal)
	if errors.As(err, &refusal) {
		return refusal
	}
	httpError := new(echo.HTTPError)
	if errors.As(err, &httpError) {
		return badRequest(fmt.Sprint(httpError.Message))
	}
	klog.ErrorS(err, "request failed with an unexpected error; please report it")
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown, "internal error")
}

// proxyStatus returns the Proxy-Status header of a refusal (RFC 9209).
func (acceptor *Acceptor) proxyStatus(refusal *refuser.Refusal) string {
	cause := "proxy_internal_response"
	failure := new(dispatcher.Failure)
	switch {
	case errors.As(refusal, &failure):
		cause = failure.Cause().String()
	case refusal.Kind() == refuser.KindBadRequest || refusal.Kind() == refuser.KindBodyTimeout:
		cause = "http_request_error"
	case refusal.Kind() == refuser.KindUnknownService || refusal.Kind() == refuser.KindNoEndpoint:
		cause = "destination_not_found"
	case refusal.Kind() == refuser.KindOverloaded:
		cause = "connection_limit_reached"
	}
	return fmt.Sprintf("%s; error=%s; details=%q", acceptor.name, cause, refusal.Detail())
}
