package claimer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/refuser"
)

// TestSessions executes the sessions under testdata in virtual time.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			session := &session{calls: make(map[string]*call)}
			defer session.close()
			datadriven.RunTest(t, path, session.run)
		})
	})
}

// session is a fleet with the calls made to it.
type session struct {
	*fleet
	cancel context.CancelFunc
	// calls maps names to calls.
	calls map[string]*call
}

// call is a claim or settlement that may be in flight.
type call struct {
	claim  *Claim
	text   string
	done   chan struct{}
	cancel context.CancelFunc
}

func (session *session) close() {
	if session.fleet != nil {
		session.Close()
		session.cancel()
	}
	synctest.Wait()
}

// run executes one command of a session.
func (session *session) run(t *testing.T, data *datadriven.TestData) string {
	arg := func(key string) string {
		var value string
		data.MaybeScanArgs(t, key, &value)
		return value
	}
	switch data.Cmd {
	case "fleet":
		ctx, cancel := context.WithCancel(t.Context())
		session.cancel = cancel
		limits := DefaultLimits().WithShards(1).WithWrites(80)
		if arg("seal") != "" {
			limits = limits.WithSealBytes(1)
		}
		if arg("most") != "" {
			limits = limits.WithMaxKeys(1)
		}
		session.fleet = newFleet(ctx, arg("hosts"), limits)
		session.store.delay = 3 * time.Millisecond
	case "claim", "settle":
		call := session.begin(t, data.Cmd, arg)
		if arg("wait") == "no" {
			synctest.Wait()
			return ""
		}
		<-call.done
		return call.text
	case "result":
		call := session.calls[arg("as")]
		<-call.done
		return call.text
	default:
		return session.control(t, data, arg)
	}
	return ""
}

// begin starts a claim or settlement in a goroutine.
func (session *session) begin(t *testing.T, command string, arg func(string) string) *call {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	call := &call{done: make(chan struct{}), cancel: cancel}
	if command == "claim" {
		session.calls[arg("as")] = call
		operation := NewOperation("swap-desk", arg("key"), [32]byte([]byte(fmt.Sprintf("%-32s", arg("body")))))
		go call.runClaim(ctx, session.host(arg("host")), operation)
		return call
	}
	outcome := NotRun()
	if status := arg("status"); status != "" {
		outcome = Answered(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}, []byte(status))
	}
	go call.runSettle(ctx, session.calls[arg("of")].claim, outcome)
	return call
}

func (call *call) runClaim(ctx context.Context, host *fakeHost, operation Operation) {
	defer close(call.done)
	started := time.Now()
	claim, err := host.Claim(ctx, operation)
	call.claim = claim
	call.text = describe(err) + fmt.Sprintf(" after %v\n", time.Since(started))
}

func (call *call) runSettle(ctx context.Context, claim *Claim, outcome Outcome) {
	defer close(call.done)
	started := time.Now()
	err := claim.Settle(ctx, outcome)
	call.text = fmt.Sprintf("settled after %v\n", time.Since(started))
	if err != nil {
		call.text = fmt.Sprintf("%v\n", err)
	}
}

// describe returns the outcome of a claim as text.
func describe(err error) string {
	var recorded *Recorded
	var refusal *refuser.Refusal
	switch {
	case err == nil:
		return "granted"
	case errors.As(err, &recorded):
		return fmt.Sprintf("recorded: %d %q %q", recorded.Status(), recorded.Header(), recorded.Body())
	case errors.As(err, &refusal):
		return fmt.Sprintf("%s (ran: %s)", refusal.Kind(), refusal.Ran())
	}
	return err.Error()
}

// control executes the commands that control the hosts, the store and the time.
func (session *session) control(t *testing.T, data *datadriven.TestData, arg func(string) string) string {
	store := &session.store
	switch data.Cmd {
	case "advance":
		wait, err := time.ParseDuration(arg("by"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
		return ""
	case "pause":
		session.host(arg("host")).pause()
	case "resume":
		session.host(arg("host")).resume()
	case "kill":
		session.calls[arg("call")].cancel()
	case "replace":
		session.mu.Lock()
		session.live = strings.Split(arg("live"), "")
		session.mu.Unlock()
	case "cut":
		session.mu.Lock()
		session.cut = arg("when")
		session.mu.Unlock()
	case "store":
		store.mu.Lock()
		defer store.mu.Unlock()
		store.outage = arg("outage") == "on"
		kinds := map[string]fault{"lose-reply": loseReply, "drop": drop, "late": late}
		if next := arg("next"); next != "" {
			store.faults = append(store.faults, kinds[next])
		}
	case "keys":
		store.mu.Lock()
		defer store.mu.Unlock()
		return strings.Join(slices.Sorted(maps.Keys(store.entries)), "\n") + "\n"
	default:
		t.Fatalf("unknown command %s", data.Cmd)
	}
	return ""
}
