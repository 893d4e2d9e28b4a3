package messenger

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync"
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
	near, far := net.Pipe()
	select {
	case listener.conns <- &pipeConn{Conn: far}:
		return &pipeConn{Conn: near}, nil
	case <-listener.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeConn is an end of a pipe that says it is on loopback.
type pipeConn struct{ net.Conn }

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
	mu    sync.Mutex
	ended []error
}

func (echoer *echoer) Handle(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	borrow := request.GetBorrow()
	if borrow.GetPool() == "full" {
		return nil, NewError(Refused, "no-slot", errors.New("none free"))
	}
	if borrow.GetPool() == "never" {
		<-ctx.Done()
		echoer.mu.Lock()
		echoer.ended = append(echoer.ended, ctx.Err())
		echoer.mu.Unlock()
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
