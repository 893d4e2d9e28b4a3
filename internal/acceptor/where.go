package acceptor

import (
	"fmt"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/pkg/client"
)

// where returns the addresses that a caller should use for a service. The
// caller's location defaults to this host's. Its seed, which spreads callers over
// equivalent hosts, defaults to its address.
func (acceptor *Acceptor) where(c echo.Context) error {
	service := c.QueryParam("service")
	if service == "" {
		return badRequest("name the service: /where?service=NAME")
	}
	place := acceptor.place
	if region := c.QueryParam("region"); region != "" {
		place = definer.NewPlace(region, c.QueryParam("data-centre"))
	}
	seed := c.QueryParam("seed")
	if seed == "" {
		seed, _, _ = net.SplitHostPort(c.Request().RemoteAddr)
	}
	answer, ok := acceptor.locator.Locate(service, place, seed)
	if !ok {
		return refuser.New(refuser.KindUnknownService, refuser.NotRun, fmt.Sprintf("no service %q", service))
	}
	return c.JSON(http.StatusOK, client.NewWhere(service, answer.Addresses(), answer.CacheTime()))
}
