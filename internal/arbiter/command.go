package arbiter

import (
	"bytes"
	"crypto/ed25519"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Command is what an operator asks the committee's state to take in. Its
// action is one of the four functions below it.
type Command struct {
	// id is unique; the same id never applies twice.
	id       string
	operator string
	// key is the public key that the operator's signature was verified with.
	key ed25519.PublicKey
	// made is when the operator made the id.
	made   time.Time
	action action
}

// action takes a command in and returns the next state with what became of
// the command; it leaves settling to Decide.
type action func(state State, command Command, now time.Time) (State, Outcome, error)

// NewCommand returns a command of operator, whose signature was verified with
// key.
func NewCommand(id, operator string, key ed25519.PublicKey, made time.Time, action Action) Command {
	return Command{id: id, operator: operator, key: key, made: made, action: action.take}
}

// ID returns the command's id.
func (command Command) ID() string { return command.id }

// Operator returns who issued the command.
func (command Command) Operator() string { return command.operator }

// Action is what a command does: [Propose], [CastVote], [Withdraw] or [Rule].
type Action interface {
	take(state State, command Command, now time.Time) (State, Outcome, error)
}

// Propose opens a proposal with its author's vote in favour.
type Propose struct {
	// base is the revision that the author saw.
	base    uint64
	changes []definer.Change
}

// NewPropose returns the action of proposing changes against revision base.
func NewPropose(base uint64, changes []definer.Change) Propose {
	return Propose{base: base, changes: slices.Clone(changes)}
}

// CastVote votes on an open proposal; a later vote replaces an earlier one.
type CastVote struct {
	proposal string
	inFavour bool
}

// NewCastVote returns the action of voting on proposal.
func NewCastVote(proposal string, inFavour bool) CastVote {
	return CastVote{proposal: proposal, inFavour: inFavour}
}

// Withdraw closes a proposal of one's own.
type Withdraw struct{ proposal string }

// NewWithdraw returns the action of withdrawing proposal.
func NewWithdraw(proposal string) Withdraw { return Withdraw{proposal: proposal} }

// Rule is the chair's decision on a tie or a collision.
type Rule struct {
	proposal string
	inFavour bool
}

// NewRule returns the chair's ruling for or against proposal.
func NewRule(proposal string, inFavour bool) Rule {
	return Rule{proposal: proposal, inFavour: inFavour}
}

// Decide takes command in. It returns the next state and what became of the
// command, or an [CommandError] where the command changes nothing. A command whose id
// was taken in before gives its earlier outcome and the same state.
func Decide(state State, command Command, now time.Time) (State, Outcome, error) {
	if outcome, ok := state.Outcome(command.id); ok {
		return state, outcome, nil
	}
	if age := now.Sub(command.made); age > MostAge || age < -MostSkew {
		return state, Outcome{}, newCommandError(BadTime, "command %s is %v old", command.id, age.Round(time.Second))
	}
	if err := state.authorize(command); err != nil {
		return state, Outcome{}, err
	}
	before := state
	state.proposals = slices.Clone(state.proposals)
	state.steps = slices.Clone(state.steps)
	state, outcome, err := command.action(state, command, now)
	if err != nil {
		return before, Outcome{}, err
	}
	state = state.settle(now)
	if settled, ok := state.settled(outcome.proposal); ok && outcome.result != Withdrawn {
		outcome = NewOutcome(command.id, settled.result, outcome.proposal, settled.revision, now)
	}
	if state, err = state.remember(outcome, now); err != nil {
		return before, Outcome{}, err
	}
	return state, outcome, nil
}

// authorize checks that the command comes from a member with the member's key,
// or, before there is a committee, from the holder of the bootstrap key.
func (state State) authorize(command Command) error {
	if state.Revision() == 0 {
		if len(state.bootstrap) > 0 && bytes.Equal(state.bootstrap, command.key) {
			return nil
		}
		return newCommandError(NotMember, "there is no committee yet and %s did not sign with the bootstrap key", command.operator)
	}
	member, ok := state.configuration.Committee().Member(command.operator)
	if !ok || !bytes.Equal(member.Key(), command.key) {
		return newCommandError(NotMember, "%s is not a member with that key", command.operator)
	}
	return nil
}

// settled returns the outcome that closed proposal, if it is closed.
func (state State) settled(proposal string) (Outcome, bool) {
	for _, outcome := range slices.Backward(state.outcomes) {
		if outcome.proposal == proposal && outcome.id == proposal && outcome.result != Open {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// remember adds outcome and drops those past MemoryOfIDs.
func (state State) remember(outcome Outcome, now time.Time) (State, error) {
	old := func(outcome Outcome) bool { return now.Sub(outcome.at) > MemoryOfIDs }
	state.outcomes = slices.DeleteFunc(slices.Clone(state.outcomes), old)
	if len(state.outcomes) >= MostOutcomes {
		return state, newCommandError(Full, "%d commands in the last %v", len(state.outcomes), MemoryOfIDs)
	}
	if _, ok := state.settled(outcome.id); !ok {
		state.outcomes = append(state.outcomes, outcome)
	}
	return state, nil
}
