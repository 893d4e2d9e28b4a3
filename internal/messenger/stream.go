package messenger

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/encoder"
)

// requestTimeout bounds how long a peer may take to send its request.
const requestTimeout = 5 * time.Second

// stream is a call of a peer while it is served.
type stream struct {
	link *link
	conn *yamux.Stream
}

// run reads the request, calls the handler, and sends the reply.
func (stream *stream) run() {
	link := stream.link
	defer link.wait.Done()
	defer func() { <-link.serveSlots }()
	defer stream.conn.Close()
	stream.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	request := new(encoder.Request)
	if err := readFrame(stream.conn, request, maxFrameBytes); err != nil {
		stream.refuse(err)
		return
	}
	link.peer.messenger.observe(request.GetStamp())
	stream.conn.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(link.ctx)
	defer cancel()
	link.wait.Add(1)
	go stream.loop(cancel)
	reply := stream.handleSafely(ctx, request)
	reply.Stamp = link.peer.messenger.stamp()
	if err := writeFrame(stream.conn, reply, maxFrameBytes); err != nil && ctx.Err() == nil {
		link.peer.messenger.record(link.peer.name, "reply was not sent: "+err.Error())
	}
	stream.conn.SetReadDeadline(time.Unix(1, 0))
}

// loop cancels the call when the caller closes the stream.
func (stream *stream) loop(cancel context.CancelFunc) {
	defer stream.link.wait.Done()
	defer cancel()
	var none [1]byte
	stream.conn.Read(none[:])
}

// refuse ends the link of a peer that sent an invalid frame.
func (stream *stream) refuse(err error) {
	var frameError *FrameError
	if errors.As(err, &frameError) {
		stream.link.peer.messenger.refuse(stream.link.peer.name, err.Error())
		stream.link.cancel()
	}
}

// handleSafely returns the reply to request. A panic fails the call, which may have had
// an effect.
func (stream *stream) handleSafely(ctx context.Context, request *encoder.Request) (reply *encoder.Reply) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "call of a peer failed with a panic; please report it", "peer", stream.link.peer.name,
				"cause", cause, "stack", string(debug.Stack()))
			reply = failureReply(fmt.Errorf("panic: %v", cause))
		}
	}()
	return stream.handle(ctx, request)
}

// handle returns the reply to request.
func (stream *stream) handle(ctx context.Context, request *encoder.Request) *encoder.Reply {
	messenger := stream.link.peer.messenger
	from := stream.link.peer.name
	if request.GetFarewell() != nil {
		stream.link.farewellReceived.Store(true)
		return new(encoder.Reply)
	}
	if reply := messenger.handleMembership(ctx, from, request); reply != nil {
		return reply
	}
	handler := messenger.snapshot().handler
	if handler == nil || request.GetBody() == nil {
		return failureReply(NewError(Refused, "unknown-request", errors.New("nothing here answers it")))
	}
	reply, err := handler.Handle(ctx, from, request)
	if err != nil {
		return failureReply(err)
	}
	return &encoder.Reply{Body: reply.GetBody()}
}

// failureReply returns the reply that reports err.
func failureReply(err error) *encoder.Reply {
	failure := &encoder.Failure{Kind: "failed", Text: err.Error()}
	var typed *CallError
	if errors.As(err, &typed) {
		failure.Kind = typed.reason
		failure.NotRun = typed.kind == Refused || typed.kind == Unreachable
	}
	return &encoder.Reply{Body: &encoder.Reply_Failure{Failure: failure}}
}

// sendFarewell notifies the peer that this side closes the idle link.
func (link *link) sendFarewell() {
	conn, err := link.open()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(link.ctx, writeTimeout)
	defer cancel()
	body := &encoder.Request_Farewell{Farewell: new(encoder.Farewell)}
	link.call(ctx, conn, &encoder.Request{Body: body})
}
