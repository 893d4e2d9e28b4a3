package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/router"
)

// watchedEndpoints are endpoints whose silence is explained for 200 ms.
type watchedEndpoints struct {
	scriptedEndpoints
	silences int
}

type watchedSlot struct {
	Slot
	endpoints *watchedEndpoints
}

func (watchedSlot watchedSlot) SilenceLimit() time.Duration { return 200 * time.Millisecond }

func (watchedSlot watchedSlot) RecordSilence() { watchedSlot.endpoints.silences++ }

func (watchedEndpoints *watchedEndpoints) Acquire(ctx context.Context, request router.Request) (Slot, error) {
	slot, err := watchedEndpoints.scriptedEndpoints.Acquire(ctx, request)
	return watchedSlot{slot, watchedEndpoints}, err
}

// TestSilentEndpoint replays an endpoint that never answers. Before, a request to it got its
// repeat only at half of its target time, and the endpoint kept a clean record.
func TestSilentEndpoint(t *testing.T) {
	ok, hangs := step{after: 100 * time.Millisecond, status: 200}, step{after: time.Hour}
	for _, test := range []struct {
		name, kind string
		share      float64
		steps      []step
		want       string
		took       time.Duration
		// silences and repeats count what is recorded.
		silences, repeats int
	}{
		{"repeated early", "repeatable", 0.2, []step{hangs, ok}, "200 endpoint-1", 300 * time.Millisecond, 1, 1},
		{"two endpoints hang", "repeatable", 0.2, []step{hangs, hangs}, "deadline-exceeded unknown", 2 * time.Second, 2, 1},
		{"not repeatable", "once", 0.2, []step{hangs}, "deadline-exceeded unknown", 2 * time.Second, 1, 0},
		{"no retry budget", "repeatable", 0, []step{{after: 500 * time.Millisecond, status: 200}}, "200 endpoint-0", 500 * time.Millisecond, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := &watchedEndpoints{scriptedEndpoints: scriptedEndpoints{steps: test.steps}}
				dispatcher := New(nil, endpoints, endpoints, &recorder.Recorder{})
				dispatcher.SetPlanner(NewRoutePlanner(oneRoute{test.kind}))
				dispatcher.SetRetryBudget(test.share, 5)
				// Timers of a registry would tick in the bubble for ever.
				dispatcher.meters.silences, dispatcher.meters.silenceRepeats = metrics.NewCounter(), metrics.NewCounter()
				dispatcher.SetBufferedBytes(1 << 10)
				start := time.Now()
				got := outcomeText(dispatcher.Dispatch(t.Context(), NewRequest("r-1", "", http.MethodGet, "/x", nil).WithAuthority("a")))
				took := time.Since(start)
				if err := dispatcher.Close(); err != nil {
					t.Error(err)
				}
				if got != test.want || took != test.took {
					t.Errorf("got %s after %v, want %s after %v", got, took, test.want, test.took)
				}
				silences, repeats := int(dispatcher.meters.silences.Count()), int(dispatcher.meters.silenceRepeats.Count())
				if silences != test.silences || endpoints.silences != test.silences || repeats != test.repeats {
					t.Errorf("%d silences (%d at endpoints), %d repeats, want %d and %d", silences, endpoints.silences, repeats, test.silences, test.repeats)
				}
			})
		})
	}
}
