package arbiter

import (
	"bytes"
	"crypto/ed25519"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Command is an operator's command to the committee. Its action is one of
// [Propose], [CastVote], [Withdraw] and [Rule].
type Command struct {
	// id is unique; a command with the same id is applied once.
	id       string
	operator string
	// key is the public key that the operator's signature was verified with.
	key ed25519.PublicKey
	// issuedAt is the time at which the operator made the id.
	issuedAt time.Time
	action   action
}

// action applies a command and returns the next state and the outcome. Decide
// then closes the proposals that the votes decide.
type action func(state State, command Command, now time.Time) (State, Outcome, error)

// NewCommand returns a command of operator; its signature was verified with
// key.
func NewCommand(id, operator string, key ed25519.PublicKey, issuedAt time.Time, action Action) Command {
	return Command{id: id, operator: operator, key: key, issuedAt: issuedAt, action: action.apply}
}

// ID returns the command's id.
func (command Command) ID() string { return command.id }

// Operator returns the name of the operator who issued the command.
func (command Command) Operator() string { return command.operator }

// Action is the effect of a command: [Propose], [CastVote], [Withdraw] or
// [Rule].
type Action interface {
	apply(state State, command Command, now time.Time) (State, Outcome, error)
}

// Propose opens a proposal with its author's vote in favour.
type Propose struct {
	// base is the revision that the changes were made against.
	base    uint64
	changes []definer.Change
}

// NewPropose returns an action that proposes changes against revision base.
func NewPropose(base uint64, changes []definer.Change) Propose {
	return Propose{base: base, changes: slices.Clone(changes)}
}

// CastVote votes on an open proposal; it replaces the member's earlier vote.
type CastVote struct {
	proposal string
	inFavour bool
}

// NewCastVote returns an action that votes on the proposal called proposal.
func NewCastVote(proposal string, inFavour bool) CastVote {
	return CastVote{proposal: proposal, inFavour: inFavour}
}

// Withdraw closes the operator's own proposal. The chair may also withdraw a
// proposal whose author is no longer a member.
type Withdraw struct{ proposal string }

// NewWithdraw returns an action that withdraws the proposal called proposal.
func NewWithdraw(proposal string) Withdraw { return Withdraw{proposal: proposal} }

// Rule is the chair's decision on a tie or a conflict.
type Rule struct {
	proposal string
	inFavour bool
}

// NewRule returns the chair's ruling for or against proposal.
func NewRule(proposal string, inFavour bool) Rule {
	return Rule{proposal: proposal, inFavour: inFavour}
}

// Decide applies command and returns the next state and the command's outcome,
// or a [CommandError] if the command changes nothing. For a command whose id
// was applied before, it returns the earlier outcome and the same state.
func Decide(state State, command Command, now time.Time) (State, Outcome, error) {
	if outcome, ok := state.Outcome(command.id); ok {
		return state, outcome, nil
	}
	if age := now.Sub(command.issuedAt); age > MaxCommandAge || age < -MaxClockSkew {
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
	state = state.decideProposals(now)
	if settled, ok := state.closingOutcome(outcome.proposal); ok && outcome.result != Withdrawn {
		outcome = NewOutcome(command.id, settled.result, outcome.proposal, settled.revision, now)
	}
	if state, err = state.recordOutcome(outcome, now); err != nil {
		return before, Outcome{}, err
	}
	return state, outcome, nil
}

// authorize checks that the command is signed with the key of a member or,
// before there is a committee, with the bootstrap key.
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

// closingOutcome returns the outcome that closed proposal, if it is closed.
func (state State) closingOutcome(proposal string) (Outcome, bool) {
	for _, outcome := range slices.Backward(state.outcomes) {
		if outcome.proposal == proposal && outcome.id == proposal && outcome.result != Open {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// recordOutcome adds outcome and drops outcomes older than OutcomeRetention.
func (state State) recordOutcome(outcome Outcome, now time.Time) (State, error) {
	expired := func(outcome Outcome) bool { return now.Sub(outcome.at) > OutcomeRetention }
	state.outcomes = slices.DeleteFunc(slices.Clone(state.outcomes), expired)
	if len(state.outcomes) >= MaxOutcomes {
		return state, newCommandError(Full, "%d commands in the last %v", len(state.outcomes), OutcomeRetention)
	}
	if _, ok := state.closingOutcome(outcome.id); !ok {
		state.outcomes = append(state.outcomes, outcome)
	}
	return state, nil
}
