package reporter

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Beliefs is the report of what a process takes for true, and how old that is.
type Beliefs struct {
	Host string `json:"host"`
	// RoutingVersion is 0 where no routing is known.
	RoutingVersion uint64 `json:"routing-version"`
	// Revision is that of the store which all of it was read at.
	Revision uint64 `json:"revision"`
	// AgeMs is how long ago the store was last known to be at that revision.
	AgeMs     int64 `json:"age-ms"`
	Hosts     int   `json:"hosts"`
	Endpoints int   `json:"endpoints"`
}

// Age returns how long ago the store was last known to be at the revision.
func (beliefs Beliefs) Age() time.Duration { return time.Duration(beliefs.AgeMs) * time.Millisecond }

// Believer tells what a process believes.
type Believer interface {
	Beliefs() Beliefs
}

// RegisterBeliefs adds GET /beliefs to group.
func RegisterBeliefs(group *echo.Group, believer Believer) {
	group.GET("/beliefs", func(c echo.Context) error { return c.JSON(http.StatusOK, believer.Beliefs()) })
}
