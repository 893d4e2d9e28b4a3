package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/hashicorp/yamux"
)

// Bounds on a link.
const (
	// maxCalls bounds the concurrent calls that one side makes over a link.
	maxCalls = 256
	// maxStreams bounds the calls that one link serves concurrently: maxCalls of the
	// peer, and as many again that it has cancelled but this side still runs.
	maxStreams        = 2 * maxCalls
	keepAliveInterval = 10 * time.Second
	writeTimeout      = 3 * time.Second
	// streamOpenTimeout ends a link whose peer accepts no new calls, such as a
	// suspended process.
	streamOpenTimeout  = 5 * time.Second
	streamCloseTimeout = 30 * time.Second
	// idleTimeout is how long the dialling side keeps an unused link.
	idleTimeout = 5 * time.Minute
)

// link is an open connection to a peer; both sides make calls over it.
type link struct {
	peer        *peer
	incarnation uint64
	// dialled is true on the side that opened the connection.
	dialled bool
	session *yamux.Session
	// ctx ends with the link; the contexts of served calls derive from it.
	ctx    context.Context
	cancel context.CancelFunc
	// lastUsed is when a call last started, in nanoseconds since 1970.
	lastUsed atomic.Int64
	// farewellReceived is true once the peer announced that it closes the idle
	// link.
	farewellReceived atomic.Bool
	// unusable is true once opening a stream has failed; new calls avoid the link.
	unusable atomic.Bool
	// callSlots holds one item for each outgoing call.
	callSlots chan struct{}
	// serveSlots holds one item for each stream being served.
	serveSlots chan struct{}
	wait       sync.WaitGroup
}

func newLink(peer *peer, conn net.Conn, hello *encoder.Hello, dialled bool) (*link, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = maxStreams
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = streamOpenTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	session, err := open(conn, config)
	if err != nil {
		return nil, err
	}
	link := &link{
		peer: peer, incarnation: hello.GetIncarnation(), dialled: dialled, session: session,
		callSlots: make(chan struct{}, maxCalls), serveSlots: make(chan struct{}, maxStreams),
	}
	link.ctx, link.cancel = context.WithCancel(context.Background())
	link.touch()
	return link, nil
}

// run serves the peer's calls until the link ends, or until ctx is done and the
// calls in progress have completed.
func (link *link) run(ctx context.Context) {
	messenger := link.peer.messenger
	defer messenger.wait.Done()
	messenger.record(link.peer.name, "link is up")
	err := link.serve(ctx)
	if ctx.Err() != nil || errors.Is(err, errIdle) {
		link.drain()
	}
	link.abort()
	link.wait.Wait()
	last := link.peer.remove(link)
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, errIdle) || link.farewellReceived.Load():
		messenger.record(link.peer.name, "link is closed, idle")
	case last || errors.Is(err, errReplaced):
		messenger.record(link.peer.name, "last link is down: "+err.Error())
		messenger.reportDown(link.peer.name)
	}
}

var (
	errIdle     = errors.New("idle")
	errReplaced = errors.New("the host started again")
)

// serve starts one task for each call of the peer. It returns the reason why the
// link ends.
func (link *link) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(link.ctx, cancel)
	defer stop()
	for {
		acceptCtx, cancelAccept := context.WithTimeout(ctx, idleTimeout)
		conn, err := link.session.AcceptStreamWithContext(acceptCtx)
		cancelAccept()
		switch {
		case err == nil:
			link.start(conn)
		case link.ctx.Err() != nil:
			return errReplaced
		case !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil:
			return err
		case link.idle(time.Now()):
			return errIdle
		}
	}
}

// start serves one stream, or refuses it if serveSlots is full.
func (link *link) start(conn *yamux.Stream) {
	link.touch()
	select {
	case link.serveSlots <- struct{}{}:
		link.wait.Add(1)
		stream := &stream{link: link, conn: conn}
		go stream.run()
	default:
		link.peer.messenger.refuse(link.peer.name, errSaturated.Error())
		writeFrame(conn, failureReply(NewError(Refused, "too-many-calls", errSaturated)), maxFrameBytes)
		conn.Close()
	}
}

// drain stops accepting calls and waits for those in progress, for at most
// drainTimeout.
func (link *link) drain() {
	if link.dialled && link.idle(time.Now()) {
		link.sendFarewell()
	}
	link.session.GoAway()
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	for range maxStreams {
		select {
		case link.serveSlots <- struct{}{}:
		case <-link.session.CloseChan():
			return
		case <-timer.C:
			return
		}
	}
}

// abort closes the link immediately, which ends all calls over it.
func (link *link) abort() {
	link.cancel()
	link.session.Close()
}

// touch updates lastUsed.
func (link *link) touch() { link.lastUsed.Store(time.Now().UnixNano()) }

// idle reports whether this side dialled the link and has not used it for
// idleTimeout.
func (link *link) idle(now time.Time) bool {
	used := time.Unix(0, link.lastUsed.Load())
	return link.dialled && link.session.NumStreams() == 0 && now.Sub(used) >= idleTimeout
}
