package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/chivespool/chivespool/internal/emulator"
)

// The headers by which the sessions steer the stand-ins.
const (
	headerWorkID = "Work-Id"
	headerKind   = "Work-Kind"
	headerBytes  = "Answer-Bytes"
	headerHold   = "Test-Hold"
	kindCrash    = "crash"
)

// backendServer serves one endpoint. A request that crashes it takes all its
// connections down, and it is up again at once.
type backendServer struct {
	*emulator.Backend
	handler http.Handler
	plug    plug
	holds   *holds
	// arrived counts the requests that came; crashes those that crashed it.
	arrived atomic.Int64
	crashes atomic.Int64
}

// ServeHTTP runs a request, after it was let go where a test holds it.
func (backendServer *backendServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	backendServer.arrived.Add(1)
	if name := request.Header.Get(headerHold); name != "" {
		backendServer.holds.hold(name)
	}
	if request.Header.Get(headerKind) == kindCrash {
		defer backendServer.crash()
	}
	backendServer.handler.ServeHTTP(writer, request)
}

// crash takes the connections down where the handler broke off: a request that
// was refused before it ran crashes nothing.
func (backendServer *backendServer) crash() {
	if cause := recover(); cause != nil {
		backendServer.crashes.Add(1)
		backendServer.plug.sever()
		panic(cause)
	}
}

// holds stops requests at the endpoints until a test lets them go.
type holds struct {
	// mu guards named.
	mu    sync.Mutex
	named map[string]*hold
}

// hold is one stop; arrived and released close once.
type hold struct {
	arrived, released chan struct{}
	once              sync.Once
}

func (holds *holds) get(name string) *hold {
	holds.mu.Lock()
	defer holds.mu.Unlock()
	if holds.named == nil {
		holds.named = make(map[string]*hold)
	}
	if holds.named[name] == nil {
		holds.named[name] = &hold{arrived: make(chan struct{}), released: make(chan struct{})}
	}
	return holds.named[name]
}

// hold stops the first request that names the hold; later ones go on.
func (holds *holds) hold(name string) {
	hold := holds.get(name)
	first := false
	hold.once.Do(func() { first = true })
	if first {
		close(hold.arrived)
		<-hold.released
	}
}

// httpServer is a supervisor.Task that serves a listener until its stop.
type httpServer struct {
	listener net.Listener
	server   http.Server
}

// Run serves until ctx is done, then ends all connections.
func (httpServer *httpServer) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go httpServer.loop(done)
	<-ctx.Done()
	_ = httpServer.server.Close()
	<-done
	return nil
}

func (httpServer *httpServer) loop(done chan<- error) {
	done <- httpServer.server.Serve(httpServer.listener)
}

// runs returns how often the request with id was started at all endpoints.
func (world *world) runs(id string) int {
	total := 0
	for _, backend := range world.backends {
		total += backend.Runs(id).Started
	}
	return total
}
