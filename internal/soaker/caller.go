package soaker

import (
	"bufio"
	"context"
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

// send sends one request, or several without waiting for answers, and then reads
// the answers in order.
func (caller *caller) send(ctx context.Context) {
	requests := make([]request, 1+caller.pipelined())
	httpRequests := make([]*http.Request, len(requests))
	deadline := caller.deadline()
	_ = caller.conn.SetDeadline(time.Now().Add(time.Duration(len(requests))*maxSendTime + deadline + waitMargin))
	count := 0
	for written := true; written && count < len(requests); count++ {
		requests[count] = caller.nextRequest(deadline)
		httpRequests[count], written = caller.write(ctx, &requests[count])
	}
	for index, request := range requests[:count] {
		if caller.conn != nil && !request.sent.IsZero() {
			caller.readResponse(httpRequests[index], &request)
		} else if caller.disconnect(); !request.sent.IsZero() {
			request.failure = fmt.Errorf("behind another request: %w", caller.lastFailure)
			request.timedOut = isTimeout(caller.lastFailure)
		}
		request.ended = time.Now()
		caller.soaker.journal.addRequest(request)
	}
}

// write writes a request, and reports whether all of it was written.
func (caller *caller) write(ctx context.Context, request *request) (*http.Request, bool) {
	httpRequest, err := platform.NewClientRequest(request.id, request.method, hostName, request.target, []byte(request.body), request.deadline)
	if err != nil {
		caller.soaker.journal.addViolation("soak", err.Error())
		return nil, false
	}
	request.begun = time.Now()
	if caller.newUpload().write(ctx, caller.conn, httpRequest, request.body) != nil {
		return nil, false
	}
	request.sent = time.Now()
	return httpRequest, true
}

// nextRequest returns a request for a random route.
func (caller *caller) nextRequest(deadline time.Duration) request {
	caller.count++
	request := request{
		id: fmt.Sprintf("%d-%d-%d", caller.soaker.seed, caller.index, caller.count), method: http.MethodGet,
		repeatable: true, gateway: caller.gateway.name, processNumber: caller.processNumber, deadline: deadline,
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

// readResponse reads the answer, and closes the connection unless it can be
// reused.
func (caller *caller) readResponse(httpRequest *http.Request, request *request) {
	response, err := http.ReadResponse(caller.reader, httpRequest)
	if err != nil {
		caller.lastFailure, request.failure, request.timedOut = err, err, isTimeout(err)
		caller.disconnect()
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		caller.lastFailure, request.failure, request.timedOut = err, err, isTimeout(err)
		caller.disconnect()
		return
	}
	request.status, request.answer = response.StatusCode, string(body)
	request.signer, request.signed, _ = platform.Signature(response.Header)
	if response.Close {
		caller.lastFailure = fmt.Errorf("an answer with status %d announced the end of the connection", response.StatusCode)
		caller.disconnect()
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
