package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// BackendTask serves a backend on one address, over its crashes; it is a
// supervisor.Task.
type BackendTask struct {
	backend *Backend
	address string
}

// NewBackendTask returns the task that serves backend on address (IP:port).
func NewBackendTask(backend *Backend, address string) *BackendTask {
	return &BackendTask{backend: backend, address: address}
}

// Run serves until ctx is done, then stops gracefully. After a crash it comes
// up again on the same address.
func (backendTask *BackendTask) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := backendTask.live(ctx); err != nil {
			return err
		}
		backendTask.backend.stayDown(ctx)
	}
	return nil
}

// live serves from one start to the next crash, or to the end of ctx.
func (backendTask *BackendTask) live(ctx context.Context) error {
	listener, err := net.Listen("tcp", backendTask.address)
	if err != nil {
		return fmt.Errorf("listen on %s, choose a free address: %w", backendTask.address, err)
	}
	backend := backendTask.backend
	life := &life{server: http.Server{Handler: backend.Handler()}, crashed: make(chan struct{})}
	backend.begin(life.crash)
	failed := make(chan error, 1)
	go life.run(costlyListener{Listener: listener, backend: backend}, failed)
	select {
	case err = <-failed:
		return err
	case <-life.crashed:
		err = life.server.Close()
	case <-ctx.Done():
		err = backendTask.stop(ctx, life)
	}
	<-failed
	return err
}

// stop refuses new requests and closes once those in flight have ended.
func (backendTask *BackendTask) stop(ctx context.Context, life *life) error {
	backendTask.backend.Drain()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := life.server.Shutdown(stopping); err != nil {
		return errors.Join(err, life.server.Close())
	}
	return nil
}

// life is an endpoint from one start to its crash or stop.
type life struct {
	server  http.Server
	once    sync.Once
	crashed chan struct{}
}

func (life *life) run(listener net.Listener, failed chan<- error) {
	failed <- life.server.Serve(listener)
}

func (life *life) crash() { life.once.Do(func() { close(life.crashed) }) }

// begin starts a life of the endpoint, which crash ends.
func (backend *Backend) begin(crash func()) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.started = time.Now()
	backend.served = 0
	backend.crashed = false
	backend.crash = crash
	if backend.settings.Stopped {
		crash()
	}
}

// Crash breaks all connections and takes the endpoint down for a while.
func (backend *Backend) Crash() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.crashed = true
	if backend.crash != nil {
		backend.crash()
	}
}

// stayDown waits until a crash is over and the endpoint isn't stopped.
func (backend *Backend) stayDown(ctx context.Context) {
	backend.mu.Lock()
	crashed, down := backend.crashed, milliseconds(backend.settings.CrashMs)
	backend.crash = nil
	backend.mu.Unlock()
	if crashed {
		pause(ctx, down)
	}
	for ctx.Err() == nil {
		backend.mu.Lock()
		stopped, changed := backend.settings.Stopped, backend.changed
		backend.mu.Unlock()
		if !stopped {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// costlyListener makes each new connection cost the backend's connection time.
type costlyListener struct {
	net.Listener
	backend *Backend
}

// Accept waits for the next connection.
func (costlyListener costlyListener) Accept() (net.Conn, error) {
	connection, err := costlyListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cost := milliseconds(costlyListener.backend.Settings().ConnectionMs)
	return &costlyConnection{Conn: connection, cost: cost}, nil
}

// costlyConnection delays its first read by what a new connection costs.
type costlyConnection struct {
	net.Conn
	once sync.Once
	cost time.Duration
}

// Read reads from the connection.
func (costlyConnection *costlyConnection) Read(data []byte) (int, error) {
	costlyConnection.once.Do(costlyConnection.pay)
	return costlyConnection.Conn.Read(data)
}

func (costlyConnection *costlyConnection) pay() { pause(context.Background(), costlyConnection.cost) }
