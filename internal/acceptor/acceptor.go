// Package acceptor is the HTTP/1.1 front end for callers, with echo for its routes;
// packages runner and launcher run it.
//
// A connection has one task that reads its requests, and each request has a task.
// net/http parses requests; its server is not used, since it reads a request only
// after the response to the one before. The package only decodes requests and encodes
// responses; package dispatcher makes the decisions.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/limiter"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/timekeeper"
)

// Dispatcher forwards requests to endpoints.
type Dispatcher interface {
	// Repeatable reports whether request may run more than once.
	Repeatable(request *dispatcher.Request) bool
	// Check refuses a request, whose body need not have arrived, if it is known that it
	// will not be sent.
	Check(request *dispatcher.Request) error
	Dispatch(ctx context.Context, request *dispatcher.Request) (*dispatcher.Answer, error)
}

// Locator returns the hosts that a caller should use.
type Locator interface {
	// Locate returns false if the service does not exist.
	Locate(service string, place definer.Place, seed string) (locator.Answer, bool)
}

// Acceptor serves callers on one address. Make one with New.
type Acceptor struct {
	echo    *echo.Echo
	address string
	// listener is nil unless SetListener was called.
	listener   net.Listener
	name       string
	place      definer.Place
	dispatcher Dispatcher
	locator    Locator
	// limits are those of New; limiter provides the limits in force.
	limits  Limits
	limiter Limiter
	// clock tells when requests arrive.
	clock Clock
	// stopTimeout limits how long requests may continue after a stop, unless stopper is
	// set and tells it.
	stopTimeout time.Duration
	stopper     Stopper
	// ids generates the request ids.
	ids idGenerator
	// mount adds the protocol's routes on the first Run.
	mount sync.Once
	// protocol must not change after Run is called.
	protocol Protocol
	// ready is closed once callers may be served; nil means at once. Connections
	// wait for it, but no longer than readyTimeout.
	ready        <-chan struct{}
	readyTimeout time.Duration
	// mu guards connections and stopping.
	mu          sync.Mutex
	connections map[*connection]bool
	// stopping is true once the connections have been told to stop.
	stopping bool
	// bodies counts the bytes of buffered bodies.
	bodies limiter.Bytes
	// tasks tracks the tasks of connections, and workers runs those of requests.
	tasks   sync.WaitGroup
	workers *workers
}

// New returns an acceptor for the callers of host.
func New(host definer.Host, dispatcher Dispatcher, locator Locator, limits Limits) *Acceptor {
	acceptor := &Acceptor{
		echo: echo.New(), address: host.Address(), name: host.Name(), place: host.Place(),
		dispatcher: dispatcher, locator: locator, limits: limits, stopTimeout: time.Minute,
	}
	acceptor.ids.prefix = host.Name()
	acceptor.limiter = limits
	acceptor.clock = timekeeper.System{}
	acceptor.echo.HTTPErrorHandler = acceptor.handleError
	acceptor.protocol = &plain{acceptor: acceptor}
	return acceptor
}

// Clock tells when requests arrive.
type Clock interface {
	Now() time.Time
}

// SetClock replaces the default clock. It must be that of the dispatcher.
func (acceptor *Acceptor) SetClock(clock Clock) { acceptor.clock = clock }

// SetLimiter replaces the limits of New, except that on the time between parts of a
// body.
func (acceptor *Acceptor) SetLimiter(limiter Limiter) { acceptor.limiter = limiter }

// SetStopTimeout limits how long requests in flight may continue after a stop.
func (acceptor *Acceptor) SetStopTimeout(timeout time.Duration) { acceptor.stopTimeout = timeout }

// SetProtocol replaces the default protocol.
func (acceptor *Acceptor) SetProtocol(protocol Protocol) { acceptor.protocol = protocol }

// Stopper describes a planned stop of the host, which begins before Run is stopped.
type Stopper interface {
	// Stopping reports whether the stop has begun. From then on each connection closes
	// after its next response.
	Stopping() bool
	// End returns when the requests that are left are given up, by the acceptor's clock;
	// false before the beginning.
	End() (time.Time, bool)
}

// SetStopper sets the stopper of the host.
func (acceptor *Acceptor) SetStopper(stopper Stopper) { acceptor.stopper = stopper }

// SetReady makes connections wait until ready is closed, but no longer than
// timeout, since a host that has just started is usually ready within moments.
func (acceptor *Acceptor) SetReady(ready <-chan struct{}, timeout time.Duration) {
	acceptor.ready, acceptor.readyTimeout = ready, timeout
}

