package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// plug holds the connections of one process, so that a test can end them as a
// crash of the process or of its host does.
type plug struct {
	// mu guards the fields below.
	mu sync.Mutex
	// pulled is true once the process is cut off for good.
	pulled      bool
	connections map[net.Conn]bool
	listeners   []net.Listener
}

// listen returns listener with its connections held.
func (plug *plug) listen(listener net.Listener) net.Listener {
	plug.mu.Lock()
	defer plug.mu.Unlock()
	plug.listeners = append(plug.listeners, listener)
	return &pluggedListener{Listener: listener, plug: plug, closed: make(chan struct{})}
}

// hold takes in connection, and ends it at once where the plug is pulled.
func (plug *plug) hold(connection net.Conn) net.Conn {
	plug.mu.Lock()
	defer plug.mu.Unlock()
	if plug.pulled {
		_ = connection.Close()
	}
	if plug.connections == nil {
		plug.connections = make(map[net.Conn]bool)
	}
	plug.connections[connection] = true
	return &pluggedConnection{Conn: connection, plug: plug}
}

// sever ends all connections; new ones can be made.
func (plug *plug) sever() {
	plug.mu.Lock()
	defer plug.mu.Unlock()
	for connection := range plug.connections {
		_ = connection.Close()
	}
}

// pull ends all connections, and refuses new ones from now on.
func (plug *plug) pull() {
	plug.mu.Lock()
	plug.pulled = true
	for _, listener := range plug.listeners {
		_ = listener.Close()
	}
	plug.mu.Unlock()
	plug.sever()
}

func (plug *plug) isPulled() bool {
	plug.mu.Lock()
	defer plug.mu.Unlock()
	return plug.pulled
}

// pluggedListener hands its connections to the plug. Once that is pulled,
// Accept waits for Close, so that the process doesn't notice.
type pluggedListener struct {
	net.Listener
	plug   *plug
	once   sync.Once
	closed chan struct{}
}

func (pluggedListener *pluggedListener) Accept() (net.Conn, error) {
	connection, err := pluggedListener.Listener.Accept()
	if err == nil {
		return pluggedListener.plug.hold(connection), nil
	}
	if pluggedListener.plug.isPulled() {
		<-pluggedListener.closed
	}
	return nil, err
}

func (pluggedListener *pluggedListener) Close() error {
	pluggedListener.once.Do(func() { close(pluggedListener.closed) })
	return pluggedListener.Listener.Close()
}

type pluggedConnection struct {
	net.Conn
	plug *plug
}

func (pluggedConnection *pluggedConnection) Close() error {
	pluggedConnection.plug.mu.Lock()
	delete(pluggedConnection.plug.connections, pluggedConnection.Conn)
	pluggedConnection.plug.mu.Unlock()
	return pluggedConnection.Conn.Close()
}

// boundNetwork dials TCP and listens where it is bound already.
type boundNetwork struct {
	net.Dialer
	listener net.Listener
	plug     *plug
}

var errPulled = errors.New("the host is cut off")

func (boundNetwork *boundNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if boundNetwork.plug.isPulled() {
		return nil, errPulled
	}
	connection, err := boundNetwork.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return boundNetwork.plug.hold(connection), nil
}

func (boundNetwork *boundNetwork) Listen(context.Context, string) (net.Listener, error) {
	return boundNetwork.listener, nil
}

// storeGate is one host's way to the store, which can be cut.
type storeGate struct {
	next http.Handler
	// mu guards cut, which is open while the way is.
	mu  sync.Mutex
	cut chan struct{}
}

// ServeHTTP passes a call on; one that the cut meets breaks.
func (storeGate *storeGate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	cut := storeGate.way()
	if isClosed(cut) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	watch := &gateWatch{cut: cut, done: done, cancel: cancel}
	go watch.run()
	storeGate.next.ServeHTTP(writer, request.WithContext(ctx))
	if isClosed(cut) {
		panic(http.ErrAbortHandler)
	}
}

// close cuts the way, and open heals it.
func (storeGate *storeGate) close() { close(storeGate.way()) }

func (storeGate *storeGate) open() {
	storeGate.mu.Lock()
	defer storeGate.mu.Unlock()
	storeGate.cut = nil
}

func (storeGate *storeGate) way() chan struct{} {
	storeGate.mu.Lock()
	defer storeGate.mu.Unlock()
	if storeGate.cut == nil {
		storeGate.cut = make(chan struct{})
	}
	return storeGate.cut
}

// gateWatch ends a call of the store when its way is cut.
type gateWatch struct {
	cut, done <-chan struct{}
	cancel    context.CancelFunc
}

func (gateWatch *gateWatch) run() {
	select {
	case <-gateWatch.cut:
		gateWatch.cancel()
	case <-gateWatch.done:
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
