// Package reporter serves read-only reports on a process over HTTP to operators
// and their monitoring: health, readiness, metrics and the local view of the
// store. Packages runner and launcher add its handlers to their servers.
//
// The package starts no goroutines.
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

// Readiness reports whether a process is ready.
type Readiness interface {
	// ReadinessProblems returns the problems that keep the process from being ready,
	// each as a sentence with its remedy. It is empty if the process is ready.
	ReadinessProblems() []string
}

// Reporter serves the reports of one process. Make one with New.
type Reporter struct {
	self      definer.Host
	registry  metrics.Registry
	readiness Readiness
	startedAt time.Time
}

// New returns a reporter on the process of host self, whose metrics are in
// registry.
func New(self definer.Host, registry metrics.Registry, readiness Readiness) *Reporter {
	metrics.RegisterRuntimeMemStats(registry)
	return &Reporter{self: self, registry: registry, readiness: readiness, startedAt: time.Now()}
}

// Register adds the reports to group: GET /health, /ready and /metrics.
func (reporter *Reporter) Register(group *echo.Group) {
	group.GET("/health", reporter.health)
	group.GET("/ready", reporter.ready)
	group.GET("/metrics", reporter.metrics)
}

// Health is the response to GET /health.
type Health struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
	// UpSeconds is how long the process has been running.
	UpSeconds float64 `json:"up-seconds"`
}

func (reporter *Reporter) health(c echo.Context) error {
	return c.JSON(http.StatusOK, Health{
		Host: reporter.self.Name(), Region: reporter.self.Place().Region(),
		DataCentre: reporter.self.Place().DataCentre(), UpSeconds: time.Since(reporter.startedAt).Seconds(),
	})
}

// Ready is the response to GET /ready.
type Ready struct {
	Ready bool `json:"ready"`
	// Problems are the problems that keep the process from being ready, each as a
	// sentence with its remedy.
	Problems []string `json:"hindrances"`
}

func (reporter *Reporter) ready(c echo.Context) error {
	problems := reporter.readiness.ReadinessProblems()
	status := http.StatusOK
	if len(problems) > 0 {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Ready{Ready: len(problems) == 0, Problems: problems})
}

// metrics responds with a JSON object that has one object for each metric. Timers
// are in nanoseconds; process.cpu is the processor time used, in milliseconds.
func (reporter *Reporter) metrics(c echo.Context) error {
	metrics.CaptureRuntimeMemStatsOnce(reporter.registry)
	metrics.GetOrRegisterGauge("process.cpu", reporter.registry).Update(cpuTime().Milliseconds())
	var body bytes.Buffer
	metrics.WriteJSONOnce(reporter.registry, &body)
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body.Bytes())
}

// cpuTime returns the process's user and system time, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
