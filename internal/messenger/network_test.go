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

// pipes is a Network in memory. The zero value is ready to use.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     int
	// ends holds both ends of each connection that was made.
	ends []*pipeConn
	// frozen is true while new connections carry nothing.
	frozen bool
	// bytes and writes count what went over all connections.
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

// freeze keeps all that is written from now on from arriving, over new
// connections too, until they are closed.
func (pipes *pipes) freeze() {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	pipes.frozen = true
	for _, end := range pipes.ends {
		end.frozen.Store(true)
	}
}

// breakAll closes all connections.
func (pipes *pipes) breakAll() {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	for _, end := range pipes.ends {
		end.Close()
	}
}

// pipeConn is an end of a pipe that says it is on loopback.
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

// echoer answers a borrow request with the name of its pool, after it waited
// as long as the request says; a pool called "never" waits for ctx.
type echoer struct {
	ending sync.Mutex
	ended  []error
}

func (echoer *echoer) Handle(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	borrow := request.GetBorrow()
	if borrow.GetPool() == "full" {
		return nil, NewError(Refused, "no-slot", errors.New("none free"))
	}
	if borrow.GetPool() == "never" {
		<-ctx.Done()
		echoer.ending.Lock()
		echoer.ended = append(echoer.ended, ctx.Err())
		echoer.ending.Unlock()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(borrow.GetWaitMilliseconds()) * time.Millisecond)
	return &encoder.Reply{Body: &encoder.Reply_Loan{Loan: &encoder.Loan{Endpoint: borrow.GetPool()}}}, nil
}

// station is a messenger on a network of pipes.
type station struct {
	Messenger
	echoer
	line    recorder.Recorder
	network *pipes
	host    definer.Host
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
	mu      sync.Mutex
	// lost holds the names of peers that were reported down.
	lost []string
}

func newStation(network *pipes, name string, incarnation uint64) *station {
	address := "127.0.0.1:" + name
	station := &station{network: network, done: make(chan struct{})}
	station.host = definer.NewHost(name, address, address, definer.NewPlace("rift", "rift-1"), incarnation)
	station.SetNetwork(network)
	station.SetSelf(station.host)
	station.SetFleet("tausi")
	station.SetRecorder(&station.line)
	station.Messenger.Handle(&station.echoer)
	station.OnDown(func(host string) {
		station.mu.Lock()
		defer station.mu.Unlock()
		station.lost = append(station.lost, host)
	})
	return station
}

func (station *station) start(t *testing.T, peers ...*station) *station {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	station.cancel = cancel
	station.meet(peers...)
	go station.run(ctx)
	synctest.Wait()
	return station
}

func (station *station) meet(peers ...*station) {
	var hosts []definer.Host
	for _, peer := range peers {
		hosts = append(hosts, peer.host)
	}
	station.SetPeers(hosts)
}

func (station *station) run(ctx context.Context) {
	defer close(station.done)
	station.err = station.Run(ctx)
}

func (station *station) stop() {
	station.cancel()
	<-station.done
}

// echo calls host and returns the pool that comes back.
func (station *station) echo(ctx context.Context, host, pool string, wait time.Duration) (string, error) {
	borrow := &encoder.BorrowRequest{Pool: pool, WaitMilliseconds: wait.Milliseconds()}
	reply, err := station.Call(ctx, host, &encoder.Request{Body: &encoder.Request_Borrow{Borrow: borrow}})
	return reply.GetLoan().GetEndpoint(), err
}

func (station *station) wantEvent(t *testing.T, object, part string) {
	t.Helper()
	for _, event := range station.line.Events(recorder.Stamp{}) {
		if event.Object() == object && strings.Contains(event.Text(), part) {
			return
		}
	}
	t.Errorf("no event of %q with %q among %v", object, part, station.line.Events(recorder.Stamp{}))
}

// bubble runs test in virtual time. yamux keeps timers in a pool of the
// process; two collections empty it, so that none crosses into the bubble.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}
