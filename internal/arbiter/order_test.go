package arbiter_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
)

const (
	memberCount = 5
	// The slots of the endpoint: initially, and as proposed by the loser and the
	// winner of the chair's ruling.
	slotsBefore, slotsLoser, slotsWinner = 4, 8, 2
)

// init fixes the seed for CI; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func keyOf(name string) ed25519.PublicKey {
	digest := sha256.Sum256([]byte(name))
	return ed25519.PublicKey(digest[:])
}

func member(memberIndex int) string { return fmt.Sprintf("m%d", memberIndex) }

func setSlots(count int) definer.Change {
	place := definer.NewPlace("coast", "c1")
	return definer.SetEndpoint(definer.NewEndpoint("e", "p", "10.0.0.1:80", place, count))
}

// initialState returns the state at revision 1, which has a committee and one
// endpoint.
func initialState(t interface{ Fatal(...any) }) arbiter.State {
	changes := []definer.Change{definer.SetChair(member(0)), definer.SetPool("p"), setSlots(slotsBefore)}
	for memberIndex := range memberCount {
		changes = append(changes, definer.SetMember(definer.NewMember(member(memberIndex), keyOf(member(memberIndex)))))
	}
	state := arbiter.NewState(arbiter.Head{}, new(definer.Configuration), keyOf("bootstrap"))
	command := arbiter.NewCommand("first", "root", keyOf("bootstrap"), start, arbiter.NewPropose(0, changes))
	state, _, err := arbiter.Decide(state, command, start)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// event is a command that can be issued once the events in needs have happened.
type event struct {
	id          string
	memberIndex int
	needs       []string
	action      arbiter.Action
}

// events returns the commands of two operators, the voters and the chair.
// ballots holds each member's votes on the loser and the winner.
func events(ballots map[string][]bool) []event {
	all := []event{
		{id: "loser", memberIndex: 1, action: arbiter.NewPropose(1, []definer.Change{setSlots(slotsLoser)})},
		{id: "winner", memberIndex: 2, action: arbiter.NewPropose(1, []definer.Change{setSlots(slotsWinner)})},
		{id: "ruling", memberIndex: 0, needs: []string{"loser", "winner"}, action: arbiter.NewRule("winner", true)},
	}
	for _, proposal := range []string{"loser", "winner"} {
		for memberIndex, inFavour := range ballots[proposal] {
			all = append(all, event{
				id: fmt.Sprintf("vote-%s-%d", proposal, memberIndex), memberIndex: memberIndex, needs: []string{proposal},
				action: arbiter.NewCastVote(proposal, inFavour),
			})
		}
	}
	return all
}

// expectedSlots returns the slots expected after every order: those of the
// winner if it has a majority, else those of the loser if that has one.
func expectedSlots(ballots map[string][]bool) int {
	for _, proposal := range []string{"winner", "loser"} {
		inFavour := 0
		for _, vote := range ballots[proposal] {
			if vote {
				inFavour++
			}
		}
		if 2*inFavour > memberCount && proposal == "winner" {
			return slotsWinner
		}
		if 2*inFavour > memberCount {
			return slotsLoser
		}
	}
	return slotsBefore
}

// TestOutcomeIsIndependentOfOrder applies two conflicting proposals, the votes on
// them and the chair's ruling in random orders. The outcome must not depend on
// the order.
func TestOutcomeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ballots := map[string][]bool{}
		for proposal, author := range map[string]int{"loser": 1, "winner": 2} {
			ballots[proposal] = rapid.SliceOfN(rapid.Bool(), memberCount, memberCount).Draw(t, proposal)
			ballots[proposal][author] = true
		}
		ballots["winner"][0] = true
		state := initialState(t)
		remaining := events(ballots)
		var done []string
		for step := 0; len(remaining) > 0; step++ {
			var runnable []int
			for index, event := range remaining {
				ready := func(need string) bool { return slices.Contains(done, need) }
				if !slices.ContainsFunc(event.needs, func(need string) bool { return !ready(need) }) {
					runnable = append(runnable, index)
				}
			}
			index := rapid.SampledFrom(runnable).Draw(t, "next")
			event := remaining[index]
			remaining = slices.Delete(remaining, index, index+1)
			done = append(done, event.id)
			now := start.Add(time.Duration(step) * time.Second)
			command := arbiter.NewCommand(event.id, member(event.memberIndex), keyOf(member(event.memberIndex)), now, event.action)
			// A refusal, as of a vote on a closed proposal, changes nothing.
			state, _, _ = arbiter.Decide(state, command, now)
			if _, known := state.Outcome(event.id); known {
				requireIdempotent(t, state, command, now)
			}
		}
		endpoint, _ := state.Configuration().Endpoint("e")
		if want := expectedSlots(ballots); endpoint.Slots() != want {
			t.Fatalf("slots %d, want %d after %v", endpoint.Slots(), want, done)
		}
	})
}

// requireIdempotent applies a command again, which must change nothing.
func requireIdempotent(t *rapid.T, state arbiter.State, command arbiter.Command, now time.Time) {
	again, _, err := arbiter.Decide(state, command, now)
	if err != nil || again.Revision() != state.Revision() || len(again.Outcomes()) != len(state.Outcomes()) {
		t.Fatalf("command %s repeated: %v, revision %d after %d", command.ID(), err, again.Revision(), state.Revision())
	}
}
