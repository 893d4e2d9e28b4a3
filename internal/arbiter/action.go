package arbiter

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

func (propose Propose) take(state State, command Command, now time.Time) (State, Outcome, error) {
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

// check looks at the proposal's bounds and base.
func (propose Propose) check(state State) error {
	if len(propose.changes) == 0 || len(propose.changes) > MostChanges {
		return newCommandError(BadChange, "%d changes in one proposal; give 1 to %d", len(propose.changes), MostChanges)
	}
	if propose.base > state.Revision() {
		return newCommandError(BadBase, "revision %d is not accepted yet; %d is in force", propose.base, state.Revision())
	}
	if propose.base+definer.RemovedMarkRevisions < state.Revision() {
		return newCommandError(BadBase, "revision %d is too old; %d is in force", propose.base, state.Revision())
	}
	if len(state.proposals) >= MostProposals {
		return newCommandError(Full, "%d proposals are open", len(state.proposals))
	}
	return nil
}

func (castVote CastVote) take(state State, command Command, now time.Time) (State, Outcome, error) {
	proposal, err := state.open(castVote.proposal)
	if err != nil {
		return state, Outcome{}, err
	}
	state = state.replace(proposal.withVote(command.operator, castVote.inFavour))
	return state, NewOutcome(command.id, Voted, proposal.id, state.Revision(), now), nil
}

func (withdraw Withdraw) take(state State, command Command, now time.Time) (State, Outcome, error) {
	proposal, err := state.open(withdraw.proposal)
	if err != nil {
		return state, Outcome{}, err
	}
	if !state.mayWithdraw(proposal, command.operator) {
		return state, Outcome{}, newCommandError(NotAuthor, "proposal %s is by %s", proposal.id, proposal.author)
	}
	state = state.close(proposal, Withdrawn, now)
	return state, NewOutcome(command.id, Withdrawn, proposal.id, state.Revision(), now), nil
}

// mayWithdraw: the author may, and the chair once the author has no seat.
func (state State) mayWithdraw(proposal Proposal, operator string) bool {
	committee := state.configuration.Committee()
	if _, seated := committee.Member(proposal.author); seated {
		return operator == proposal.author
	}
	return operator == committee.Chair()
}

func (rule Rule) take(state State, command Command, now time.Time) (State, Outcome, error) {
	if chair := state.configuration.Committee().Chair(); command.operator != chair {
		return state, Outcome{}, newCommandError(NotChair, "%s is not the chair; %s is", command.operator, chair)
	}
	if next, ok := rule.confirm(state, now); ok {
		outcome, _ := state.Outcome(rule.proposal)
		return next, NewOutcome(command.id, Accepted, rule.proposal, outcome.revision, now), nil
	}
	proposal, err := state.open(rule.proposal)
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

// confirm closes the open proposals that contest an accepted one, when the
// chair rules for what is in force already.
func (rule Rule) confirm(state State, now time.Time) (State, bool) {
	contested := false
	for _, proposal := range state.proposals {
		for _, mark := range state.Overtaken(proposal) {
			if rule.inFavour && mark.Origin().Proposal() == rule.proposal {
				contested = true
				state = state.close(proposal, Overruled, now)
				break
			}
		}
	}
	return state, contested
}

// prefer makes proposal prevail over its rivals with the chair's vote, and
// accepts it where that vote breaks a tie. The rivals stay open until it is
// accepted: should the votes reject it, they are as if it had never been.
func (state State) prefer(proposal Proposal, chair string, tied bool, now time.Time) State {
	for _, rival := range state.Rivals(proposal) {
		rival.ruling = NewRuling(false, proposal.id)
		state = state.replace(rival)
	}
	proposal = proposal.withVote(chair, true)
	proposal.ruling = NewRuling(true, "")
	state = state.replace(proposal)
	if tied {
		state = state.accept(proposal, definer.ByCastingVote, now)
	}
	return state
}

// open returns the open proposal called id, or says what became of it.
func (state State) open(id string) (Proposal, error) {
	if proposal, ok := state.Proposal(id); ok {
		return proposal, nil
	}
	if outcome, ok := state.Outcome(id); ok {
		return Proposal{}, newCommandError(Closed, "%s", outcome)
	}
	return Proposal{}, newCommandError(Closed, "there is no open proposal %s", id)
}
