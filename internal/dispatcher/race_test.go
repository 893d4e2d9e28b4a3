package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// step is the outcome of one attempt.
type step struct {
	after   time.Duration
	status  int
	failure *Failure
}

// scriptedEndpoints is a router that gives each attempt another endpoint, and a
// sender that ends each attempt with the next step.
type scriptedEndpoints struct {
	mu    sync.Mutex
	steps []step
	sent  int
	// cancelled counts the attempts whose context ended before their step.
	cancelled int
	// refuseHedges refuses slots for hedges.
	refuseHedges bool
}

type scriptedSlot struct{ endpoint definer.Endpoint }

func (scriptedSlot scriptedSlot) Endpoint() definer.Endpoint { return scriptedSlot.endpoint }

func (scriptedSlot) Release(router.Result) {}

func (scriptedEndpoints *scriptedEndpoints) Acquire(_ context.Context, request router.Request) (Slot, error) {
	if request.Hedge() && scriptedEndpoints.refuseHedges {
		return nil, refuser.New(refuser.KindOverloaded, refuser.NotRun, "no free slot")
	}
	name := fmt.Sprint("endpoint-", len(request.Avoid()))
	return scriptedSlot{definer.NewEndpoint(name, "ledger", name, definer.Place{}, 4)}, nil
}

func (scriptedEndpoints *scriptedEndpoints) Send(ctx context.Context, endpoint definer.Endpoint, _ *Request) (*Answer, error) {
	scriptedEndpoints.mu.Lock()
	step := scriptedEndpoints.steps[scriptedEndpoints.sent]
	scriptedEndpoints.sent++
	scriptedEndpoints.mu.Unlock()
	timer := time.NewTimer(step.after)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		scriptedEndpoints.mu.Lock()
		scriptedEndpoints.cancelled++
		scriptedEndpoints.mu.Unlock()
		cause := Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cause = DeadlineExceeded
		}
		return nil, NewFailure(cause, true, ctx.Err())
	}
	if step.failure != nil {
		return nil, step.failure
	}
	return NewAnswer(step.status, http.Header{}, -1, io.NopCloser(strings.NewReader(endpoint.Name()))), nil
}

type oneRoute struct{ kind string }

func (oneRoute oneRoute) Table() (*definer.RouteTable, bool) {
	route := definer.NewRoute("r", "/", []definer.Destination{definer.NewDestination("ledger", 1)},
		definer.RouteRepeatable(oneRoute.kind == "repeatable"), definer.RouteAttempts(2),
		definer.RouteTimeouts(2*time.Second, 600*time.Millisecond))
	return definer.NewRouteTable(1, map[string][]definer.Route{"a": {route}}, nil, definer.CallerLimits{}), true
}

// TestRace checks what the caller receives, after what time, and how many attempts
// were sent.
func TestRace(t *testing.T) {
	ok, slow := step{after: 100 * time.Millisecond, status: 200}, step{after: time.Second, status: 200}
	serverError := step{after: 50 * time.Millisecond, status: 500}
	lost := step{after: 50 * time.Millisecond, failure: NewFailure(ConnectionLost, true, nil)}
	invalid := step{after: 350 * time.Millisecond, failure: NewFailure(Malformed, true, nil)}
	shed := step{after: 5 * time.Millisecond, failure: NewFailure(Shed, true, nil)}
	misdirected := step{after: 5 * time.Millisecond, failure: NewFailure(Misdirected, true, nil)}
	for _, test := range []struct {
		name, kind   string
		steps        []step
		refuseHedges bool
		// want is the status and the endpoint that answered, or the kind of refusal and
		// whether the request ran.
		want    string
		sent    int
		maxTime time.Duration
	}{
		{"first attempt answers", "repeatable", []step{ok}, false, "200 endpoint-0", 1, 100 * time.Millisecond},
		{"hedge wins", "repeatable", []step{slow, ok}, false, "200 endpoint-1", 2, 400 * time.Millisecond},
		{"first attempt wins against its hedge", "repeatable", []step{{after: 350 * time.Millisecond, status: 200}, slow}, false, "200 endpoint-0", 2, 350 * time.Millisecond},
		{"no hedge without a free slot", "repeatable", []step{slow}, true, "200 endpoint-0", 1, time.Second},
		{"no hedge of an unrepeatable request", "once", []step{slow}, false, "200 endpoint-0", 1, time.Second},
		{"a server error is retried", "repeatable", []step{serverError, ok}, false, "200 endpoint-1", 2, 200 * time.Millisecond},
		{"the last server error is returned", "repeatable", []step{serverError, serverError}, false, "500 endpoint-1", 2, 200 * time.Millisecond},
		{"a server error is preferred to a lost connection", "repeatable", []step{serverError, lost}, false, "500 endpoint-0", 2, 200 * time.Millisecond},
		{"a server error of an unrepeatable request is returned", "once", []step{serverError}, false, "500 endpoint-0", 1, 50 * time.Millisecond},
		{"a lost connection is retried", "repeatable", []step{lost, ok}, false, "200 endpoint-1", 2, 250 * time.Millisecond},
		{"a lost connection of an unrepeatable request is not retried", "once", []step{lost}, false, "outcome-unknown unknown", 1, 50 * time.Millisecond},
		{"a refusal is retried on another endpoint", "once", []step{shed, misdirected, ok}, false, "200 endpoint-2", 3, 120 * time.Millisecond},
		{"only refusals end as not run", "once", []step{shed, shed, shed, shed}, false, "overloaded no", 4, 30 * time.Millisecond},
		{"refusals after a lost connection do not end as not run", "repeatable", []step{lost, shed, shed, shed}, false, "outcome-unknown unknown", 4, 300 * time.Millisecond},
		{"an invalid answer loses against the hedge", "repeatable", []step{invalid, ok}, false, "200 endpoint-1", 2, 400 * time.Millisecond},
		{"an invalid answer to the hedge loses", "repeatable", []step{slow, invalid}, false, "200 endpoint-0", 2, time.Second},
		{"invalid answers to both attempts", "repeatable", []step{invalid, invalid}, false, "outcome-unknown unknown", 2, 700 * time.Millisecond},
		{"an invalid answer to an unrepeatable request is not retried", "once", []step{invalid}, false, "outcome-unknown unknown", 1, 350 * time.Millisecond},
		{"the route's timeout ends the request", "once", []step{{after: time.Minute}}, false, "deadline-exceeded unknown", 1, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scriptedEndpoints := &scriptedEndpoints{steps: test.steps, refuseHedges: test.refuseHedges}
				dispatcher := New(nil, scriptedEndpoints, scriptedEndpoints, &recorder.Recorder{})
				dispatcher.SetPlanner(NewRoutePlanner(oneRoute{test.kind}))
				dispatcher.SetRetryBudget(0.2, 5)
				dispatcher.SetBufferedBytes(1 << 10)
				start := time.Now()
				got := outcomeText(dispatcher.Dispatch(t.Context(), NewRequest("r-1", "", http.MethodGet, "/x", nil).WithAuthority("a")))
				if took := time.Since(start); took > test.maxTime {
					t.Errorf("took %v, want at most %v", took, test.maxTime)
				}
				synctest.Wait()
				if got != test.want || scriptedEndpoints.sent != test.sent {
					t.Errorf("got %s after %d sends, want %s after %d", got, scriptedEndpoints.sent, test.want, test.sent)
				}
				if err := dispatcher.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func outcomeText(answer *Answer, err error) string {
	if err != nil {
		refusal := asRefusal(err)
		return fmt.Sprintf("%s %s", refusal.Kind(), refusal.Ran())
	}
	body, err := io.ReadAll(answer)
	_ = answer.Close()
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", answer.Status(), body)
}

// TestCallerCancels checks that the attempts of a cancelled request end at once,
// and that none is started afterwards.
func TestCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scriptedEndpoints := &scriptedEndpoints{steps: []step{{after: time.Minute}, {after: time.Minute}}}
		dispatcher := New(nil, scriptedEndpoints, scriptedEndpoints, &recorder.Recorder{})
		dispatcher.SetPlanner(NewRoutePlanner(oneRoute{"repeatable"}))
		dispatcher.SetRetryBudget(0.2, 5)
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		got := outcomeText(dispatcher.Dispatch(ctx, NewRequest("r-1", "", http.MethodGet, "/x", nil).WithAuthority("a")))
		_ = dispatcher.Close()
		if scriptedEndpoints.cancelled != 2 || scriptedEndpoints.sent != 2 {
			t.Errorf("%s: %d of %d attempts were cancelled, want 2 of 2", got, scriptedEndpoints.cancelled, scriptedEndpoints.sent)
		}
	})
}

