package messenger

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

var (
	errUnknownHost = errors.New("no such host is known")
	errStopped     = errors.New("this host stops")
	errSaturated   = errors.New("too many calls to the host at a time")
)

// maxOpenAttempts bounds how many links a call tries to open a stream on.
const maxOpenAttempts = 2

// Call sends request to host and returns its reply. Every failure is a
// [CallError], which wraps the error of ctx if ctx ended.
func (messenger *Messenger) Call(ctx context.Context, host string, request *encoder.Request) (*encoder.Reply, error) {
	peer, runCtx := messenger.peerNamed(host)
	if peer == nil {
		return nil, &CallError{kind: Unreachable, host: host, cause: errUnknownHost}
	}
	var cause error
	for range maxOpenAttempts {
		link, err := peer.link(ctx, runCtx)
		if err != nil {
			return nil, &CallError{kind: Unreachable, host: host, cause: err}
		}
		conn, err := link.open()
		if err == nil {
			return link.call(ctx, conn, request)
		}
		cause = err
		if !errors.Is(err, errSaturated) {
			link.unusable.Store(true)
		}
	}
	return nil, &CallError{kind: Unreachable, host: host, cause: cause}
}

// peerNamed returns the peer called name, or nil, and the context of the current
// Run.
func (messenger *Messenger) peerNamed(name string) (*peer, context.Context) {
	messenger.mu.Lock()
	defer messenger.mu.Unlock()
	if messenger.ctx == nil {
		return nil, nil
	}
	return messenger.peers[name], messenger.ctx
}

// reportDown calls the OnDown functions: the last link to host has failed.
func (messenger *Messenger) reportDown(host string) {
	for _, report := range messenger.snapshot().onDown {
		report(host)
	}
}

// open opens a stream for one call; release closes it.
func (link *link) open() (*yamux.Stream, error) {
	select {
	case link.callSlots <- struct{}{}:
	default:
		return nil, errSaturated
	}
	conn, err := link.session.OpenStream()
	if err != nil {
		<-link.callSlots
	}
	return conn, err
}

// release closes conn and frees its slot in callSlots.
func (link *link) release(conn *yamux.Stream) {
	conn.Close()
	<-link.callSlots
}

// call sends request over conn, waits for the reply and releases conn.
func (link *link) call(ctx context.Context, conn *yamux.Stream, request *encoder.Request) (*encoder.Reply, error) {
	link.touch()
	defer link.release(conn)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	stamped := &encoder.Request{Stamp: link.peer.messenger.stamp(), Body: request.GetBody()}
	reply := new(encoder.Reply)
	err := link.exchange(conn, stamped, reply)
	if err == nil {
		link.peer.messenger.observe(reply.GetStamp())
		return reply, link.failureError(reply.GetFailure())
	}
	var frameError *FrameError
	kind := Broken
	if errors.As(err, &frameError) && proto.Size(stamped) > maxFrameBytes {
		kind = Unreachable
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &CallError{kind: kind, host: link.peer.name, cause: err}
}

// exchange writes request as one frame and reads reply from the next.
func (link *link) exchange(conn *yamux.Stream, request *encoder.Request, reply *encoder.Reply) error {
	if err := writeFrame(conn, request, maxFrameBytes); err != nil {
		return err
	}
	return readFrame(conn, reply, maxFrameBytes)
}

// failureError converts a failure that the peer reported to a [CallError].
func (link *link) failureError(failure *encoder.Failure) error {
	if failure == nil {
		return nil
	}
	kind := Failed
	if failure.GetNotRun() {
		kind = Refused
	}
	return &CallError{
		kind: kind, host: link.peer.name, reason: failure.GetKind(),
		cause: errors.New(failure.GetText()),
	}
}
