package messenger

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// pair starts two hosts that are peers of each other.
func pair(t *testing.T, network *pipes) (left, right *testHost) {
	t.Helper()
	left, right = newTestHost(network, "left", 1), newTestHost(network, "right", 1)
	left.start(t, right)
	right.start(t, left)
	return left, right
}

func TestBrokenLinkIsReportedAndRedialled(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := pair(t, &network)
		left.echo(t.Context(), "right", "ledger", 0)
		result := make(chan error, 1)
		go func() {
			_, err := left.echo(t.Context(), "right", "never", 0)
			result <- err
		}()
		time.Sleep(time.Second)
		network.closeAll()
		wantKind(t, <-result, Broken)
		synctest.Wait()
		if len(left.downReported) != 1 || len(right.downReported) != 1 || len(right.ended) != 1 {
			t.Errorf("reported down %q and %q, %d calls ended", left.downReported, right.downReported, len(right.ended))
		}
		if got, err := left.echo(t.Context(), "right", "ledger", 0); got != "ledger" || err != nil {
			t.Errorf("over a new link: %q, %v", got, err)
		}
		left.stop()
		right.stop()
	})
}

func TestDialsToDeadPeerBackOff(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := pair(t, &network)
		right.stop()
		for range 6000 {
			_, err := left.echo(t.Context(), "right", "ledger", 0)
			wantKind(t, err, Unreachable)
			time.Sleep(10 * time.Millisecond)
		}
		if network.dials < 12 || network.dials > 40 {
			t.Errorf("%d dials in a minute, want one per 2.5 to 5 s after the first backoff steps", network.dials)
		}
		left.stop()
	})
}

func TestCallsToFrozenPeerEndWithinBound(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := pair(t, &network)
		left.echo(t.Context(), "right", "ledger", 0)
		network.freeze()
		began := time.Now()
		var calls sync.WaitGroup
		for range 2 * maxStreams {
			calls.Go(func() {
				_, err := left.echo(t.Context(), "right", "ledger", 0)
				var typed *CallError
				if !errors.As(err, &typed) {
					t.Errorf("got %v", err)
				}
			})
		}
		calls.Wait()
		if took := time.Since(began); took > keepAliveInterval+2*writeTimeout {
			t.Errorf("calls to a frozen peer ended after %v", took)
		}
		synctest.Wait()
		if len(left.downReported) != 1 {
			t.Errorf("reported down %q", left.downReported)
		}
		left.stop()
		right.stop()
	})
}

func TestIdleLinkIsClosedWithoutDownReport(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := pair(t, &network)
		left.echo(t.Context(), "right", "ledger", 0)
		time.Sleep(3 * idleTimeout)
		for other, testHost := range map[string]*testHost{"right": left, "left": right} {
			peer, _ := testHost.peerNamed(other)
			if len(peer.links) != 0 || len(testHost.downReported) != 0 {
				t.Errorf("%d links, reported down %q", len(peer.links), testHost.downReported)
			}
		}
		if got, err := right.echo(t.Context(), "left", "ledger", 0); got != "ledger" || err != nil {
			t.Errorf("over a new link: %q, %v", got, err)
		}
		left.stop()
		right.stop()
	})
}

func TestRestartedPeerReplacesItsOldLinks(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := pair(t, &network)
		right.echo(t.Context(), "left", "ledger", 0)
		again := newTestHost(&network, "right", 2)
		again.start(t, left)
		if got, err := again.echo(t.Context(), "left", "tiles", 0); got != "tiles" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
		// The replaced link ends first: a call that is sent while it ends is Broken.
		synctest.Wait()
		_, err := right.echo(t.Context(), "left", "ledger", 0)
		wantKind(t, err, Unreachable)
		synctest.Wait()
		left.wantEvent(t, "127.0.0.1:1", "an older start")
		if got, err := left.echo(t.Context(), "right", "tiles", 0); got != "tiles" || err != nil {
			t.Errorf("call to the restarted host: %q, %v", got, err)
		}
		left.stop()
		right.stop()
		again.stop()
	})
}

func TestCallsAboveLinkLimitAreRefused(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := pair(t, &network)
		left.echo(t.Context(), "right", "ledger", 0)
		var calls sync.WaitGroup
		var mu sync.Mutex
		kinds := make(map[ErrorKind]int)
		for range maxCalls + 50 {
			calls.Go(func() {
				_, err := left.echo(t.Context(), "right", "ledger", time.Second)
				mu.Lock()
				defer mu.Unlock()
				var typed *CallError
				if errors.As(err, &typed) {
					kinds[typed.Kind()]++
				}
			})
		}
		calls.Wait()
		if kinds[Unreachable] != 50 || len(kinds) != 1 {
			t.Errorf("failures %v, want 50 unreachable", kinds)
		}
		left.stop()
		right.stop()
	})
}
