package arbiter

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Tied reports whether every member has voted on proposal and the votes are
// equal, so that only the chair's casting vote can decide it.
func (state State) Tied(proposal Proposal) bool {
	committee := state.configuration.Committee()
	inFavour := len(proposal.voters(committee, true))
	against := len(proposal.voters(committee, false))
	return inFavour == against && inFavour+against == committee.Size()
}

// ConflictingProposals returns the open proposals that conflict with proposal.
func (state State) ConflictingProposals(proposal Proposal) []Proposal {
	var conflicting []Proposal
	for _, other := range state.proposals {
		if proposal.ConflictsWith(other) {
			conflicting = append(conflicting, other)
		}
	}
	return conflicting
}

// ConflictingMarks returns the marks of the objects in proposal that were
// changed after its base revision.
func (state State) ConflictingMarks(proposal Proposal) []definer.Mark {
	var marks []definer.Mark
	for _, change := range proposal.changes {
		mark, ok := state.configuration.Mark(change.ConflictObject())
		if ok && mark.Revision() > proposal.base {
			marks = append(marks, mark)
		}
	}
	return marks
}

// Disputed reports whether proposal conflicts with an open proposal or with an
// accepted change, and the chair has not ruled for it.
func (state State) Disputed(proposal Proposal) bool {
	if proposal.ruling.prevails {
		return false
	}
	return len(state.ConflictingProposals(proposal)) > 0 || len(state.ConflictingMarks(proposal)) > 0
}

// decideProposals accepts or closes every proposal that the votes decide. It
// starts over after each, since an acceptance can decide other proposals.
func (state State) decideProposals(now time.Time) State {
	for index := 0; index < len(state.proposals); index++ {
		proposal := state.proposals[index]
		result := state.verdict(proposal)
		if result == Open {
			continue
		}
		if result == Accepted {
			state = state.accept(proposal, decisionFor(proposal), now)
		} else {
			state = state.close(proposal, result, now)
		}
		index = -1
	}
	return state
}

func decisionFor(proposal Proposal) definer.Decision {
	if proposal.ruling.prevails {
		return definer.ByRuling
	}
	return definer.ByMajority
}

// verdict returns the result of the votes on proposal.
func (state State) verdict(proposal Proposal) Result {
	committee := state.configuration.Committee()
	if committee.IsMajority(len(proposal.voters(committee, false))) {
		return Rejected
	}
	if !committee.IsMajority(len(proposal.voters(committee, true))) || state.Disputed(proposal) {
		return Open
	}
	if _, err := state.configuration.Apply(proposal.changes...); err != nil {
		return Unfit
	}
	return Accepted
}

// accept makes proposal the next revision, or closes it as Unfit if its changes
// can't be applied.
func (state State) accept(proposal Proposal, decision definer.Decision, now time.Time) State {
	voters := proposal.voters(state.configuration.Committee(), true)
	origin := definer.NewOrigin(proposal.id, proposal.author, now, voters, decision)
	step := state.configuration.Step(proposal.changes, origin)
	next, err := state.configuration.ApplyStep(step)
	if err != nil {
		return state.close(proposal, Unfit, now)
	}
	state.configuration = next
	state.steps = append(state.steps, step)
	state = state.close(proposal, Accepted, now)
	for _, other := range state.proposals {
		if other.ruling.yields == proposal.id {
			state = state.close(other, Overruled, now)
		}
	}
	return state
}

// close removes proposal from the open ones and records its result.
func (state State) close(proposal Proposal, result Result, now time.Time) State {
	same := func(other Proposal) bool { return other.id == proposal.id }
	state.proposals = slices.DeleteFunc(slices.Clone(state.proposals), same)
	outcome := NewOutcome(proposal.id, result, proposal.id, state.Revision(), now)
	state.outcomes = append(slices.Clone(state.outcomes), outcome)
	return state
}

// replace replaces the open proposal with the same id.
func (state State) replace(proposal Proposal) State {
	state.proposals = slices.Clone(state.proposals)
	for index := range state.proposals {
		if state.proposals[index].id == proposal.id {
			state.proposals[index] = proposal
		}
	}
	return state
}
