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

// step is how one endpoint ends the attempt that reaches it.
type step struct {
	after   time.Duration
	status  int
	failure *Failure
}

// course gives each attempt the next endpoint and the next step.
type course struct {
	mu    sync.Mutex
	steps []step
	sent  int
	// cancelled counts the attempts whose context ended before their step.
	cancelled int
	// noRoom refuses hedges.
	noRoom bool
}

type courseSlot struct{ endpoint definer.Endpoint }

func (courseSlot courseSlot) Endpoint() definer.Endpoint { return courseSlot.endpoint }

func (courseSlot) Release(router.Result) {}

func (course *course) Acquire(_ context.Context, request router.Request) (Slot, error) {
	if request.Hedge() && course.noRoom {
		return nil, refuser.New(refuser.KindOverloaded, refuser.NotRun, "no room")
	}
	name := fmt.Sprint("endpoint-", len(request.Avoid()))
	return courseSlot{definer.NewEndpoint(name, "ledger", name, definer.Place{}, 4)}, nil
}

func (course *course) Send(ctx context.Context, endpoint definer.Endpoint, _ *Request) (*Answer, error) {
	course.mu.Lock()
	step := course.steps[course.sent]
	course.sent++
	course.mu.Unlock()
	timer := time.NewTimer(step.after)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		course.mu.Lock()
		course.cancelled++
		course.mu.Unlock()
		cause := Abandoned
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cause = Overdue
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
		definer.RouteTimes(2*time.Second, 600*time.Millisecond))
	return definer.NewRouteTable(1, map[string][]definer.Route{"a": {route}}, nil, definer.CallerLimits{}), true
}

// TestRace shows what a caller gets, when, and what was sent for it.
func TestRace(t *testing.T) {
	ok, slow := step{after: 100 * time.Millisecond, status: 200}, step{after: time.Second, status: 200}
	broken := step{after: 50 * time.Millisecond, status: 500}
	lost := step{after: 50 * time.Millisecond, failure: NewFailure(Lost, true, nil)}
	shed := step{after: 5 * time.Millisecond, failure: NewFailure(Shed, true, nil)}
	misplaced := step{after: 5 * time.Millisecond, failure: NewFailure(Misplaced, true, nil)}
	for _, test := range []struct {
		name, kind string
		steps      []step
		noRoom     bool
		// want is the status and who answered, or the kind of refusal and whether
		// the request ran.
		want string
		sent int
		most time.Duration
	}{
		{"first answers", "repeatable", []step{ok}, false, "200 endpoint-0", 1, 100 * time.Millisecond},
		{"hedge wins", "repeatable", []step{slow, ok}, false, "200 endpoint-1", 2, 400 * time.Millisecond},
		{"first wins beside its hedge", "repeatable", []step{{after: 350 * time.Millisecond, status: 200}, slow}, false, "200 endpoint-0", 2, 350 * time.Millisecond},
		{"no hedge without room", "repeatable", []step{slow}, true, "200 endpoint-0", 1, time.Second},
		{"no hedge of what runs once", "once", []step{slow}, false, "200 endpoint-0", 1, time.Second},
		{"a failure is tried again", "repeatable", []step{broken, ok}, false, "200 endpoint-1", 2, 200 * time.Millisecond},
		{"the last failure is handed on", "repeatable", []step{broken, broken}, false, "500 endpoint-1", 2, 200 * time.Millisecond},
		{"a failure goes before a loss", "repeatable", []step{broken, lost}, false, "500 endpoint-0", 2, 200 * time.Millisecond},
		{"a failure of what runs once is handed on", "once", []step{broken}, false, "500 endpoint-0", 1, 50 * time.Millisecond},
		{"a loss is tried again", "repeatable", []step{lost, ok}, false, "200 endpoint-1", 2, 250 * time.Millisecond},
		{"a loss of what runs once is not", "once", []step{lost}, false, "outcome-unknown unknown", 1, 50 * time.Millisecond},
		{"a refusal is tried elsewhere", "once", []step{shed, misplaced, ok}, false, "200 endpoint-2", 3, 120 * time.Millisecond},
		{"refusals end as not run", "once", []step{shed, shed, shed, shed}, false, "overloaded no", 4, 30 * time.Millisecond},
		{"a refusal after a loss never says not run", "repeatable", []step{lost, shed, shed, shed}, false, "outcome-unknown unknown", 4, 300 * time.Millisecond},
		{"the route's time ends the wait", "once", []step{{after: time.Minute}}, false, "deadline-exceeded unknown", 1, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				course := &course{steps: test.steps, noRoom: test.noRoom}
				dispatcher := New(nil, course, course, &recorder.Recorder{})
				dispatcher.SetPlanner(NewRoutes(oneRoute{test.kind}))
				dispatcher.SetRetries(0.2, 5)
				dispatcher.SetHeldBytes(1 << 10)
				start := time.Now()
				got := outcomeText(dispatcher.Dispatch(t.Context(), NewRequest("r-1", "", http.MethodGet, "/x", nil).WithAuthority("a")))
				if took := time.Since(start); took > test.most {
					t.Errorf("took %v, want at most %v", took, test.most)
				}
				synctest.Wait()
				if got != test.want || course.sent != test.sent {
					t.Errorf("got %s after %d sends, want %s after %d", got, course.sent, test.want, test.sent)
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

// TestCallerLeaves cancels a request: what runs for it ends at once, and it is
// not sent again.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		course := &course{steps: []step{{after: time.Minute}, {after: time.Minute}}}
		dispatcher := New(nil, course, course, &recorder.Recorder{})
		dispatcher.SetPlanner(NewRoutes(oneRoute{"repeatable"}))
		dispatcher.SetRetries(0.2, 5)
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		got := outcomeText(dispatcher.Dispatch(ctx, NewRequest("r-1", "", http.MethodGet, "/x", nil).WithAuthority("a")))
		_ = dispatcher.Close()
		if course.cancelled != 2 || course.sent != 2 {
			t.Errorf("%s: %d of %d attempts ended with their caller", got, course.cancelled, course.sent)
		}
	})
}

// TestFleetBudget has every host of a fleet meet an endless failure at once:
// what all send beyond the first of each request stays within the share and the
// slack of the fleet.
func TestFleetBudget(t *testing.T) {
	const hosts, requests, share, slack = 14, 400, 0.2, 56
	extra := 0
	for range hosts {
		var budget Budget
		budget.SetShare(share)
		budget.SetBurst(float64(slack) / hosts)
		for range requests / hosts {
			budget.earn("ledger")
			for budget.spend("ledger") {
				extra++
			}
		}
	}
	if most := share*requests + slack; float64(extra) > most {
		t.Errorf("%d retries of %d hosts, want at most %.0f", extra, hosts, most)
	}
}
