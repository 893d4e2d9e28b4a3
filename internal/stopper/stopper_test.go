package stopper

import (
	"testing"
	"time"
)

// TestSchedule checks the parts of a stop at each bound. Of requests that are sent later
// than 3 s after its beginning, none may be given up at the end.
func TestSchedule(t *testing.T) {
	const lastGivenUp = 3 * time.Second
	begun := time.Unix(100, 0)
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second, time.Hour} {
		stopper := New(bound)
		stopper.Begin(begun)
		end, _ := stopper.End()
		if last := begun.Add(bound); !end.Before(last) || end.Before(begun.Add(bound*9/10)) {
			t.Errorf("with a bound of %v, requests are given up after %v", bound, end.Sub(begun))
		}
		if accept := stopper.AcceptTime(); accept >= lastGivenUp || accept > bound/2 || accept < min(bound, lastGivenUp)/3 {
			t.Errorf("with a bound of %v, requests are accepted for %v", bound, accept)
		}
		latest, limited := stopper.LatestStart(end.Add(1), true)
		if start := latest.Sub(begun); !limited || start >= lastGivenUp || start > stopper.AcceptTime() {
			t.Errorf("with a bound of %v, requests with any deadline are passed on for %v", bound, start)
		}
	}
}

// TestLatestStart checks which requests are limited: those whose deadlines come after
// the end, and sooner if their bodies have not arrived.
func TestLatestStart(t *testing.T) {
	begun := time.Unix(100, 0)
	stopper := New(6 * time.Second)
	if _, limited := stopper.LatestStart(begun.Add(time.Hour), false); limited || stopper.Stopping() {
		t.Error("a request is limited before the stop")
	}
	stopper.Begin(begun)
	stopper.Begin(begun.Add(time.Second))
	end, stopping := stopper.End()
	if !stopping || !stopper.Stopping() || end.Sub(begun) > 6*time.Second {
		t.Errorf("the stop ends at %v, want at most 6 s after %v", end, begun)
	}
	for _, arrived := range []bool{false, true} {
		if _, limited := stopper.LatestStart(end, arrived); limited {
			t.Error("a request whose deadline comes before the end is limited")
		}
	}
	if latest, limited := stopper.LatestStart(end.Add(1), false); !limited || latest.After(begun) {
		t.Errorf("a request whose body is still sent may start until %v, want not at all", latest)
	}
	if latest, limited := stopper.LatestStart(end.Add(1), true); !limited || !latest.After(begun) {
		t.Errorf("a request may start until %v, want some time after %v", latest, begun)
	}
}