// TestFleetBudget checks that, if every request of every host fails without end,
// all retries together stay within the share and the slack of the fleet.
func TestFleetBudget(t *testing.T) {
	const hosts, requests, share, slack = 14, 400, 0.2, 56
	retries := 0
	for range hosts {
		var budget Budget
		budget.SetShare(share)
		budget.SetBurst(float64(slack) / hosts)
		for range requests / hosts {
			budget.earn("ledger")
			for budget.spend("ledger") {
				retries++
			}
		}
	}
	if maxRetries := share*requests + slack; float64(retries) > maxRetries {
		t.Errorf("%d retries of %d hosts, want at most %.0f", retries, hosts, maxRetries)
	}
}

// TestLongBodyHasOneAttempt checks that a body that is not buffered completely is not
// sent by two attempts at once: each would get parts of it, and run a request that nobody
// sent (review/2). An endpoint may also answer before it has read the body. A retry after
// an attempt that has ended without reading the body is allowed.
func TestLongBodyHasOneAttempt(t *testing.T) {
	ok, slow := step{after: 100 * time.Millisecond, status: 200}, step{after: time.Second, status: 200}
	serverError := step{after: 50 * time.Millisecond, status: 500}
	shed := step{after: 5 * time.Millisecond, failure: NewFailure(Shed, true, nil)}
	for _, test := range []struct {
		name  string
		steps []step
		want  string
		sent  int
	}{
		{"no hedge", []step{slow, ok}, "200 endpoint-0", 1},
		{"no retry beside an early answer", []step{serverError, ok}, "500 endpoint-0", 1},
		{"a retry after a refusal", []step{shed, ok}, "200 endpoint-1", 2},
	} {
		for _, length := range []int64{-1, 2 * BufferedBodyBytes} {
			t.Run(fmt.Sprint(test.name, " of ", length, " bytes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					scriptedEndpoints := &scriptedEndpoints{steps: test.steps}
					dispatcher := New(nil, scriptedEndpoints, scriptedEndpoints, &recorder.Recorder{})
					dispatcher.SetPlanner(NewRoutePlanner(oneRoute{"repeatable"}))
					dispatcher.SetRetryBudget(0.2, 5)
					request, err := NewRequest("r-1", "", http.MethodPost, "/x", nil).WithAuthority("a").
						WithBody(strings.NewReader(strings.Repeat("x", 2*BufferedBodyBytes)), length)
					if err != nil {
						t.Fatal(err)
					}
					if got := outcomeText(dispatcher.Dispatch(t.Context(), request)); got != test.want || scriptedEndpoints.sent != test.sent {
						t.Errorf("got %s after %d attempts, want %s after %d", got, scriptedEndpoints.sent, test.want, test.sent)
					}
					_ = dispatcher.Close()
				})
			})
		}
	}
}
