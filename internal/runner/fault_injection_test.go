package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// connectionTracker tracks the connections of one process, so that a test can
// close them as a crash of the process or of its host does.
type connectionTracker struct {
	// mu guards the fields below.
	mu sync.Mutex
	// disconnected is true once the process is cut off permanently.
	disconnected bool
	connections  map[net.Conn]bool
	listeners    []net.Listener
}

// wrap returns listener with its connections tracked.
func (connectionTracker *connectionTracker) wrap(listener net.Listener) net.Listener {
	connectionTracker.mu.Lock()
	defer connectionTracker.mu.Unlock()
	connectionTracker.listeners = append(connectionTracker.listeners, listener)
	return &trackedListener{Listener: listener, connectionTracker: connectionTracker, closed: make(chan struct{})}
}

// track adds connection, and closes it at once if the process is disconnected.
func (connectionTracker *connectionTracker) track(connection net.Conn) net.Conn {
	connectionTracker.mu.Lock()
	defer connectionTracker.mu.Unlock()
	if connectionTracker.disconnected {
		_ = connection.Close()
	}
	if connectionTracker.connections == nil {
		connectionTracker.connections = make(map[net.Conn]bool)
	}
	connectionTracker.connections[connection] = true
	return &trackedConnection{Conn: connection, connectionTracker: connectionTracker}
}

// closeConnections closes all connections; new ones can be made.
func (connectionTracker *connectionTracker) closeConnections() {
	connectionTracker.mu.Lock()
	defer connectionTracker.mu.Unlock()
	for connection := range connectionTracker.connections {
		_ = connection.Close()
	}
}

// disconnect closes all connections and refuses new ones.
func (connectionTracker *connectionTracker) disconnect() {
	connectionTracker.mu.Lock()
	connectionTracker.disconnected = true
	for _, listener := range connectionTracker.listeners {
		_ = listener.Close()
	}
	connectionTracker.mu.Unlock()
	connectionTracker.closeConnections()
}

func (connectionTracker *connectionTracker) isDisconnected() bool {
	connectionTracker.mu.Lock()
	defer connectionTracker.mu.Unlock()
	return connectionTracker.disconnected
}

// trackedListener adds its connections to the tracker. After disconnect, Accept
// blocks until Close, so that the process sees no error.
type trackedListener struct {
	net.Listener
	connectionTracker *connectionTracker
	once              sync.Once
	closed            chan struct{}
}

func (trackedListener *trackedListener) Accept() (net.Conn, error) {
	connection, err := trackedListener.Listener.Accept()
	if err == nil {
		return trackedListener.connectionTracker.track(connection), nil
	}
	if trackedListener.connectionTracker.isDisconnected() {
		<-trackedListener.closed
	}
	return nil, err
}

func (trackedListener *trackedListener) Close() error {
	trackedListener.once.Do(func() { close(trackedListener.closed) })
	return trackedListener.Listener.Close()
}

type trackedConnection struct {
	net.Conn
	connectionTracker *connectionTracker
}

func (trackedConnection *trackedConnection) Close() error {
	trackedConnection.connectionTracker.mu.Lock()
	delete(trackedConnection.connectionTracker.connections, trackedConnection.Conn)
	trackedConnection.connectionTracker.mu.Unlock()
	return trackedConnection.Conn.Close()
}

// boundNetwork dials TCP and listens on a listener that is already bound.
type boundNetwork struct {
	net.Dialer
	listener          net.Listener
	connectionTracker *connectionTracker
}

var errDisconnected = errors.New("the host is disconnected")

func (boundNetwork *boundNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if boundNetwork.connectionTracker.isDisconnected() {
		return nil, errDisconnected
	}
	connection, err := boundNetwork.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return boundNetwork.connectionTracker.track(connection), nil
}

func (boundNetwork *boundNetwork) Listen(context.Context, string) (net.Listener, error) {
	return boundNetwork.listener, nil
}

// storeGate forwards one host's calls to the store while it is open.
type storeGate struct {
	next http.Handler
	// mu guards cut, a channel that is closed while the gate is; nil until needed.
	mu  sync.Mutex
	cut chan struct{}
}

// ServeHTTP forwards a call to the store. It aborts the connection if the gate is
// closed before or during the call.
func (storeGate *storeGate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	cut := storeGate.currentCut()
	if isClosed(cut) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	callCanceller := &callCanceller{cut: cut, done: done, cancel: cancel}
	go callCanceller.run()
	storeGate.next.ServeHTTP(writer, request.WithContext(ctx))
	if isClosed(cut) {
		panic(http.ErrAbortHandler)
	}
}

// close aborts all calls until open is called.
func (storeGate *storeGate) close() { close(storeGate.currentCut()) }

func (storeGate *storeGate) open() {
	storeGate.mu.Lock()
	defer storeGate.mu.Unlock()
	storeGate.cut = nil
}

func (storeGate *storeGate) currentCut() chan struct{} {
	storeGate.mu.Lock()
	defer storeGate.mu.Unlock()
	if storeGate.cut == nil {
		storeGate.cut = make(chan struct{})
	}
	return storeGate.cut
}

// callCanceller cancels a call to the store when the gate closes.
type callCanceller struct {
	cut, done <-chan struct{}
	cancel    context.CancelFunc
}

func (callCanceller *callCanceller) run() {
	select {
	case <-callCanceller.cut:
		callCanceller.cancel()
	case <-callCanceller.done:
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
