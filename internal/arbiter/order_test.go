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
	seats = 5
	// The slots of the endpoint before, by the loser's and by the winner's
	// proposal.
	slotsBefore, slotsLoser, slotsWinner = 4, 8, 2
)

// init fixes the seed for CI; -rapid.seed on the command line goes before it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func keyOf(name string) ed25519.PublicKey {
	digest := sha256.Sum256([]byte(name))
	return ed25519.PublicKey(digest[:])
}

func member(seat int) string { return fmt.Sprintf("m%d", seat) }

func slots(count int) definer.Change {
	place := definer.NewPlace("coast", "c1")
	return definer.SetEndpoint(definer.NewEndpoint("e", "p", "10.0.0.1:80", place, count))
}

// committeeOf returns the state of a committee with an endpoint at revision 1.
func committeeOf(t interface{ Fatal(...any) }) arbiter.State {
	changes := []definer.Change{definer.SetChair(member(0)), definer.SetPool("p"), slots(slotsBefore)}
	for seat := range seats {
		changes = append(changes, definer.SetMember(definer.NewMember(member(seat), keyOf(member(seat)))))
	}
	state := arbiter.NewState(arbiter.Head{}, new(definer.Configuration), keyOf("bootstrap"))
	command := arbiter.NewCommand("first", "root", keyOf("bootstrap"), start, arbiter.NewPropose(0, changes))
	state, _, err := arbiter.Decide(state, command, start)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// event is one command that may happen once all that it needs has happened.
type event struct {
	id     string
	seat   int
	needs  []string
	action arbiter.Action
}

// events returns what two operators, the voters and the chair do: ballots say
// how each seat votes on the loser and the winner.
func events(ballots map[string][]bool) []event {
	all := []event{
		{id: "loser", seat: 1, action: arbiter.NewPropose(1, []definer.Change{slots(slotsLoser)})},
		{id: "winner", seat: 2, action: arbiter.NewPropose(1, []definer.Change{slots(slotsWinner)})},
		{id: "ruling", seat: 0, needs: []string{"loser", "winner"}, action: arbiter.NewRule("winner", true)},
	}
	for _, proposal := range []string{"loser", "winner"} {
		for seat, inFavour := range ballots[proposal] {
			all = append(all, event{
				id: fmt.Sprintf("vote-%s-%d", proposal, seat), seat: seat, needs: []string{proposal},
				action: arbiter.NewCastVote(proposal, inFavour),
			})
		}
	}
	return all
}

// wantedSlots is the outcome that holds in every order: the chair's choice
// where a majority is for it, else the other where a majority is for that.
func wantedSlots(ballots map[string][]bool) int {
	for _, proposal := range []string{"winner", "loser"} {
		inFavour := 0
		for _, vote := range ballots[proposal] {
			if vote {
				inFavour++
			}
		}
		if 2*inFavour > seats && proposal == "winner" {
			return slotsWinner
		}
		if 2*inFavour > seats {
			return slotsLoser
		}
	}
	return slotsBefore
}

// TestChairDecidesInEveryOrder draws the order of two colliding proposals,
// their votes and the chair's ruling; the outcome depends on none of it.
func TestChairDecidesInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ballots := map[string][]bool{}
		for proposal, author := range map[string]int{"loser": 1, "winner": 2} {
			ballots[proposal] = rapid.SliceOfN(rapid.Bool(), seats, seats).Draw(t, proposal)
			ballots[proposal][author] = true
		}
		ballots["winner"][0] = true
		state := committeeOf(t)
		waiting := events(ballots)
		var done []string
		for step := 0; len(waiting) > 0; step++ {
			var able []int
			for index, event := range waiting {
				ready := func(need string) bool { return slices.Contains(done, need) }
				if !slices.ContainsFunc(event.needs, func(need string) bool { return !ready(need) }) {
					able = append(able, index)
				}
			}
			index := rapid.SampledFrom(able).Draw(t, "next")
			event := waiting[index]
			waiting = slices.Delete(waiting, index, index+1)
			done = append(done, event.id)
			now := start.Add(time.Duration(step) * time.Second)
			command := arbiter.NewCommand(event.id, member(event.seat), keyOf(member(event.seat)), now, event.action)
			// A refusal, as of a vote on what is closed, changes nothing.
			state, _, _ = arbiter.Decide(state, command, now)
			if _, known := state.Outcome(event.id); known {
				requireNoEffect(t, state, command, now)
			}
		}
		endpoint, _ := state.Configuration().Endpoint("e")
		if want := wantedSlots(ballots); endpoint.Slots() != want {
			t.Fatalf("slots %d, want %d after %v", endpoint.Slots(), want, done)
		}
	})
}

// requireNoEffect takes in a command again, which must change nothing.
func requireNoEffect(t *rapid.T, state arbiter.State, command arbiter.Command, now time.Time) {
	again, _, err := arbiter.Decide(state, command, now)
	if err != nil || again.Revision() != state.Revision() || len(again.Outcomes()) != len(state.Outcomes()) {
		t.Fatalf("command %s again: %v, revision %d after %d", command.ID(), err, again.Revision(), state.Revision())
	}
}
