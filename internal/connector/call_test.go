package connector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pacedReply is a reply whose head and pieces of its body arrive at set times.
type pacedReply struct {
	head time.Duration
	// pause is the time before each piece of pieceBytes; the body ends after pieces.
	pause      time.Duration
	pieces     int
	pieceBytes int
	// unread counts the bytes of the current piece that are not read yet.
	unread int
	ctx    context.Context
}

// RoundTrip returns the reply once its head has arrived.
func (pacedReply *pacedReply) RoundTrip(request *http.Request) (*http.Response, error) {
	pacedReply.ctx = request.Context()
	if err := pacedReply.sleep(pacedReply.head); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: pacedReply, Request: request}, nil
}

// Read returns bytes of the current piece of the body, or of the next one.
func (pacedReply *pacedReply) Read(buffer []byte) (int, error) {
	if pacedReply.unread == 0 && pacedReply.pieces == 0 {
		return 0, io.EOF
	}
	if pacedReply.unread == 0 {
		if err := pacedReply.sleep(pacedReply.pause); err != nil {
			return 0, err
		}
		pacedReply.pieces--
		pacedReply.unread = pacedReply.pieceBytes
	}
	count := min(len(buffer), pacedReply.unread)
	pacedReply.unread -= count
	return count, nil
}

// Close does nothing.
func (pacedReply *pacedReply) Close() error { return nil }

func (pacedReply *pacedReply) sleep(wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-pacedReply.ctx.Done():
		return context.Cause(pacedReply.ctx)
	}
}

// TestSlowReply checks the time limits of a reply: on its head, on each pause in its
// body, and on its rate. A body that keeps arriving is read to its end: a large
// value takes longer over a slow link than a small reply may take to begin (inc1).
func TestSlowReply(t *testing.T) {
	const timeout = time.Second
	for name, test := range map[string]struct {
		reply pacedReply
		// bytes is the size of the body received; -1 for a failure, which comes within
		// limit.
		bytes int
		limit time.Duration
	}{
		"steady body": {
			reply: pacedReply{head: timeout / 2, pause: 20 * time.Millisecond, pieces: 100, pieceBytes: 16 << 10}, bytes: 1600 << 10,
		},
		"no head":        {reply: pacedReply{head: time.Hour}, bytes: -1, limit: timeout},
		"body stalls":    {reply: pacedReply{pause: time.Hour, pieces: 1, pieceBytes: 1}, bytes: -1, limit: timeout},
		"body trickles":  {reply: pacedReply{pause: timeout / 2, pieces: 1 << 20, pieceBytes: 1}, bytes: -1, limit: time.Minute},
		"pauses in body": {reply: pacedReply{pause: timeout - time.Millisecond, pieces: 3, pieceBytes: 4 << 10}, bytes: 12 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := NewCaller("http://store", "store", WithTimeout(timeout), WithTransport(&test.reply))
				start, received := time.Now(), -1
				err := caller.Exchange(t.Context(), NewCall("get", http.MethodGet, "/"), func(reply Reply) error {
					received = len(reply.Body())
					return nil
				})
				if received != test.bytes {
					t.Fatalf("received %d bytes, %v; want %d", received, err, test.bytes)
				}
				var failure *CallError
				if test.bytes < 0 && (!errors.As(err, &failure) || failure.Kind() != Unavailable || time.Since(start) > test.limit) {
					t.Errorf("failed after %v with %v; want kind %v within %v", time.Since(start), err, Unavailable, test.limit)
				}
			})
		})
	}
}
