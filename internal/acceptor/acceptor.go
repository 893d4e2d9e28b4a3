// Package acceptor is the front end for callers: HTTP/1.1 by net/http with
// echo. Each connection has one task, which net/http starts. The package
// encodes and decodes only; package dispatcher decides.
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

// Dispatcher carries requests to endpoints.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *dispatcher.Request) (*dispatcher.Answer, error)
}

// Locator tells callers where to go.
type Locator interface {
	// Locate returns false where there is no such service.
	Locate(service string, place definer.Place, seed string) (locator.Answer, bool)
}

// Limits bound what a caller may do.
type Limits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
	bodyTimeout   time.Duration
}

// NewLimits returns limits on a header's size in bytes, the time to send one,
// the rest between requests, and a pause within a body.
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
	// listener is set where the address is bound already; else nil.
	listener   net.Listener
	name       string
	place      definer.Place
	dispatcher Dispatcher
	locator    Locator
	limits     Limits
	// leaveBound bounds how long requests may go on after a stop.
	leaveBound time.Duration
	// ids makes request ids.
	ids idMaker
	// mount adds the protocol's paths at the first Run.
	mount sync.Once
	// protocol is fixed once Run is called.
	protocol Protocol
	// leaving reports whether connections are to end after their answer; nil
	// for never.
	leaving func() bool
	// opened is closed once callers may be served; nil for at once. Until then
	// their connections wait, for opening at most.
	opened  <-chan struct{}
	opening time.Duration
}

// New returns an acceptor for the callers of host.
func New(host definer.Host, dispatcher Dispatcher, locator Locator, limits Limits) *Acceptor {
	acceptor := &Acceptor{
		echo: echo.New(), address: host.Address(), name: host.Name(), place: host.Place(),
		dispatcher: dispatcher, locator: locator, limits: limits, leaveBound: time.Minute,
	}
	acceptor.ids.prefix = host.Name()
	acceptor.echo.HTTPErrorHandler = acceptor.handleError
	acceptor.echo.Pre(acceptor.bound)
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

// bound is a middleware that takes the write bound of the request before off
// the connection.
func (acceptor *Acceptor) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		acceptor.boundWrites(c)
		return next(c)
	}
}

// SetLeaveBound bounds how long requests in flight may go on after a stop.
func (acceptor *Acceptor) SetLeaveBound(bound time.Duration) { acceptor.leaveBound = bound }

// SetProtocol replaces the product's own protocol.
func (acceptor *Acceptor) SetProtocol(protocol Protocol) { acceptor.protocol = protocol }

// SetLeaving sets what tells that the host leaves: each connection then ends
// after the answer that is next on it.
func (acceptor *Acceptor) SetLeaving(leaving func() bool) { acceptor.leaving = leaving }

// SetOpening lets connections wait until opened is closed, but no longer than
// opening: a host that has just started knows what to do with them in a moment.
func (acceptor *Acceptor) SetOpening(opened <-chan struct{}, opening time.Duration) {
	acceptor.opened, acceptor.opening = opened, opening
}

// open waits until callers may be served.
func (acceptor *Acceptor) open(ctx context.Context) {
	if acceptor.opened == nil {
		return
	}
	timer := time.NewTimer(acceptor.opening)
	defer timer.Stop()
	select {
	case <-acceptor.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (acceptor *Acceptor) isLeaving() bool { return acceptor.leaving != nil && acceptor.leaving() }

// SetListener gives the acceptor an address that is bound already.
func (acceptor *Acceptor) SetListener(listener net.Listener) { acceptor.listener = listener }

// Group returns the routes below prefix, for other handlers on the address.
func (acceptor *Acceptor) Group(prefix string) *echo.Group { return acceptor.echo.Group(prefix) }

// Run serves until ctx is done. Then each connection is told to close after
// its answer, and Run returns when all have ended or the leave bound is over.
func (acceptor *Acceptor) Run(ctx context.Context) error {
	acceptor.mount.Do(func() { acceptor.protocol.Mount(acceptor.echo, acceptor.serve) })
	listener, err := acceptor.listen(ctx)
	if err != nil {
		return err
	}
	acceptor.open(ctx)
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

// stopper ends the server once its context is done.
type stopper struct {
	acceptor *Acceptor
	ctx      context.Context
	stopped  chan<- error
}

func (stopper *stopper) run() {
	<-stopper.ctx.Done()
	server := stopper.acceptor.server
	server.SetKeepAlivesEnabled(false)
	bound, cancel := context.WithTimeout(context.Background(), stopper.acceptor.leaveBound)
	defer cancel()
	err := server.Shutdown(bound)
	if errors.Is(err, context.DeadlineExceeded) {
		klog.ErrorS(err, "requests still ran at the end of the leave bound and are cut off; raise [leaving] bound",
			"bound", stopper.acceptor.leaveBound)
		_ = server.Close()
	}
	stopper.stopped <- nil
}
