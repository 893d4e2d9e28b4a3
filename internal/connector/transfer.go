package connector

import (
	"context"
	"errors"
	"io"
	"time"
)

var (
	errNoReply = errors.New("no reply within the time limit; raise [platform] timeout if the store is slow")
	errStalled = errors.New("the reply stopped before its end; check the link to the store")
)

// transfer bounds the time of one reply: until its head arrives, between the pieces
// of its body, and for the body as a whole. The size of a reply varies a thousandfold,
// so that a single limit would be too long for a small reply or cut off a large one
// that is still arriving.
type transfer struct {
	// ctx is cancelled when a limit is exceeded, with the limit's error as its cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// timer runs while the transfer may not pause any longer.
	timer *time.Timer
	body  io.Reader
	// pause is the longest pause in the body, and deadline the end of the time for it.
	pause    time.Duration
	deadline time.Time
}

// newTransfer returns a transfer whose head must arrive within limit.
func newTransfer(ctx context.Context, limit time.Duration) *transfer {
	transfer := &transfer{}
	transfer.ctx, transfer.cancel = context.WithCancelCause(ctx)
	transfer.timer = time.AfterFunc(limit, transfer.expire)
	return transfer
}

// expire ends a transfer that exceeded a limit.
func (transfer *transfer) expire() { transfer.cancel(errNoReply) }

// begin starts the time limits of the body.
func (transfer *transfer) begin(body io.Reader, pause time.Duration) {
	transfer.body, transfer.pause = body, pause
	transfer.deadline = time.Now().Add(maxTransferTime)
	transfer.extend()
}

// extend allows for one more pause, within the time for the body.
func (transfer *transfer) extend() {
	transfer.timer.Reset(min(transfer.pause, time.Until(transfer.deadline)))
}

// Read reads the body. It fails once a limit is exceeded.
func (transfer *transfer) Read(buffer []byte) (int, error) {
	count, err := transfer.body.Read(buffer)
	if count > 0 {
		transfer.extend()
	}
	if err != nil && err != io.EOF && context.Cause(transfer.ctx) == errNoReply {
		err = errStalled
	}
	return count, err
}

// end releases the transfer's timer and context.
func (transfer *transfer) end() {
	transfer.timer.Stop()
	transfer.cancel(nil)
}
