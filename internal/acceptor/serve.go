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

// The headers that callers may send.
const (
	headerTimeoutMs = "Request-Timeout-Ms"
	headerKey       = "Idempotency-Key"
	// headerEndpoint names the endpoint that answered.
	headerEndpoint = "Chivespool-Endpoint"
)

// Bounds on what callers send.
const (
	maxTimeout  = 24 * time.Hour
	maxKeyBytes = 255
	copyBytes   = 32 << 10
)

// serve takes one request through the dispatcher and bounds how long its
// caller may take over it.
func (acceptor *Acceptor) serve(c echo.Context) error {
	controller := http.NewResponseController(c.Response().Writer)
	body := &pacedBody{reader: c.Request().Body, controller: controller, pause: acceptor.limits.bodyTimeout}
	defer body.end()
	if acceptor.isLeaving() {
		c.Response().Header().Set("Connection", "close")
	}
	err := acceptor.carry(c, controller, body)
	if err != nil && !body.ended {
		// Else net/http would wait for the rest of the body before it answers.
		c.Response().Header().Set("Connection", "close")
	}
	return err
}

// carry dispatches the request and streams its answer.
func (acceptor *Acceptor) carry(c echo.Context, controller *http.ResponseController, body *pacedBody) error {
	request, err := acceptor.decode(c, body)
	if err != nil {
		return err
	}
	answer, err := acceptor.dispatcher.Dispatch(c.Request().Context(), request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	return acceptor.copyAnswer(c, controller, answer)
}

// decode reads a request up to the part of its body that is held.
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

// buffers holds the buffers that answers are copied through.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyAnswer streams the answer. One that is cut after its head has gone out
// ends the connection, so that the caller never takes it for whole.
func (acceptor *Acceptor) copyAnswer(c echo.Context, controller *http.ResponseController, answer *dispatcher.Answer) error {
	header := c.Response().Header()
	for name, values := range answer.Header() {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Else net/http would guess one.
	}
	acceptor.protocol.Label(header, answer)
	if answer.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length(), 10))
	}
	c.Response().WriteHeader(answer.Status())
	if c.Request().Method == http.MethodHead {
		return nil
	}
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	for {
		count, err := answer.Read(buffer[:])
		if count > 0 {
			acceptor.boundWrites(c)
			if _, writeErr := c.Response().Write(buffer[:count]); writeErr != nil {
				return nil // The caller went away; closing the answer cancels the rest.
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

// pacedBody bounds each pause of a caller that sends a body.
type pacedBody struct {
	reader     io.Reader
	controller *http.ResponseController
	pause      time.Duration
	// ended is true after the whole body: the connection has no bound then,
	// since net/http reads on to see the caller go away.
	ended bool
}

// Read reads what the caller sends next within the pause.
func (pacedBody *pacedBody) Read(buffer []byte) (int, error) {
	_ = pacedBody.controller.SetReadDeadline(time.Now().Add(pacedBody.pause))
	count, err := pacedBody.reader.Read(buffer)
	if err == io.EOF {
		pacedBody.ended = true
		_ = pacedBody.controller.SetReadDeadline(time.Time{})
	}
	return count, err
}

// end bounds what net/http reads of a body that nobody read to its end. It
// sets its own bound for the next request on the connection.
func (pacedBody *pacedBody) end() {
	if !pacedBody.ended {
		_ = pacedBody.controller.SetReadDeadline(time.Now().Add(pacedBody.pause))
	}
}

// boundWrites bounds how long a caller may take to read the next part of an
// answer.
func (acceptor *Acceptor) boundWrites(c echo.Context) {
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetWriteDeadline(time.Now().Add(acceptor.limits.bodyTimeout))
}

// idMaker makes request ids that are unique over the fleet.
type idMaker struct {
	prefix string
	count  atomic.Uint64
}

// startStamp tells the ids of one start of the process from another's.
var startStamp = strconv.FormatInt(time.Now().UnixNano(), 36)

func (idMaker *idMaker) next() string {
	return idMaker.prefix + "-" + startStamp + "-" + strconv.FormatUint(idMaker.count.Add(1), 36)
}
