package messenger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func wantKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	var typed *CallError
	if !errors.As(err, &typed) || typed.Kind() != kind {
		t.Fatalf("got %v, want kind %v", err, kind)
	}
}

func TestCallsBothWaysOverOneLink(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.start(t, right)
		right.start(t, left)
		if got, err := left.echo(t.Context(), "right", "ledger", 0); got != "ledger" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
		if got, err := right.echo(t.Context(), "left", "tiles", 0); got != "tiles" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
		if network.dials != 1 {
			t.Errorf("%d dials, want 1", network.dials)
		}
		_, err := left.echo(t.Context(), "right", "full", 0)
		wantKind(t, err, Refused)
		_, err = left.echo(t.Context(), "nobody", "ledger", 0)
		wantKind(t, err, Unreachable)
		left.stop()
		right.stop()
		if left.err != nil || right.err != nil {
			t.Errorf("Run: %v, %v", left.err, right.err)
		}
	})
}

func TestCancelledCallEndsAtPeer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.start(t, right)
		right.start(t, left)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := left.echo(ctx, "right", "never", 0)
		wantKind(t, err, Broken)
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want a deadline", err)
		}
		synctest.Wait()
		if len(right.ended) != 1 {
			t.Errorf("%d calls ended, want 1", len(right.ended))
		}
		left.stop()
		right.stop()
	})
}

func TestStopServesCallsInProgress(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.start(t, right)
		right.start(t, left)
		result := make(chan error, 1)
		go func() {
			_, err := left.echo(context.Background(), "right", "ledger", 2*time.Second)
			result <- err
		}()
		time.Sleep(time.Second)
		right.stop()
		if err := <-result; err != nil {
			t.Fatalf("call in progress: %v", err)
		}
		_, err := left.echo(t.Context(), "right", "ledger", 0)
		wantKind(t, err, Unreachable)
		left.stop()
	})
}
