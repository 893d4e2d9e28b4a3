package arbiter

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

func (propose Propose) apply(state State, command Command, now time.Time) (State, Outcome, error) {
	if err := propose.check(state); err != nil {
		return state, Outcome{}, err
	}
	next, err := state.configuration.Apply(propose.changes...)
	if err != nil {
		return state, Outcome{}, &CommandError{kind: BadChange, detail: "the change can't be made", cause: err}
	}
	votes := []Vote{NewVote(command.operator, true)}
	proposal := NewProposal(command.id, command.operator, propose.base, propose.changes, now, votes, Ruling{})
	state.proposals = append(state.proposals, proposal)
	if state.Revision() == 0 {
		if next.Committee().Size() == 0 {
			return state, Outcome{}, newCommandError(BadChange, "the first proposal must make the committee: create member NAME key KEY, chair NAME")
		}
		state = state.accept(proposal, definer.ByBootstrap, now)
	}
	return state, NewOutcome(command.id, Open, command.id, state.Revision(), now), nil
}

// check validates the number of changes, the base and the number of open
// proposals.
func (propose Propose) check(state State) error {
	if len(propose.changes) == 0 || len(propose.changes) > MaxChanges {
		return newCommandError(BadChange, "%d changes in one proposal; give 1 to %d", len(propose.changes), MaxChanges)
	}
	if propose.base > state.Revision() {
		return newCommandError(BadBase, "revision %d is not accepted yet; %d is in force", propose.base, state.Revision())
	}
	if propose.base+definer.RemovedMarkRevisions < state.Revision() {
		return newCommandError(BadBase, "revision %d is too old; %d is in force", propose.base, state.Revision())
	}
	if len(state.proposals) >= MaxProposals {
		return newCommandError(Full, "%d proposals are open", len(state.proposals))
	}
	return nil
}

func (castVote CastVote) apply(state State, command Command, now time.Time) (State, Outcome, error) {
	proposal, err := state.openProposal(castVote.proposal)
	if err != nil {
		return state, Outcome{}, err
	}
	state = state.replace(proposal.withVote(command.operator, castVote.inFavour))
	return state, NewOutcome(command.id, Voted, proposal.id, state.Revision(), now), nil
}

func (withdraw Withdraw) apply(state State, command Command, now time.Time) (State, Outcome, error) {
	proposal, err := state.openProposal(withdraw.proposal)
	if err != nil {
		return state, Outcome{}, err
	}
	if !state.mayWithdraw(proposal, command.operator) {
		return state, Outcome{}, newCommandError(NotAuthor, "proposal %s is by %s", proposal.id, proposal.author)
	}
	state = state.close(proposal, Withdrawn, now)
	return state, NewOutcome(command.id, Withdrawn, proposal.id, state.Revision(), now), nil
}

// mayWithdraw reports whether operator is the author or, if the author is no
// longer a member, the chair.
func (state State) mayWithdraw(proposal Proposal, operator string) bool {
	committee := state.configuration.Committee()
	if _, isMember := committee.Member(proposal.author); isMember {
		return operator == proposal.author
	}
	return operator == committee.Chair()
}

func (rule Rule) apply(state State, command Command, now time.Time) (State, Outcome, error) {
	if chair := state.configuration.Committee().Chair(); command.operator != chair {
		return state, Outcome{}, newCommandError(NotChair, "%s is not the chair; %s is", command.operator, chair)
	}
	if next, ok := rule.confirmAccepted(state, now); ok {
		outcome, _ := state.Outcome(rule.proposal)
		return next, NewOutcome(command.id, Accepted, rule.proposal, outcome.revision, now), nil
	}
	proposal, err := state.openProposal(rule.proposal)
	if err != nil {
		return state, Outcome{}, err
	}
	tied, disputed := state.Tied(proposal), state.Disputed(proposal)
	if !tied && !disputed {
		return state, Outcome{}, newCommandError(NothingToRule, "proposal %s is neither tied nor does it collide", proposal.id)
	}
	if _, err := state.configuration.Apply(proposal.changes...); rule.inFavour && err != nil {
		return state, Outcome{}, &CommandError{kind: BadChange, detail: "the change can't be made", cause: err}
	}
	result := Ruled
	switch {
	case !rule.inFavour && tied:
		result = Rejected
		state = state.close(proposal, Rejected, now)
	case !rule.inFavour:
		result = Overruled
		state = state.close(proposal, Overruled, now)
	default:
		state = state.prefer(proposal, command.operator, tied, now)
	}
	return state, NewOutcome(command.id, result, proposal.id, state.Revision(), now), nil
}

// confirmAccepted handles a ruling for a proposal that is already accepted: it
// closes the open proposals that conflict with it.
func (rule Rule) confirmAccepted(state State, now time.Time) (State, bool) {
	closed := false
	for _, proposal := range state.proposals {
		for _, mark := range state.ConflictingMarks(proposal) {
			if rule.inFavour && mark.Origin().Proposal() == rule.proposal {
				closed = true
				state = state.close(proposal, Overruled, now)
				break
			}
		}
	}
	return state, closed
}

// prefer rules for proposal over the proposals that conflict with it, adds the
// chair's vote, and accepts it if that vote breaks a tie. The others stay open
// until it is accepted, so that they can still be accepted if it is rejected.
func (state State) prefer(proposal Proposal, chair string, tied bool, now time.Time) State {
	for _, other := range state.ConflictingProposals(proposal) {
		other.ruling = NewRuling(false, proposal.id)
		state = state.replace(other)
	}
	proposal = proposal.withVote(chair, true)
	proposal.ruling = NewRuling(true, "")
	state = state.replace(proposal)
	if tied {
		state = state.accept(proposal, definer.ByCastingVote, now)
	}
	return state
}

// openProposal returns the open proposal called id, or an error with its
// outcome.
func (state State) openProposal(id string) (Proposal, error) {
	if proposal, ok := state.Proposal(id); ok {
		return proposal, nil
	}
	if outcome, ok := state.Outcome(id); ok {
		return Proposal{}, newCommandError(Closed, "%s", outcome)
	}
	return Proposal{}, newCommandError(Closed, "there is no open proposal %s", id)
}
