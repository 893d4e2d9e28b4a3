package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

const (
	// meanThinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 60 * time.Millisecond
	// waitMargin is how long a caller waits for an answer after the request's
	// deadline.
	waitMargin = 4 * time.Second
	// resolveTimeout bounds a lookup of gateway addresses, and connectTimeout a
	// connection attempt.
	resolveTimeout = time.Second
	connectTimeout = time.Second
	// addressLifetime is how long a caller uses a list of addresses: three times
	// the advertised TTL.
	addressLifetime = 3 * time.Second
	// manyShare and onceShare are the shares of repeatable and of non-repeatable
	// requests; the rest uses the moved route.
	manyShare, onceShare = 0.5, 0.3
	// maxBodyWords bounds the number of words of a request body.
	maxBodyWords = 100
	// callersPerSlow is the number of usual callers per slow one.
	callersPerSlow = 2
	// usualDeadline is the deadline of a usual caller's requests, and
	// minSlowDeadline and maxSlowDeadline bound that of a slow caller's.
	usualDeadline   = 1500 * time.Millisecond
	minSlowDeadline = 2 * time.Second
	maxSlowDeadline = 8 * time.Second
)

// caller is a client that resolves gateway addresses and reuses one connection
// for as long as it is open and its address is listed.
type caller struct {
	index int
	// slow callers take their time to send, and their requests take long.
	slow      bool
	soaker    *Soaker
	random    *rand.Rand
	count     int
	addresses []string
	// resolvedAt is when addresses were received.
	resolvedAt    time.Time
	gateway       *gateway
	processNumber int
	conn          net.Conn
	reader        *bufio.Reader
	// limit is when the caller gives up the requests that are due.
	limit time.Time
	// due holds the requests whose answers are due, in order.
	due []*exchange
	// lastFailure is why the last connection ended.
	lastFailure error
}

func newCaller(index int, soaker *Soaker, slow bool) *caller {
	return &caller{index: index, slow: slow, soaker: soaker, random: rand.New(rand.NewPCG(soaker.seed, uint64(index)+1))}
}

func (caller *caller) run(ctx context.Context) {
	defer caller.disconnect()
	for emulator.Pause(ctx, time.Duration(caller.random.ExpFloat64()*float64(meanThinkTime))) == nil {
		if time.Since(caller.resolvedAt) > addressLifetime {
			caller.resolve(ctx)
		}
		if caller.conn != nil || caller.connect() && emulator.Pause(ctx, caller.firstRequestDelay()) == nil {
			caller.send(ctx)
		}
	}
}

func (caller *caller) disconnect() {
	if caller.conn != nil {
		_ = caller.conn.Close()
	}
	caller.conn = nil
}

// resolve asks a random gateway for the addresses to connect to.
func (caller *caller) resolve(ctx context.Context) {
	gateways := caller.soaker.gateways
	gateway := gateways[caller.random.IntN(len(gateways))]
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.directory+platform.ResolvePath, nil)
	if err != nil {
		return
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // The next lookup goes to another gateway.
	}
	defer response.Body.Close()
	addresses, err := platform.ReadAddresses(response.Body)
	if err != nil || len(addresses) == 0 {
		return
	}
	caller.addresses, caller.resolvedAt = addresses, time.Now()
	if caller.conn != nil && !slices.Contains(addresses, caller.gateway.address) {
		caller.disconnect()
	}
}

// connect opens a connection to a random gateway of the list.
func (caller *caller) connect() bool {
	if len(caller.addresses) == 0 {
		return false
	}
	address := caller.addresses[caller.random.IntN(len(caller.addresses))]
	for _, gateway := range caller.soaker.gateways {
		if gateway.address == address {
			caller.gateway = gateway
		}
	}
	caller.processNumber = caller.soaker.journal.processNumber(caller.gateway.name)
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return false
	}
	caller.conn, caller.reader = conn, bufio.NewReader(conn)
	return true
}

// exchange is a request whose answer is due.
type exchange struct {
	request     request
	httpRequest *http.Request
}

// send sends one request, or several without waiting for answers, and reads the
// answers in order.
func (caller *caller) send(ctx context.Context) {
	count, deadline := 1+caller.pipelined(), caller.deadline()
	caller.limit = time.Now().Add(time.Duration(count)*maxSendTime + deadline + waitMargin)
	_ = caller.conn.SetDeadline(caller.limit)
	for range count {
		if ctx.Err() != nil || !caller.write(caller.nextRequest(deadline)) {
			break
		}
	}
	for len(caller.due) > 0 {
		caller.readAnswer()
	}
}

