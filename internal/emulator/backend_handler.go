package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
)

// The headers of the protocol between chivespool and backend servers.
const (
	headerTimeout = "Request-Timeout-Ms"
	headerID      = "Request-Id"
	headerRan     = "Request-Ran"
	headerState   = "Endpoint-State"
	headerLoad    = "Endpoint-Load-Metrics"
)

// The headers with which callers specify the work of an emulated endpoint, and
// their values.
const (
	headerWorkID    = "Work-Id"
	headerWork      = "Work-Ms"
	headerKind      = "Work-Kind"
	headerBytes     = "Answer-Bytes"
	headerChunked   = "Answer-Chunked"
	headerEndpoint  = "Endpoint-Name"
	kindCrash       = "crash"
	kindTruncate    = "cut"
	shedRetryAfterS = "1"
)

// Handler returns the endpoint's HTTP handler.
func (backend *Backend) Handler() http.Handler {
	router := echo.New()
	router.GET("/health", func(c echo.Context) error {
		return c.JSON(http.StatusOK, backend.publishedReport(time.Now()))
	})
	router.Any("/*", backend.serve)
	return router
}

// serve runs one request, or refuses it without running it.
func (backend *Backend) serve(c echo.Context) error {
	backend.recordHealth(time.Now())
	c.Response().Header().Set(headerEndpoint, backend.name)
	settings := backend.Settings()
	if settings.FailFast != 0 {
		return backend.failFast(c, settings.FailFast)
	}
	if settings.Draining {
		c.Response().Header().Set(headerState, "draining")
		c.Response().Header().Set("Connection", "close")
		return backend.shed(c, "the endpoint drains")
	}
	ctx, cancel := withTimeout(c.Request())
	defer cancel()
	if !backend.acquireSlot(ctx) {
		return backend.shed(c, "all slots are taken")
	}
	defer backend.releaseSlot()
	return backend.run(ctx, c)
}

// withTimeout bounds the request's context by its timeout header.
func withTimeout(request *http.Request) (context.Context, context.CancelFunc) {
	timeout := number(request.Header.Get(headerTimeout))
	if timeout == 0 {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(timeout)*time.Millisecond)
}

func (backend *Backend) failFast(c echo.Context, status int) error {
	if status == http.StatusServiceUnavailable {
		return backend.shed(c, "the endpoint fails fast")
	}
	return c.JSON(status, refusal{Reason: "the endpoint fails fast"})
}

// shed refuses a request that did not run.
func (backend *Backend) shed(c echo.Context, reason string) error {
	header := c.Response().Header()
	header.Set(headerRan, "no")
	header.Set("Retry-After", shedRetryAfterS)
	backend.setLoad(c)
	return refuse(c, http.StatusServiceUnavailable, reason)
}

// run runs a request that has a slot.
func (backend *Backend) run(ctx context.Context, c echo.Context) error {
	request := c.Request()
	id := workID(request)
	backend.journal.start(id)
	if request.Header.Get(headerKind) == kindCrash {
		backend.Crash()
		panic(http.ErrAbortHandler)
	}
	start := time.Now()
	digest := xxhash.New()
	if _, err := io.Copy(digest, request.Body); err != nil {
		return fmt.Errorf("read the request body: %w", err)
	}
	work, _ := strconv.ParseFloat(request.Header.Get(headerWork), 64)
	pause(ctx, backend.runTime(milliseconds(work), start))
	if ctx.Err() != nil {
		return c.JSON(http.StatusGatewayTimeout, refusal{Applied: true, Reason: "the request's time is over"})
	}
	backend.recordRunTime(time.Since(start))
	backend.journal.finish(id)
	return backend.answer(c, NewAnswer(id, int64(number(request.Header.Get(headerBytes))), digest.Sum64()))
}

// workID returns the id that the caller assigned to the request, which an entry
// host forwards like any other header, or else the id assigned by the entry host.
func workID(request *http.Request) string {
	if id := request.Header.Get(headerWorkID); id != "" {
		return id
	}
	return request.Header.Get(headerID)
}

// answer sends answer with the load report. It truncates the answer in the
// middle if the request asks for that.
func (backend *Backend) answer(c echo.Context, answer *Answer) error {
	header := c.Response().Header()
	header.Set(headerID, c.Request().Header.Get(headerID))
	header.Set("Content-Type", "application/octet-stream")
	backend.setLoad(c)
	if backend.Settings().Draining {
		header.Set(headerState, "draining")
		header.Set("Connection", "close")
	}
	if c.Request().Header.Get(headerChunked) == "" {
		header.Set("Content-Length", strconv.FormatInt(answer.Length(), 10))
	}
	c.Response().WriteHeader(http.StatusOK)
	if c.Request().Header.Get(headerKind) == kindTruncate {
		_, _ = io.CopyN(c.Response(), answer, answer.Length()/2)
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := io.Copy(c.Response(), answer)
	return err
}

// setLoad sets the load report header, in the text format of ORCA.
func (backend *Backend) setLoad(c echo.Context) {
	report := backend.report()
	c.Response().Header().Set(headerLoad,
		fmt.Sprintf("TEXT in_flight=%d, slots=%d, run_ms=%.3f", report.InFlight, report.Slots, report.RunMs))
}
