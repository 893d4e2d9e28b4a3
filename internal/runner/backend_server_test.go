package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/chivespool/chivespool/internal/emulator"
)

// The headers by which tests control the stand-ins.
const (
	headerWorkID  = "Work-Id"
	headerKind    = "Work-Kind"
	headerBytes   = "Answer-Bytes"
	headerBarrier = "Test-Hold"
	kindCrash     = "crash"
)

// backendServer serves one endpoint. A request that crashes it closes all its
// connections; it accepts new ones at once.
type backendServer struct {
	*emulator.Backend
	handler           http.Handler
	connectionTracker connectionTracker
	barriers          *barriers
	// arrived counts the requests received; crashes those that crashed it.
	arrived atomic.Int64
	crashes atomic.Int64
}

// ServeHTTP serves a request, after its barrier is released if it has one.
func (backendServer *backendServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	backendServer.arrived.Add(1)
	if name := request.Header.Get(headerBarrier); name != "" {
		backendServer.barriers.block(name)
	}
	if request.Header.Get(headerKind) == kindCrash {
		defer backendServer.crash()
	}
	backendServer.handler.ServeHTTP(writer, request)
}

// crash closes all connections if the handler panicked: a request that was
// refused before it ran does not crash the endpoint.
func (backendServer *backendServer) crash() {
	if cause := recover(); cause != nil {
		backendServer.crashes.Add(1)
		backendServer.connectionTracker.closeConnections()
		panic(cause)
	}
}

// barriers block requests at the endpoints until a test releases them.
type barriers struct {
	// mu guards named.
	mu    sync.Mutex
	named map[string]*barrier
}

// barrier blocks one request. arrived is closed when the request arrives, and
// released by the test.
type barrier struct {
	arrived, released chan struct{}
	once              sync.Once
}

func (barriers *barriers) get(name string) *barrier {
	barriers.mu.Lock()
	defer barriers.mu.Unlock()
	if barriers.named == nil {
		barriers.named = make(map[string]*barrier)
	}
	if barriers.named[name] == nil {
		barriers.named[name] = &barrier{arrived: make(chan struct{}), released: make(chan struct{})}
	}
	return barriers.named[name]
}

// block blocks the first request that names the barrier; later ones pass.
func (barriers *barriers) block(name string) {
	barrier := barriers.get(name)
	first := false
	barrier.once.Do(func() { first = true })
	if first {
		close(barrier.arrived)
		<-barrier.released
	}
}

// httpServer is a supervisor.Task that serves a listener.
type httpServer struct {
	listener net.Listener
	server   http.Server
}

// Run serves until ctx is done, then closes all connections.
func (httpServer *httpServer) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go httpServer.serve(done)
	<-ctx.Done()
	_ = httpServer.server.Close()
	<-done
	return nil
}

func (httpServer *httpServer) serve(done chan<- error) {
	done <- httpServer.server.Serve(httpServer.listener)
}

// runs returns how often all endpoints together started the request with id.
func (cluster *cluster) runs(id string) int {
	total := 0
	for _, backend := range cluster.backends {
		total += backend.Runs(id).Started
	}
	return total
}