// write writes a request, and reports whether another one may follow.
func (caller *caller) write(request request) bool {
	httpRequest, err := platform.NewClientRequest(request.id, request.method, hostName, request.target, []byte(request.body), request.deadline)
	if err != nil {
		caller.soaker.journal.addViolation("soak", err.Error())
		return false
	}
	platform.SetKey(httpRequest, keyOf(request))
	request.begun = time.Now()
	err = caller.newUpload().write(caller.conn, caller, httpRequest, request.body)
	if err == nil {
		request.sent = time.Now()
	}
	caller.due = append(caller.due, &exchange{request: request, httpRequest: httpRequest})
	if caller.conn == nil {
		caller.fail(err)
	}
	return err == nil
}

// errAnswered is the error of an upload that ends since its answer has begun.
var errAnswered = errors.New("answered before the request was complete")

// pause waits for duration within an upload, while it reads the answers that come. It
// returns an error if the upload can't go on.
func (caller *caller) pause(duration time.Duration) error {
	until := time.Now().Add(duration)
	for {
		_ = caller.conn.SetReadDeadline(until)
		_, err := caller.reader.Peek(1)
		if isTimeout(err) {
			return caller.conn.SetReadDeadline(caller.limit)
		}
		if err != nil {
			return err
		}
		if len(caller.due) == 0 {
			return errAnswered
		}
		if caller.readAnswer(); caller.conn == nil {
			return caller.lastFailure
		}
	}
}

// fail ends the connection. No request gets an answer any more.
func (caller *caller) fail(err error) {
	caller.lastFailure = err
	caller.disconnect()
	for _, exchange := range caller.due {
		exchange.request.failure, exchange.request.timedOut = err, isTimeout(err)
		caller.finish(exchange)
	}
	caller.due = nil
}

// finish records an exchange that has ended now.
func (caller *caller) finish(exchange *exchange) {
	exchange.request.ended = time.Now()
	caller.soaker.journal.addRequest(exchange.request)
}

// nextRequest returns a request for a random route.
func (caller *caller) nextRequest(deadline time.Duration) request {
	caller.count++
	request := request{
		id: fmt.Sprintf("%d-%d-%d", caller.soaker.seed, caller.index, caller.count), method: http.MethodGet,
		repeatable: true, gateway: caller.gateway.name, processNumber: caller.processNumber, deadline: deadline,
		account: accountNames[caller.index%len(accountNames)],
	}
	if caller.random.Float64() < rotatingKeyShare {
		request.keyVersion = caller.soaker.version() - min(caller.soaker.version()-1, caller.random.Uint64N(maxKeyAge+1))
	}
	switch draw := caller.random.Float64(); {
	case draw < manyShare:
		request.target = manyPrefix + request.id + "?page=2"
	case draw < manyShare+onceShare:
		request.target, request.method, request.repeatable = oncePrefix+request.id, http.MethodPost, false
		request.body = strings.Repeat(request.id+" ", caller.random.IntN(maxBodyWords))
	default:
		request.target = movedPrefix + request.id
	}
	if caller.slow {
		request.target = caller.newWork().addTo(request.target)
	}
	return request
}

// readAnswer reads the next answer, and closes the connection unless it can be
// reused.
func (caller *caller) readAnswer() {
	_ = caller.conn.SetReadDeadline(caller.limit)
	exchange := caller.due[0]
	response, body, err := readResponse(caller.reader, exchange.httpRequest)
	if err != nil {
		for _, behind := range caller.due[1:] {
			behind.request.brokenBehind = response != nil
		}
		caller.fail(err)
		return
	}
	request := &exchange.request
	request.status, request.answer = response.StatusCode, string(body)
	request.signer, request.signed, _ = platform.Signature(response.Header)
	caller.finish(exchange)
	caller.due = caller.due[1:]
	if request.sent.IsZero() {
		caller.fail(errAnswered)
	} else if response.Close {
		caller.fail(fmt.Errorf("an answer with status %d announced the end of the connection", response.StatusCode))
	}
}

// readResponse returns an answer and its body. If only the body is not complete, it
// returns the answer and an error.
func readResponse(reader *bufio.Reader, request *http.Request) (*http.Response, []byte, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
