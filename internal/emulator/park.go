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

// Park is the backends of one process, with an HTTP interface to switch their
// faults and to read what ran. The zero value is empty; Add comes before all
// else. A Park is a supervisor.Task that drains its backends at a stop; added
// after them, it makes all of them drain at once before the first one closes.
type Park struct {
	backends map[string]*Backend
	drain    time.Duration
	// restored holds what earlier processes ran.
	restored Journal
}

// KeepJournals writes what runs from now on to kept, and adds what earlier
// processes wrote there.
func (park *Park) KeepJournals(kept io.ReadWriter) error {
	if err := park.restored.Restore(kept); err != nil {
		return fmt.Errorf("read the journal of earlier processes: %w", err)
	}
	for _, backend := range park.backends {
		backend.journal.Keep(kept)
	}
	return nil
}

// SetDrain sets for how long a stop refuses requests before connections close.
func (park *Park) SetDrain(drain time.Duration) { park.drain = drain }

// Run waits until ctx is done, then makes all backends refuse new requests for
// a while, so that clients leave before connections close under them.
func (park *Park) Run(ctx context.Context) error {
	<-ctx.Done()
	for _, backend := range park.backends {
		backend.Drain()
	}
	pause(context.WithoutCancel(ctx), park.drain)
	return nil
}

// Add puts backend into the park.
func (park *Park) Add(backend *Backend) {
	if park.backends == nil {
		park.backends = make(map[string]*Backend)
	}
	park.backends[backend.name] = backend
}

// Handler returns the HTTP interface.
func (park *Park) Handler() http.Handler {
	router := echo.New()
	router.GET("/endpoints", park.serveList)
	router.PUT("/endpoints/:name", park.serveChange)
	router.POST("/endpoints/:name/crash", park.serveCrash)
	router.GET("/journal", park.serveJournal)
	router.DELETE("/journal", park.serveClear)
	return router
}

// endpointStatus is an endpoint as GET /endpoints shows it.
type endpointStatus struct {
	Name string `json:"name"`
	healthReport
	// Runs is how many requests started and Again how many ids of them came
	// more than once.
	Runs     int             `json:"runs"`
	Again    int             `json:"again"`
	Settings BackendSettings `json:"settings"`
}

func (park *Park) serveList(c echo.Context) error {
	statuses := make([]endpointStatus, 0, len(park.backends))
	for _, name := range slices.Sorted(maps.Keys(park.backends)) {
		statuses = append(statuses, park.backends[name].status())
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
			status.Again++
		}
	}
	return status
}

// serveChange changes the settings that the body names and keeps the rest.
func (park *Park) serveChange(c echo.Context) error {
	backend, ok := park.backends[c.Param("name")]
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

func (park *Park) serveCrash(c echo.Context) error {
	backend, ok := park.backends[c.Param("name")]
	if !ok {
		return refuse(c, http.StatusNotFound, "name an endpoint that GET /endpoints lists")
	}
	backend.Crash()
	return c.JSON(http.StatusOK, struct{}{})
}

// serveJournal sends how often each request ran, over all endpoints; with
// ?repeated=true only those that started more than once.
func (park *Park) serveJournal(c echo.Context) error {
	total := make(map[string]Runs)
	park.restored.addTo(total)
	for _, backend := range park.backends {
		backend.journal.addTo(total)
	}
	if repeated, _ := strconv.ParseBool(c.QueryParam("repeated")); repeated {
		maps.DeleteFunc(total, func(_ string, runs Runs) bool { return runs.Started < 2 })
	}
	return c.JSON(http.StatusOK, total)
}

func (park *Park) serveClear(c echo.Context) error {
	for _, backend := range park.backends {
		backend.journal.clear()
	}
	return c.JSON(http.StatusOK, struct{}{})
}
