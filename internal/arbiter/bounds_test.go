package arbiter_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
)

// decideAs applies a command of the member at memberIndex and returns the next
// state.
func decideAs(state arbiter.State, memberIndex int, id string, now time.Time, action arbiter.Action) (arbiter.State, error) {
	command := arbiter.NewCommand(id, member(memberIndex), keyOf(member(memberIndex)), now, action)
	next, _, err := arbiter.Decide(state, command, now)
	return next, err
}

func requireKind(t *testing.T, err error, kind arbiter.ErrorKind) {
	t.Helper()
	var commandError *arbiter.CommandError
	if !errors.As(err, &commandError) || commandError.Kind() != kind {
		t.Fatalf("got %v, want %v", err, kind)
	}
}

func proposePool(base uint64, name string) arbiter.Action {
	return arbiter.NewPropose(base, []definer.Change{definer.SetPool(name)})
}

func TestOpenProposalsAreBounded(t *testing.T) {
	state := initialState(t)
	for index := range arbiter.MaxProposals {
		id := fmt.Sprintf("p%d", index)
		next, err := decideAs(state, 1, id, start, proposePool(1, id))
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	_, err := decideAs(state, 1, "more", start, proposePool(1, "more"))
	requireKind(t, err, arbiter.Full)
}

// TestOutcomesAreKeptWhileCommandsCanRepeat fills the list of outcomes. The next
// command must be refused rather than evict the outcome of a command that can
// still be retried, since the retry would then apply it twice.
func TestOutcomesAreKeptWhileCommandsCanRepeat(t *testing.T) {
	state := initialState(t)
	state, err := decideAs(state, 1, "p", start, proposePool(1, "q"))
	if err != nil {
		t.Fatal(err)
	}
	refused := false
	for index := 0; !refused && index <= arbiter.MaxOutcomes; index++ {
		var next arbiter.State
		next, err = decideAs(state, 2, fmt.Sprintf("v%d", index), start, arbiter.NewCastVote("p", index%2 == 0))
		if refused = err != nil; !refused {
			state = next
		}
	}
	requireKind(t, err, arbiter.Full)
	if _, ok := state.Outcome("v0"); !ok {
		t.Fatal("the outcome of the first vote is lost")
	}
	later := start.Add(arbiter.OutcomeRetention + time.Second)
	if state, err = decideAs(state, 2, "later", later, arbiter.NewCastVote("p", true)); err != nil {
		t.Fatal(err)
	}
	if _, ok := state.Outcome("v0"); ok {
		t.Fatal("the outcome of the first vote is still kept")
	}
}

func TestInvalidCommandsAreRefused(t *testing.T) {
	state := initialState(t)
	_, err := decideAs(state, 1, "future", start, proposePool(2, "q"))
	requireKind(t, err, arbiter.BadBase)
	_, err = decideAs(state, 1, "none", start, arbiter.NewPropose(1, nil))
	requireKind(t, err, arbiter.BadChange)
	_, err = decideAs(state, 1, "missing", start, arbiter.NewPropose(1, []definer.Change{definer.DrainEndpoint("nobody")}))
	requireKind(t, err, arbiter.BadChange)
	for _, age := range []time.Duration{arbiter.MaxCommandAge + time.Second, -arbiter.MaxClockSkew - time.Second} {
		command := arbiter.NewCommand("old", member(1), keyOf(member(1)), start.Add(-age), proposePool(1, "q"))
		_, _, err := arbiter.Decide(state, command, start)
		requireKind(t, err, arbiter.BadTime)
	}
}
