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

// BackendTask serves a backend on one address and restarts it after crashes. It
// is a supervisor.Task.
type BackendTask struct {
	backend *Backend
	address string
}

// NewBackendTask returns the task that serves backend on address (IP:port).
func NewBackendTask(backend *Backend, address string) *BackendTask {
	return &BackendTask{backend: backend, address: address}
}

// Run serves until ctx is done, then stops gracefully. After a crash it serves
// again on the same address.
func (backendTask *BackendTask) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := backendTask.serveUntilCrash(ctx); err != nil {
			return err
		}
		backendTask.backend.awaitRestart(ctx)
	}
	return nil
}

// serveUntilCrash serves until the next crash or until ctx is done.
func (backendTask *BackendTask) serveUntilCrash(ctx context.Context) error {
	listener, err := net.Listen("tcp", backendTask.address)
	if err != nil {
		return fmt.Errorf("listen on %s, choose a free address: %w", backendTask.address, err)
	}
	backend := backendTask.backend
	instance := &instance{server: http.Server{Handler: backend.Handler()}, crashed: make(chan struct{})}
	backend.begin(instance.crash)
	failed := make(chan error, 1)
	go instance.run(slowListener{Listener: listener, backend: backend}, failed)
	select {
	case err = <-failed:
		return err
	case <-instance.crashed:
		err = instance.server.Close()
	case <-ctx.Done():
		err = backendTask.stop(ctx, instance)
	}
	<-failed
	return err
}

// stop refuses new requests and closes the server once those in flight have ended.
func (backendTask *BackendTask) stop(ctx context.Context, instance *instance) error {
	backendTask.backend.Drain()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := instance.server.Shutdown(stopCtx); err != nil {
		return errors.Join(err, instance.server.Close())
	}
	return nil
}

// instance is the server of an endpoint from one start to its crash or stop.
type instance struct {
	server  http.Server
	once    sync.Once
	crashed chan struct{}
}

func (instance *instance) run(listener net.Listener, failed chan<- error) {
	failed <- instance.server.Serve(listener)
}

func (instance *instance) crash() { instance.once.Do(func() { close(instance.crashed) }) }

// begin records the start of an instance of the endpoint; crash stops it.
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

// Crash closes all connections and takes the endpoint down for CrashMs.
func (backend *Backend) Crash() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.crashed = true
	if backend.crash != nil {
		backend.crash()
	}
}

// awaitRestart waits until the downtime of a crash is over and the endpoint
// is not stopped.
func (backend *Backend) awaitRestart(ctx context.Context) {
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

// slowListener delays each new connection by the backend's connection time.
type slowListener struct {
	net.Listener
	backend *Backend
}

// Accept implements net.Listener.
func (slowListener slowListener) Accept() (net.Conn, error) {
	connection, err := slowListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cost := milliseconds(slowListener.backend.Settings().ConnectionMs)
	return &slowConnection{Conn: connection, cost: cost}, nil
}

// slowConnection delays its first read by the cost of a new connection.
type slowConnection struct {
	net.Conn
	once sync.Once
	cost time.Duration
}

// Read implements net.Conn.
func (slowConnection *slowConnection) Read(data []byte) (int, error) {
	slowConnection.once.Do(slowConnection.delay)
	return slowConnection.Conn.Read(data)
}

func (slowConnection *slowConnection) delay() { pause(context.Background(), slowConnection.cost) }
