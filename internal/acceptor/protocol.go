package acceptor

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/pkg/client"
)

// Protocol defines the paths, headers and statuses of requests and responses. The
// acceptor handles bodies and connections.
type Protocol interface {
	// Mount adds the routes whose requests serve handles, and the protocol's own
	// routes.
	Mount(router *echo.Echo, serve echo.HandlerFunc)
	// Decode returns the request without its body, before it is routed. Its error is a
	// *refuser.Refusal.
	Decode(incoming *http.Request) (*dispatcher.Request, error)
	// AdjustHeader adds or removes headers of an endpoint's answer.
	AdjustHeader(header http.Header, answer *dispatcher.Answer)
	// Refuse writes the response to a request that failed.
	Refuse(c echo.Context, refusal *refuser.Refusal)
}

// plain is the default protocol.
type plain struct {
	acceptor *Acceptor
}

// Mount adds the routes of services and GET /where.
func (plain *plain) Mount(router *echo.Echo, serve echo.HandlerFunc) {
	router.GET("/where", plain.acceptor.where)
	router.Any("/s/:service", serve)
	router.Any("/s/:service/*", serve)
}

// Decode reads the service from the path, and the timeout and idempotency key from
// headers.
func (plain *plain) Decode(incoming *http.Request) (*dispatcher.Request, error) {
	path, ok := strings.CutPrefix(incoming.URL.Path, "/s/")
	if !ok {
		return nil, badRequest("the path names no service")
	}
	service, _, _ := strings.Cut(path, "/")
	target := strings.TrimPrefix(incoming.URL.RequestURI(), "/s/"+service)
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	request := dispatcher.NewRequest(plain.acceptor.ids.next(), service, incoming.Method, target, incoming.Header)
	timeout, err := parseTimeout(incoming.Header.Get(headerTimeoutMs))
	if err != nil {
		return nil, err
	}
	key := incoming.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return nil, badRequest(headerKey + " is over " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	return request.WithKey(key).WithTimeout(timeout), nil
}

// AdjustHeader adds the name of the endpoint that answered.
func (plain *plain) AdjustHeader(header http.Header, answer *dispatcher.Answer) {
	header.Set(headerEndpoint, answer.Endpoint())
}

// Refuse writes a problem document (RFC 9457).
func (plain *plain) Refuse(c echo.Context, refusal *refuser.Refusal) {
	problem := newProblem(refusal)
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, client.ProblemType)
	header.Set("Request-Ran", problem.Ran)
	header.Set("Proxy-Status", plain.acceptor.proxyStatus(refusal))
	if wait := refusal.RetryAfter(); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	c.Response().WriteHeader(problem.Status)
	if err := json.NewEncoder(c.Response()).Encode(problem); err != nil {
		klog.V(2).InfoS("failed to send a refusal to the caller", "cause", err)
	}
}
