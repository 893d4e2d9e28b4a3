package emulator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// BackendGroup is the group of backends in one process, with an HTTP interface to
// set their faults and to read their journals. The zero value is empty; Add must
// be called before the other methods. It is a supervisor.Task that drains its
// backends at shutdown. Added to the supervisor after them, it drains all of them
// before the first one closes.
type BackendGroup struct {
	backends map[string]*Backend
	drain    time.Duration
	// restored holds the records of earlier processes.
	restored Journal
}

// PersistJournals adds the records that earlier processes wrote to file, and
// appends all further records to it.
func (backendGroup *BackendGroup) PersistJournals(file io.ReadWriter) error {
	if err := backendGroup.restored.Restore(file); err != nil {
		return fmt.Errorf("read the journal of earlier processes: %w", err)
	}
	for _, backend := range backendGroup.backends {
		backend.journal.CopyTo(file)
	}
	return nil
}

// SetDrain sets how long a shutdown refuses requests before connections close.
func (backendGroup *BackendGroup) SetDrain(drain time.Duration) { backendGroup.drain = drain }

// Run waits until ctx is done, then drains all backends for the time set by
// SetDrain, so that callers use other endpoints before their connections close.
func (backendGroup *BackendGroup) Run(ctx context.Context) error {
	<-ctx.Done()
	for _, backend := range backendGroup.backends {
		backend.Drain()
	}
	pause(context.WithoutCancel(ctx), backendGroup.drain)
	return nil
}

// Add adds backend to the group.
func (backendGroup *BackendGroup) Add(backend *Backend) {
	if backendGroup.backends == nil {
		backendGroup.backends = make(map[string]*Backend)
	}
	backendGroup.backends[backend.name] = backend
}

// Handler returns the handler of the HTTP interface.
func (backendGroup *BackendGroup) Handler() http.Handler {
	router := echo.New()
	router.GET("/endpoints", backendGroup.serveList)
	router.PUT("/endpoints/:name", backendGroup.serveChange)
	router.POST("/endpoints/:name/crash", backendGroup.serveCrash)
	router.GET("/journal", backendGroup.serveJournal)
	router.DELETE("/journal", backendGroup.serveClear)
	return router
}

// endpointStatus is one endpoint in the response to GET /endpoints.
type endpointStatus struct {
	Name string `json:"name"`
	healthReport
	// Runs is the number of starts, and Repeated the number of ids that started
	// more than once.
	Runs     int             `json:"runs"`
	Repeated int             `json:"again"`
	Settings BackendSettings `json:"settings"`
}

func (backendGroup *BackendGroup) serveList(c echo.Context) error {
	statuses := make([]endpointStatus, 0, len(backendGroup.backends))
	for _, name := range slices.Sorted(maps.Keys(backendGroup.backends)) {
		statuses = append(statuses, backendGroup.backends[name].status())
	}
	return c.JSON(http.StatusOK, map[string]any{"endpoints": statuses})
}

func (backend *Backend) status() endpointStatus {
	status := endpointStatus{Name: backend.name, healthReport: backend.report(), Settings: backend.Settings()}
	counted := make(map[string]Runs)
	backend.journal.addTo(counted)
	for _, runs := range counted {
		status.Runs += runs.Started
		if runs.Started > 1 {
			status.Repeated++
		}
	}
	return status
}

// serveChange changes the settings that the body contains and leaves the others
// as they are.
func (backendGroup *BackendGroup) serveChange(c echo.Context) error {
	backend, ok := backendGroup.backends[c.Param("name")]
	if !ok {
		return refuse(c, http.StatusNotFound, "name an endpoint that GET /endpoints lists")
	}
	settings := backend.Settings()
	if err := c.Bind(&settings); err != nil {
		return refuse(c, http.StatusBadRequest, "send JSON with the settings to change")
	}
	backend.Change(settings)
	return c.JSON(http.StatusOK, backend.Settings())
}

func (backendGroup *BackendGroup) serveCrash(c echo.Context) error {
	backend, ok := backendGroup.backends[c.Param("name")]
	if !ok {
		return refuse(c, http.StatusNotFound, "name an endpoint that GET /endpoints lists")
	}
	backend.Crash()
	return c.JSON(http.StatusOK, struct{}{})
}

// serveJournal sends the runs of each request over all endpoints; with
// ?repeated=true only those of requests that started more than once.
func (backendGroup *BackendGroup) serveJournal(c echo.Context) error {
	total := make(map[string]Runs)
	backendGroup.restored.addTo(total)
	for _, backend := range backendGroup.backends {
		backend.journal.addTo(total)
	}
	if repeated, _ := strconv.ParseBool(c.QueryParam("repeated")); repeated {
		maps.DeleteFunc(total, func(_ string, runs Runs) bool { return runs.Started < 2 })
	}
	return c.JSON(http.StatusOK, total)
}

func (backendGroup *BackendGroup) serveClear(c echo.Context) error {
	for _, backend := range backendGroup.backends {
		backend.journal.clear()
	}
	return c.JSON(http.StatusOK, struct{}{})
}
