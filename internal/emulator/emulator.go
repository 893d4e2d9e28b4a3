// Package emulator holds small stand-ins for what surrounds chivespool: the
// platform's store and host list, and backend servers. Each can be made to
// fail, lag or mislead over HTTP while it runs. docs/STAND-INS.md describes what
// they speak.
//
// The stand-ins share no code with the product, so that a mistake in one is
// not hidden by the same mistake in the other.
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

// stopTimeout bounds how long a graceful stop waits for requests in flight.
const stopTimeout = 5 * time.Second

// Listener serves a stand-in on one address; it is a supervisor.Task.
type Listener struct {
	listener net.Listener
	server   http.Server
}

// Listen binds address and serves handler there once Run is called.
func Listen(address string, handler http.Handler) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s, choose a free address: %w", address, err)
	}
	return &Listener{listener: listener, server: http.Server{Handler: handler}}, nil
}

// Address returns the address bound, as IP:port.
func (listener *Listener) Address() string { return listener.listener.Addr().String() }

// Run serves until ctx is done, then lets requests in flight end.
func (listener *Listener) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go listener.run(failed)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := listener.server.Shutdown(stopping)
	if err != nil {
		err = errors.Join(err, listener.server.Close())
	}
	<-failed
	return err
}

func (listener *Listener) run(failed chan<- error) {
	failed <- listener.server.Serve(listener.listener)
}

// refusal is the body of an answer to a call that was not served.
type refusal struct {
	// Applied says whether the call had an effect.
	Applied bool   `json:"applied"`
	Reason  string `json:"reason"`
}

// refuse answers that the call had no effect.
func refuse(c echo.Context, status int, reason string) error {
	return c.JSON(status, refusal{Reason: reason})
}

// Pause waits for duration, or fails with the end of ctx.
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

// pause is Pause for those who look at ctx themselves.
func pause(ctx context.Context, duration time.Duration) { _ = Pause(ctx, duration) }
