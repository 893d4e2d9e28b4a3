// Package emulator emulates the systems around chivespool: the platform's store
// and host list, and backend servers (docs/STAND-INS.md). Package platform, the
// commands chivesbench and chivessoak, and tests use it.
//
// Faults, delays and wrong states are injected at run time. The package imports
// no code of chivespool, so that a mistake in one cannot hide the same mistake in
// the other. It listens on TCP addresses, starts a goroutine for each server, and
// reads the system clock.
package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// stopTimeout limits how long a graceful stop waits for requests in flight.
const stopTimeout = 5 * time.Second

// Listener serves a stand-in on one address. It is a supervisor.Task.
type Listener struct {
	listener net.Listener
	server   http.Server
}

// Listen binds address. Run then serves handler there.
func Listen(address string, handler http.Handler) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s, choose a free address: %w", address, err)
	}
	return &Listener{listener: listener, server: http.Server{Handler: handler}}, nil
}

// Address returns the bound address, as IP:port.
func (listener *Listener) Address() string { return listener.listener.Addr().String() }

// Run serves until ctx is done, then waits for requests in flight to end.
func (listener *Listener) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go listener.run(failed)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := listener.server.Shutdown(stopCtx)
	if err != nil {
		err = errors.Join(err, listener.server.Close())
	}
	<-failed
	return err
}

func (listener *Listener) run(failed chan<- error) {
	failed <- listener.server.Serve(listener.listener)
}

// refusal is the response body of a call that was not served.
type refusal struct {
	// Applied reports whether the call had an effect.
	Applied bool   `json:"applied"`
	Reason  string `json:"reason"`
}

// refuse sends a refusal of a call that had no effect.
func refuse(c echo.Context, status int, reason string) error {
	return c.JSON(status, refusal{Reason: reason})
}

// Pause waits for duration, or returns the error of ctx once that is done.
func Pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pause is Pause for callers that do not need the error.
func pause(ctx context.Context, duration time.Duration) { _ = Pause(ctx, duration) }
