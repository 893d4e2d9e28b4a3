// Package reporter shows how a process does, over HTTP for operators and
// their monitoring: health, readiness and metrics. It changes nothing.
package reporter

import (
	"bytes"
	"net/http"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/definer"
)

// Readiness tells what keeps a process from its work.
type Readiness interface {
	// Hindrances returns what to mend before the process is ready, one
	// sentence each with its remedy; none where it is ready.
	Hindrances() []string
}

// Reporter serves the reports of one process. Make one with New.
type Reporter struct {
	self      definer.Host
	registry  metrics.Registry
	readiness Readiness
	start     time.Time
}

// New returns a reporter of the process of self that counts in registry.
func New(self definer.Host, registry metrics.Registry, readiness Readiness) *Reporter {
	metrics.RegisterRuntimeMemStats(registry)
	return &Reporter{self: self, registry: registry, readiness: readiness, start: time.Now()}
}

// Register adds the reports to group: GET /health, /ready and /metrics.
func (reporter *Reporter) Register(group *echo.Group) {
	group.GET("/health", reporter.health)
	group.GET("/ready", reporter.ready)
	group.GET("/metrics", reporter.metrics)
}

// Health is the report of a process that answers.
type Health struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
	// UpSeconds is how long the process has run.
	UpSeconds float64 `json:"up-seconds"`
}

func (reporter *Reporter) health(c echo.Context) error {
	return c.JSON(http.StatusOK, Health{
		Host: reporter.self.Name(), Region: reporter.self.Place().Region(),
		DataCentre: reporter.self.Place().DataCentre(), UpSeconds: time.Since(reporter.start).Seconds(),
	})
}

// Ready is the report of whether a process can do its work.
type Ready struct {
	Ready bool `json:"ready"`
	// Hindrances say what to mend, one sentence each.
	Hindrances []string `json:"hindrances"`
}

func (reporter *Reporter) ready(c echo.Context) error {
	hindrances := reporter.readiness.Hindrances()
	status := http.StatusOK
	if len(hindrances) > 0 {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Ready{Ready: len(hindrances) == 0, Hindrances: hindrances})
}

// metrics writes all metrics as JSON: an object with one object a metric.
// Timers are in nanoseconds; process.cpu is in milliseconds since the start.
func (reporter *Reporter) metrics(c echo.Context) error {
	metrics.CaptureRuntimeMemStatsOnce(reporter.registry)
	metrics.GetOrRegisterGauge("process.cpu", reporter.registry).Update(cpuTime().Milliseconds())
	var body bytes.Buffer
	metrics.WriteJSONOnce(reporter.registry, &body)
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body.Bytes())
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
