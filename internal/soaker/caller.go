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
	// thinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 60 * time.Millisecond
	// patience is how long beyond a request's deadline a caller waits.
	waitMargin = 4 * time.Second
	// askTime bounds a question for addresses, and connectTime a connection.
	resolveTimeout = time.Second
	connectTimeout = time.Second
	// listTime is how long a caller keeps a list of addresses: three times what
	// it is told.
	addressLifetime = 3 * time.Second
	// manyShare and onceShare are the parts of the requests that may repeat and
	// that may not; the rest goes to the route that moves.
	manyShare, onceShare = 0.5, 0.3
	// longestBody is the most words of a body.
	maxBodyWords = 100
)

// caller is a client that asks where to connect, and uses a connection as long
// as it is open and its address is listed.
type caller struct {
	index     int
	soaker    *Soaker
	random    *rand.Rand
	count     int
	addresses []string
	// asked is when listed was got.
	resolvedAt    time.Time
	gateway       *gateway
	processNumber int
	conn          net.Conn
	reader        *bufio.Reader
}

func newCaller(index int, soaker *Soaker) *caller {
	return &caller{index: index, soaker: soaker, random: rand.New(rand.NewPCG(soaker.seed, uint64(index)+1))}
}

func (caller *caller) run(ctx context.Context) {
	defer caller.disconnect()
	for emulator.Pause(ctx, time.Duration(caller.random.ExpFloat64()*float64(meanThinkTime))) == nil {
		if time.Since(caller.resolvedAt) > addressLifetime {
			caller.resolve(ctx)
		}
		if caller.conn != nil || caller.connect() {
			caller.send()
		}
	}
}

func (caller *caller) disconnect() {
	if caller.conn != nil {
		_ = caller.conn.Close()
	}
	caller.conn = nil
}

// look asks a gateway where to connect.
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
		return // The next gateway asked may answer.
	}
	defer response.Body.Close()
	addresses, err := platform.ReadAddresses(response.Body)
	if err != nil || len(addresses) == 0 {
		return
	}
	caller.addresses, caller.resolvedAt = addresses, time.Now()
	if caller.conn != nil && !slices.Contains(addresses, caller.gateway.front) {
		caller.disconnect()
	}
}

// connect opens a connection to a listed gateway.
func (caller *caller) connect() bool {
	if len(caller.addresses) == 0 {
		return false
	}
	address := caller.addresses[caller.random.IntN(len(caller.addresses))]
	for _, gateway := range caller.soaker.gateways {
		if gateway.front == address {
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

// ask sends one request and reads its answer.
func (caller *caller) send() {
	caller.count++
	request := caller.nextRequest()
	httpRequest, err := platform.NewClientRequest(request.id, request.method, hostName, request.target, []byte(request.body), requestTimeout)
	if err != nil {
		caller.soaker.journal.addViolation("soak", err.Error())
		return
	}
	_ = caller.conn.SetDeadline(time.Now().Add(requestTimeout + waitMargin))
	if err := httpRequest.Write(caller.conn); err == nil {
		request.sent = time.Now()
		caller.readResponse(httpRequest, &request)
	} else {
		caller.disconnect()
	}
	request.ended = time.Now()
	caller.soaker.journal.addRequest(request)
}

// next makes a request of one of the routes.
func (caller *caller) nextRequest() request {
	request := request{
		id: fmt.Sprintf("%d-%d-%d", caller.soaker.seed, caller.index, caller.count), method: http.MethodGet,
		repeatable: true, gateway: caller.gateway.name, processNumber: caller.processNumber,
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
	return request
}

// read reads the answer and keeps the connection where it may be used again.
func (caller *caller) readResponse(httpRequest *http.Request, request *request) {
	response, err := http.ReadResponse(caller.reader, httpRequest)
	if err != nil {
		request.timedOut = isTimeout(err)
		caller.disconnect()
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		request.timedOut = isTimeout(err)
		caller.disconnect()
		return
	}
	request.status, request.answer = response.StatusCode, string(body)
	request.signer, request.signed, _ = platform.Signature(response.Header)
	if response.Close {
		caller.disconnect()
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