// awaitReady waits until callers may be served, the timeout passes or ctx is done.
func (acceptor *Acceptor) awaitReady(ctx context.Context) {
	if acceptor.ready == nil {
		return
	}
	timer := time.NewTimer(acceptor.readyTimeout)
	defer timer.Stop()
	select {
	case <-acceptor.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (acceptor *Acceptor) isStopping() bool {
	return acceptor.stopper != nil && acceptor.stopper.Stopping()
}

// stopLeft returns how long requests may still continue after a stop.
func (acceptor *Acceptor) stopLeft() time.Duration {
	if acceptor.stopper != nil {
		if end, ok := acceptor.stopper.End(); ok {
			return end.Sub(acceptor.clock.Now())
		}
	}
	return acceptor.stopTimeout
}

// SetListener sets a listener to use instead of listening on the host's address.
func (acceptor *Acceptor) SetListener(listener net.Listener) { acceptor.listener = listener }

// Group returns the route group below prefix, for other handlers on the address.
func (acceptor *Acceptor) Group(prefix string) *echo.Group { return acceptor.echo.Group(prefix) }

// Run serves until ctx is done. Then each connection closes after the requests that
// have arrived, and Run returns when all are closed or the stop timeout has passed.
func (acceptor *Acceptor) Run(ctx context.Context) error {
	acceptor.mount.Do(func() { acceptor.protocol.Mount(acceptor.echo, acceptor.serve) })
	listener, err := acceptor.listen(ctx)
	if err != nil {
		return err
	}
	acceptor.awaitReady(ctx)
	acceptor.mu.Lock()
	acceptor.connections, acceptor.stopping = make(map[*connection]bool), false
	acceptor.mu.Unlock()
	acceptor.workers = newWorkers()
	stop := context.AfterFunc(ctx, func() { acceptor.stopAccepting(listener) })
	err = acceptor.acceptAll(ctx, listener)
	stop()
	_ = listener.Close()
	klog.InfoS("accepts no more connections", "address", acceptor.address, "open", len(acceptor.openConnections()))
	acceptor.awaitConnections()
	klog.InfoS("all connections have ended", "address", acceptor.address)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (acceptor *Acceptor) listen(ctx context.Context) (net.Listener, error) {
	if acceptor.listener != nil {
		return acceptor.listener, nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", acceptor.address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers; free the address or change [host] address: %w", err)
	}
	return listener, nil
}

// Times of accepting connections.
const (
	// lastAcceptTime is how long connections are still accepted after a stop. Closing
	// the listener resets those that callers have opened and the host has not accepted.
	lastAcceptTime = 20 * time.Millisecond
	// acceptBackoff is the wait after a connection could not be accepted, for example
	// for lack of descriptors.
	acceptBackoff = 20 * time.Millisecond
)

// stopAccepting makes listener accept connections for only a short time, and tells
// the connections to stop.
func (acceptor *Acceptor) stopAccepting(listener net.Listener) {
	acceptor.limitAccepting(listener)
	acceptor.stopConnections()
}

// limitAccepting makes listener accept connections for lastAcceptTime.
func (acceptor *Acceptor) limitAccepting(listener net.Listener) {
	limited, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(lastAcceptTime)) != nil {
		_ = listener.Close()
	}
}

// acceptAll accepts connections until listener is closed or its deadline passes.
func (acceptor *Acceptor) acceptAll(ctx context.Context, listener net.Listener) error {
	for emptied := false; ; {
		conn, err := listener.Accept()
		if err == nil {
			acceptor.add(newConnection(acceptor, conn))
			continue
		}
		if isTimeout(err) && !emptied {
			// On a busy processor the deadline may pass before waiting connections are
			// accepted.
			emptied = true
			acceptor.limitAccepting(listener)
			continue
		}
		if isTimeout(err) || errors.Is(err, net.ErrClosed) {
			return err
		}
		klog.ErrorS(err, "cannot accept a connection; trying again", "address", acceptor.address, "after", acceptBackoff)
		select {
		case <-time.After(acceptBackoff):
		case <-ctx.Done():
		}
	}
}

// add starts the task of a connection.
func (acceptor *Acceptor) add(connection *connection) {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	acceptor.connections[connection] = true
	if acceptor.stopping {
		connection.stop()
	}
	acceptor.tasks.Add(1)
	go connection.run()
}

// remove removes a connection that has ended.
func (acceptor *Acceptor) remove(connection *connection) {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	delete(acceptor.connections, connection)
	acceptor.tasks.Done()
}

// stopConnections tells all connections to stop.
func (acceptor *Acceptor) stopConnections() {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	acceptor.stopping = true
	for connection := range acceptor.connections {
		connection.stop()
	}
}

// awaitConnections stops all connections and waits until they have ended. It gives up
// the requests that are left once their time is over.
func (acceptor *Acceptor) awaitConnections() {
	acceptor.stopConnections()
	timer := time.AfterFunc(acceptor.stopLeft(), acceptor.giveUp)
	defer timer.Stop()
	acceptor.tasks.Wait()
	_ = acceptor.workers.Close()
}

// lastAnswerTime is how long connections whose requests have been given up stay open, to
// answer their callers.
const lastAnswerTime = 100 * time.Millisecond

// errStopTimeout is why requests are given up and connections ended at the end of a
// stop.
var errStopTimeout = errors.New("the time of the stop is over")

// giveUp gives up all requests, and ends the connections once their callers have had
// time to be told.
func (acceptor *Acceptor) giveUp() {
	open := acceptor.openConnections()
	if len(open) == 0 {
		return
	}
	klog.ErrorS(nil, "shutdown timed out, aborting the requests in flight; raise [leaving] bound",
		"address", acceptor.address, "connections", len(open))
	for _, connection := range open {
		connection.giveUp()
	}
	time.Sleep(lastAnswerTime)
	for _, connection := range acceptor.openConnections() {
		connection.cancelCause(errStopTimeout)
	}
}

// openConnections returns the connections that have not ended.
func (acceptor *Acceptor) openConnections() []*connection {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return slices.Collect(maps.Keys(acceptor.connections))
}
