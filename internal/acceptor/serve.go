package acceptor

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/refuser"
)

// Headers of requests and responses.
const (
	headerTimeoutMs = "Request-Timeout-Ms"
	headerKey       = "Idempotency-Key"
	// headerEndpoint carries the name of the endpoint that answered.
	headerEndpoint = "Chivespool-Endpoint"
)

// Limits of requests, and the size of the buffers for responses.
const (
	maxTimeout  = 24 * time.Hour
	maxKeyBytes = 255
	bufferBytes = 32 << 10
)

// serve dispatches one request and limits how long its caller may take to send
// the body.
func (acceptor *Acceptor) serve(c echo.Context) error {
	controller := http.NewResponseController(c.Response().Writer)
	body := &timedBody{reader: c.Request().Body, controller: controller, timeout: acceptor.limits.bodyTimeout}
	defer body.limitRemainder()
	if acceptor.isLeaving() {
		c.Response().Header().Set("Connection", "close")
	}
	err := acceptor.forward(c, controller, body)
	if err != nil && !body.ended {
		// Otherwise net/http waits for the rest of the body before it responds.
		c.Response().Header().Set("Connection", "close")
	}
	return err
}

// forward dispatches the request and streams its answer.
func (acceptor *Acceptor) forward(c echo.Context, controller *http.ResponseController, body *timedBody) error {
	request, err := acceptor.decode(c, body)
	if err != nil {
		return err
	}
	answer, err := acceptor.dispatcher.Dispatch(c.Request().Context(), request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	return acceptor.streamAnswer(c, controller, answer)
}

// decode reads a request and the part of its body that is buffered.
func (acceptor *Acceptor) decode(c echo.Context, body io.Reader) (*dispatcher.Request, error) {
	request, err := acceptor.protocol.Decode(c)
	if err != nil {
		return nil, err
	}
	request, err = request.WithBody(body, c.Request().ContentLength)
	if err != nil {
		return nil, badRequest("the body broke off").WithCause(err)
	}
	return request, nil
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 || number > maxTimeout.Milliseconds() {
		return 0, badRequest(headerTimeoutMs + " must be a whole number of milliseconds, from 1 to a day")
	}
	return time.Duration(number) * time.Millisecond, nil
}

func badRequest(detail string) *refuser.Refusal {
	return refuser.New(refuser.KindBadRequest, refuser.NotRun, detail)
}

// buffers is a pool of buffers for copying answers.
var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// streamAnswer writes the answer to the caller. If the body is truncated, it
// closes the connection, so that the caller does not accept it as complete.
func (acceptor *Acceptor) streamAnswer(c echo.Context, controller *http.ResponseController, answer *dispatcher.Answer) error {
	header := c.Response().Header()
	for name, values := range answer.Header() {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Otherwise net/http guesses one.
	}
	acceptor.protocol.AdjustHeader(header, answer)
	if answer.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length(), 10))
	}
	c.Response().WriteHeader(answer.Status())
	if c.Request().Method == http.MethodHead {
		return nil
	}
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		count, err := answer.Read(buffer[:])
		if count > 0 {
			acceptor.setWriteDeadline(c)
			if _, writeErr := c.Response().Write(buffer[:count]); writeErr != nil {
				return nil // The caller disconnected; closing the answer cancels the rest.
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if answer.Length() < 0 {
			_ = controller.Flush()
		}
	}
}

// timedBody is a request body with a timeout for each read.
type timedBody struct {
	reader     io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	// ended is true after the end of the body. The connection then has no read
	// deadline, since net/http keeps reading to detect that the caller disconnects.
	ended bool
}

// Read fails if the caller sends nothing within the timeout.
func (timedBody *timedBody) Read(buffer []byte) (int, error) {
	_ = timedBody.controller.SetReadDeadline(time.Now().Add(timedBody.timeout))
	count, err := timedBody.reader.Read(buffer)
	if err == io.EOF {
		timedBody.ended = true
		_ = timedBody.controller.SetReadDeadline(time.Time{})
	}
	return count, err
}

// limitRemainder sets a deadline for net/http to read the rest of an unread body.
// net/http sets its own deadline for the next request on the connection.
func (timedBody *timedBody) limitRemainder() {
	if !timedBody.ended {
		_ = timedBody.controller.SetReadDeadline(time.Now().Add(timedBody.timeout))
	}
}

// setWriteDeadline limits how long the caller may take to read the next part of
// a response.
func (acceptor *Acceptor) setWriteDeadline(c echo.Context) {
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetWriteDeadline(time.Now().Add(acceptor.limits.bodyTimeout))
}

// idGenerator generates request ids that are unique in the fleet.
type idGenerator struct {
	prefix string
	count  atomic.Uint64
}

// startID distinguishes the ids of this process from those of earlier starts.
var startID = strconv.FormatInt(time.Now().UnixNano(), 36)

func (idGenerator *idGenerator) next() string {
	return idGenerator.prefix + "-" + startID + "-" + strconv.FormatUint(idGenerator.count.Add(1), 36)
}
