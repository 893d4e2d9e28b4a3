// Package acceptor is the HTTP/1.1 front end for callers, built on net/http and
// echo; packages runner and launcher run it.
//
// net/http runs one goroutine for each connection. The package only decodes
// requests and encodes responses; package dispatcher makes the decisions.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/locator"
)

// Dispatcher forwards requests to endpoints.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *dispatcher.Request) (*dispatcher.Answer, error)
}

// Locator returns the hosts that a caller should use.
type Locator interface {
	// Locate returns false if the service does not exist.
	Locate(service string, place definer.Place, seed string) (locator.Answer, bool)
}

// Limits bounds the header sizes and the delays of callers.
type Limits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
	bodyTimeout   time.Duration
}

// NewLimits returns limits on a header's size in bytes, the time to send a header,
// the idle time between requests, and the time between parts of a body.
func NewLimits(headerBytes int, headerTimeout, idleTimeout, bodyTimeout time.Duration) Limits {
	return Limits{
		headerBytes: headerBytes, headerTimeout: headerTimeout,
		idleTimeout: idleTimeout, bodyTimeout: bodyTimeout,
	}
}

// Acceptor serves callers on one address. Make one with New.
type Acceptor struct {
	echo    *echo.Echo
	server  *http.Server
	address string
	// listener is nil unless SetListener was called.
	listener   net.Listener
	name       string
	place      definer.Place
	dispatcher Dispatcher
	locator    Locator
	limits     Limits
	// stopTimeout limits how long requests may continue after a stop.
	stopTimeout time.Duration
	// ids generates the request ids.
	ids idGenerator
	// mount adds the protocol's routes on the first Run.
	mount sync.Once
	// protocol must not change after Run is called.
	protocol Protocol
	// leaving reports whether connections close after their next response; nil
	// means never.
	leaving func() bool
	// ready is closed once callers may be served; nil means at once. Connections
	// wait for it, but no longer than readyTimeout.
	ready        <-chan struct{}
	readyTimeout time.Duration
}

// New returns an acceptor for the callers of host.
func New(host definer.Host, dispatcher Dispatcher, locator Locator, limits Limits) *Acceptor {
	acceptor := &Acceptor{
		echo: echo.New(), address: host.Address(), name: host.Name(), place: host.Place(),
		dispatcher: dispatcher, locator: locator, limits: limits, stopTimeout: time.Minute,
	}
	acceptor.ids.prefix = host.Name()
	acceptor.echo.HTTPErrorHandler = acceptor.handleError
	acceptor.echo.Pre(acceptor.resetWriteDeadline)
	acceptor.protocol = &plain{acceptor: acceptor}
	acceptor.server = &http.Server{
		Handler:           acceptor.echo,
		MaxHeaderBytes:    limits.headerBytes,
		ReadHeaderTimeout: limits.headerTimeout,
		IdleTimeout:       limits.idleTimeout,
		ErrorLog:          klog.NewStandardLogger("INFO"),
	}
	return acceptor
}

// resetWriteDeadline is a middleware that replaces the write deadline that the
// previous request left on the connection.
func (acceptor *Acceptor) resetWriteDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		acceptor.setWriteDeadline(c)
		return next(c)
	}
}

// SetStopTimeout limits how long requests in flight may continue after a stop.
func (acceptor *Acceptor) SetStopTimeout(timeout time.Duration) { acceptor.stopTimeout = timeout }

// SetProtocol replaces the default protocol.
func (acceptor *Acceptor) SetProtocol(protocol Protocol) { acceptor.protocol = protocol }

// SetLeaving sets the function that reports whether the host is leaving. While it
// is, each connection closes after its next response.
func (acceptor *Acceptor) SetLeaving(leaving func() bool) { acceptor.leaving = leaving }

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

func (acceptor *Acceptor) isLeaving() bool { return acceptor.leaving != nil && acceptor.leaving() }

// SetListener sets a listener to use instead of listening on the host's address.
func (acceptor *Acceptor) SetListener(listener net.Listener) { acceptor.listener = listener }

// Group returns the route group below prefix, for other handlers on the address.
func (acceptor *Acceptor) Group(prefix string) *echo.Group { return acceptor.echo.Group(prefix) }

// Run serves until ctx is done. Then each connection closes after its response,
// and Run returns when all are closed or the stop timeout has passed.
func (acceptor *Acceptor) Run(ctx context.Context) error {
	acceptor.mount.Do(func() { acceptor.protocol.Mount(acceptor.echo, acceptor.serve) })
	listener, err := acceptor.listen(ctx)
	if err != nil {
		return err
	}
	acceptor.awaitReady(ctx)
	stopped := make(chan error, 1)
	stopper := &stopper{acceptor: acceptor, ctx: ctx, stopped: stopped}
	go stopper.run()
	err = acceptor.server.Serve(listener)
	if ctx.Err() == nil {
		return err
	}
	return <-stopped
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

// stopper shuts the server down once its context is done.
type stopper struct {
	acceptor *Acceptor
	ctx      context.Context
	stopped  chan<- error
}

func (stopper *stopper) run() {
	<-stopper.ctx.Done()
	server := stopper.acceptor.server
	server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), stopper.acceptor.stopTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		klog.ErrorS(err, "shutdown timed out, aborting the requests in flight; raise [leaving] bound",
			"bound", stopper.acceptor.stopTimeout)
		_ = server.Close()
	}
	stopper.stopped <- nil
}
