package dispatcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
)

// accountPlanner plans all requests as repeatable ones of an account.
type accountPlanner struct{ account *definer.Account }

func (accountPlanner accountPlanner) Plan(*Request) (Plan, error) {
	return Plan{service: "s", pool: "s", class: "s", repeatable: true, targetLatency: time.Second, account: accountPlanner.account}, nil
}

func (accountPlanner) Repeatable(*Request) bool { return true }

func (accountPlanner) Timeout(*Request) time.Duration { return 0 }

// countingThrottler has a number of permits and counts what is asked of it.
type countingThrottler struct{ permits, taken, charged int }

func (countingThrottler *countingThrottler) Take(context.Context, *definer.Account) (time.Duration, bool) {
	countingThrottler.taken++
	if countingThrottler.permits == 0 {
		return 300 * time.Millisecond, false
	}
	countingThrottler.permits--
	return 0, true
}

func (countingThrottler *countingThrottler) Charge(*definer.Account) { countingThrottler.charged++ }

// TestPermits guards against attempts that are not counted, against requests over the quota
// that reach an endpoint, and against permits for accounts without a quota.
func TestPermits(t *testing.T) {
	limited := definer.NewAccount("a", 0).WithQuota(5, 5)
	for _, test := range []struct {
		name                 string
		account              *definer.Account
		permits              int
		steps                []step
		refused              refuser.Kind
		taken, charged, sent int
	}{
		{"permit", limited, 1, []step{{status: 200}}, "", 1, 0, 1},
		{"retry", limited, 1, []step{{failure: NewFailure(ConnectionLost, true, nil)}, {status: 200}}, "", 1, 1, 2},
		{"hedge", limited, 1, []step{{after: 30 * time.Second, status: 200}, {status: 200}}, "", 1, 1, 2},
		{"over the quota", limited, 0, nil, refuser.KindOverQuota, 1, 0, 0},
		{"no quota", definer.NewAccount("b", 0), 0, []step{{status: 200}}, "", 0, 0, 1},
		{"no account", nil, 0, []step{{status: 200}}, "", 0, 0, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			router := &waitingRouter{}
			router.steps = test.steps
			throttler := &countingThrottler{permits: test.permits}
			dispatcher := New(nil, router, router, &recorder.Recorder{})
			dispatcher.SetPlanner(accountPlanner{account: test.account})
			dispatcher.SetThrottler(throttler)
			dispatcher.SetRetryBudget(1, 10)
			answer, err := dispatcher.Dispatch(t.Context(), NewRequest("r-1", "", "GET", "/", nil))
			refusal := new(refuser.Refusal)
			errors.As(err, &refusal)
			if refusal.Kind() != test.refused || throttler.taken != test.taken || throttler.charged != test.charged || router.sent != test.sent {
				t.Errorf("%s: got %v, taken %d, charged %d, sent %d; want %q, %d, %d, %d", test.name, err,
					throttler.taken, throttler.charged, router.sent, test.refused, test.taken, test.charged, test.sent)
			}
			if test.refused != "" && (refusal.RetryAfter() != 300*time.Millisecond || refusal.Ran() != refuser.NotRun) {
				t.Errorf("%s: retry after %v, ran: %v; want 300ms and no", test.name, refusal.RetryAfter(), refusal.Ran())
			}
			if answer != nil {
				_ = answer.Close()
			}
			_ = dispatcher.Close()
		})
	}
}
