package reporter

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// View is the response to GET /beliefs: a summary of the process's local view
// of the store, and its staleness.
type View struct {
	Host string `json:"host"`
	// RoutingVersion is 0 if no routing is known.
	RoutingVersion uint64 `json:"routing-version"`
	// Era is the era of the store that Revision belongs to.
	Era uint64 `json:"era"`
	// Revision is the revision of the store up to which the view is complete.
	Revision uint64 `json:"revision"`
	// AgeMs is the view's staleness: the time since the store was last known to be at
	// Revision.
	AgeMs     int64 `json:"age-ms"`
	Hosts     int   `json:"hosts"`
	Endpoints int   `json:"endpoints"`
}

// Staleness returns the view's staleness.
func (view View) Staleness() time.Duration { return time.Duration(view.AgeMs) * time.Millisecond }

// Viewer provides a process's local view.
type Viewer interface {
	LocalView() View
}

// RegisterView adds GET /beliefs to group.
func RegisterView(group *echo.Group, viewer Viewer) {
	group.GET("/beliefs", func(c echo.Context) error { return c.JSON(http.StatusOK, viewer.LocalView()) })
}
