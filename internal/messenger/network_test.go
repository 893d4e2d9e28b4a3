package messenger

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/recorder"
)

// pipes is an in-memory Network. The zero value is ready to use.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     int
	// ends holds both ends of every connection.
	ends []*pipeConn
	// frozen is true while writes on new connections block.
	frozen bool
	// bytes and writes count the traffic of all connections.
	bytes, writes int
}

func (pipes *pipes) Listen(_ context.Context, address string) (net.Listener, error) {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	if pipes.listeners == nil {
		pipes.listeners = make(map[string]*pipeListener)
	}
	listener := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	pipes.listeners[address] = listener
	return listener, nil
}

func (pipes *pipes) Dial(ctx context.Context, address string) (net.Conn, error) {
	pipes.mu.Lock()
	pipes.dials++
	listener := pipes.listeners[address]
	pipes.mu.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	near, far := pipes.pipe()
	select {
	case listener.conns <- far:
		return near, nil
	case <-listener.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipe returns the ends of a new connection.
func (pipes *pipes) pipe() (near, far *pipeConn) {
	left, right := net.Pipe()
	near = &pipeConn{Conn: left, pipes: pipes, done: make(chan struct{})}
	far = &pipeConn{Conn: right, pipes: pipes, done: make(chan struct{})}
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	near.frozen.Store(pipes.frozen)
	far.frozen.Store(pipes.frozen)
	pipes.ends = append(pipes.ends, near, far)
	return near, far
}

// freeze blocks all further writes, on existing and new connections, until the
// connection is closed.
func (pipes *pipes) freeze() {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	pipes.frozen = true
	for _, end := range pipes.ends {
		end.frozen.Store(true)
	}
}

// closeAll closes all connections.
func (pipes *pipes) closeAll() {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	for _, end := range pipes.ends {
		end.Close()
	}
}

// pipeConn is an end of a pipe whose remote address is on loopback.
type pipeConn struct {
	net.Conn
	pipes  *pipes
	frozen atomic.Bool
	once   sync.Once
	done   chan struct{}
}

func (pipeConn *pipeConn) Write(bytes []byte) (int, error) {
	if pipeConn.frozen.Load() {
		<-pipeConn.done
		return 0, net.ErrClosed
	}
	pipeConn.pipes.mu.Lock()
	pipeConn.pipes.bytes += len(bytes)
	pipeConn.pipes.writes++
	pipeConn.pipes.mu.Unlock()
	return pipeConn.Conn.Write(bytes)
}

func (pipeConn *pipeConn) Close() error {
	pipeConn.once.Do(func() { close(pipeConn.done) })
	return pipeConn.Conn.Close()
}

func (pipeConn *pipeConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-pipeListener.conns:
		return conn, nil
	case <-pipeListener.done:
		return nil, net.ErrClosed
	}
}

func (pipeListener *pipeListener) Close() error {
	pipeListener.once.Do(func() { close(pipeListener.done) })
	return nil
}

func (pipeListener *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// echoer answers a borrow request with the name of its pool after the wait that
// the request sets. The pool "never" waits until ctx is done; the pool "full" is
// refused.
type echoer struct {
	endedMu sync.Mutex
	ended   []error
}

func (echoer *echoer) Handle(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	borrow := request.GetBorrow()
	if borrow.GetPool() == "full" {
		return nil, NewError(Refused, "no-slot", errors.New("none free"))
	}
	if borrow.GetPool() == "never" {
		<-ctx.Done()
		echoer.endedMu.Lock()
		echoer.ended = append(echoer.ended, ctx.Err())
		echoer.endedMu.Unlock()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(borrow.GetWaitMilliseconds()) * time.Millisecond)
	return &encoder.Reply{Body: &encoder.Reply_Loan{Loan: &encoder.Loan{Endpoint: borrow.GetPool()}}}, nil
}

// testHost is a Messenger on an in-memory network.
type testHost struct {
	Messenger
	echoer
	timeline recorder.Recorder
	network  *pipes
	host     definer.Host
	cancel   context.CancelFunc
	done     chan struct{}
	err      error
	mu       sync.Mutex
	// downReported holds the names that OnDown received.
	downReported []string
}

func newTestHost(network *pipes, name string, incarnation uint64) *testHost {
	address := "127.0.0.1:" + name
	testHost := &testHost{network: network, done: make(chan struct{})}
	testHost.host = definer.NewHost(name, address, address, definer.NewPlace("rift", "rift-1"), incarnation)
	testHost.SetNetwork(network)
	testHost.SetSelf(testHost.host)
	testHost.SetFleet("tausi")
	testHost.SetRecorder(&testHost.timeline)
	testHost.Messenger.SetHandler(&testHost.echoer)
	testHost.OnDown(func(host string) {
		testHost.mu.Lock()
		defer testHost.mu.Unlock()
		testHost.downReported = append(testHost.downReported, host)
	})
	return testHost
}

func (testHost *testHost) start(t *testing.T, peers ...*testHost) *testHost {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	testHost.cancel = cancel
	testHost.setPeerHosts(peers...)
	go testHost.run(ctx)
	synctest.Wait()
	return testHost
}

func (testHost *testHost) setPeerHosts(peers ...*testHost) {
	var hosts []definer.Host
	for _, peer := range peers {
		hosts = append(hosts, peer.host)
	}
	testHost.SetPeers(hosts)
}

func (testHost *testHost) run(ctx context.Context) {
	defer close(testHost.done)
	testHost.err = testHost.Run(ctx)
}

func (testHost *testHost) stop() {
	testHost.cancel()
	<-testHost.done
}

// echo calls host and returns the pool name of the reply.
func (testHost *testHost) echo(ctx context.Context, host, pool string, wait time.Duration) (string, error) {
	borrow := &encoder.BorrowRequest{Pool: pool, WaitMilliseconds: wait.Milliseconds()}
	reply, err := testHost.Call(ctx, host, &encoder.Request{Body: &encoder.Request_Borrow{Borrow: borrow}})
	return reply.GetLoan().GetEndpoint(), err
}

func (testHost *testHost) wantEvent(t *testing.T, object, part string) {
	t.Helper()
	for _, event := range testHost.timeline.Events(recorder.Stamp{}) {
		if event.Object() == object && strings.Contains(event.Text(), part) {
			return
		}
	}
	t.Errorf("no event of %q with %q among %v", object, part, testHost.timeline.Events(recorder.Stamp{}))
}

// bubble runs test in virtual time. yamux keeps timers in a sync.Pool of the
// process; two collections empty it, so that no timer from outside the synctest
// bubble is used in it.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}
