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

// serve dispatches one request and streams its answer.
func (acceptor *Acceptor) serve(c echo.Context) error {
	exchange := exchangeOf(c.Request())
	err := exchange.givenUp(acceptor.forward(c, exchange))
	if err != nil {
		exchange.body.discard()
	}
	if err != nil && !exchange.body.complete.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	return exchange.body.refusal(err)
}

// forward dispatches the request and streams its answer.
func (acceptor *Acceptor) forward(c echo.Context, exchange *exchange) error {
	if exchange.decodeErr == nil && exchange.body.awaited() {
		exchange.readBody()
	}
	if exchange.decodeErr != nil {
		return exchange.decodeErr
	}
	answer, err := acceptor.dispatcher.Dispatch(c.Request().Context(), exchange.decoded)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	return acceptor.streamAnswer(c, answer)
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
// closes the connection, so that the caller does not accept it as complete. It returns
// the refusal of an answer that has failed before its first part.
func (acceptor *Acceptor) streamAnswer(c echo.Context, answer *dispatcher.Answer) error {
	if c.Request().Method == http.MethodHead {
		acceptor.startAnswer(c, answer)
		return nil
	}
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		count, err := answer.Read(buffer[:])
		first := !c.Response().Committed
		if first {
			if refusal := new(refuser.Refusal); errors.As(err, &refusal) {
				return refusal
			}
			acceptor.startAnswer(c, answer)
		}
		if count > 0 {
			if _, writeErr := c.Response().Write(buffer[:count]); writeErr != nil {
				return nil // The caller disconnected; closing the answer cancels the rest.
			}
		}
		if errors.Is(err, io.EOF) {
			if !exchangeOf(c.Request()).body.complete.Load() {
				c.Response().Flush() // The caller may wait for the answer before it sends the rest.
			}
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if answer.Length() < 0 || first && !answer.Buffered() {
			// The next part may come late or never. The caller must not wait for this one, or
			// get no status.
			c.Response().Flush()
		}
	}
}

// startAnswer sets the status and the header of the answer.
func (acceptor *Acceptor) startAnswer(c echo.Context, answer *dispatcher.Answer) {
	header := c.Response().Header()
	for name, values := range answer.Header() {
		header[name] = values
	}
	acceptor.protocol.AdjustHeader(header, answer)
	if answer.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length(), 10))
	}
	exchangeOf(c.Request()).response.ready = answer.Buffered()
	c.Response().WriteHeader(answer.Status())
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
