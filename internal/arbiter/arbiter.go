// Package arbiter decides for the committee: which proposals are open, which
// collide, what votes and the chair's rulings make of them, and which change
// becomes the next revision. docs/COMMITTEE.md is its rule book.
//
// It works on plain values: a [State] and a [Command] give the next State or a
// typed [CommandError]. Package submitter joins it to the platform's store.
package arbiter

import (
	"crypto/ed25519"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The bounds of what the state may hold.
const (
	// MostProposals is how many proposals may be open at once.
	MostProposals = 32
	// MostChanges is how many changes one proposal may hold.
	MostChanges = 64
	// MostOutcomes is how many outcomes are remembered. A command that would
	// push out one younger than MemoryOfIDs is refused.
	MostOutcomes = 512
)

// Commands carry the time at which their id was made. One older than MostAge
// or further ahead than MostSkew is refused, so that an id may be forgotten
// after MemoryOfIDs without danger that it applies twice.
const (
	MostAge     = 2 * time.Minute
	MostSkew    = time.Minute
	MemoryOfIDs = 2 * (MostAge + MostSkew)
)

// Vote is one member's vote on an open proposal.
type Vote struct {
	member   string
	inFavour bool
}

// NewVote returns the vote of member.
func NewVote(member string, inFavour bool) Vote { return Vote{member: member, inFavour: inFavour} }

// Member returns who voted.
func (vote Vote) Member() string { return vote.member }

// InFavour reports whether the vote is for the proposal.
func (vote Vote) InFavour() bool { return vote.inFavour }

// Ruling is what the chair decided on a proposal that collides. The zero value
// is no ruling.
type Ruling struct {
	// prevails is true where the chair's last ruling was for the proposal.
	prevails bool
	// yields names the proposal that the chair's last ruling put before this
	// one; once that is accepted, this one is overruled.
	yields string
}

// NewRuling returns a ruling for a proposal, or one that makes it yield to
// another.
func NewRuling(prevails bool, yields string) Ruling {
	return Ruling{prevails: prevails, yields: yields}
}

// Prevails reports whether the chair ruled for the proposal.
func (ruling Ruling) Prevails() bool { return ruling.prevails }

// Yields returns the id of the proposal that the chair put before this one, or
// empty.
func (ruling Ruling) Yields() string { return ruling.yields }

// Proposal is a change that waits for the committee. It is immutable.
type Proposal struct {
	// id is that of the command that proposed it.
	id     string
	author string
	// base is the revision that the author saw.
	base    uint64
	changes []definer.Change
	at      time.Time
	// votes holds at most one vote of each member, in the order of their
	// first vote.
	votes  []Vote
	ruling Ruling
}

// NewProposal returns an open proposal.
func NewProposal(id, author string, base uint64, changes []definer.Change, at time.Time, votes []Vote, ruling Ruling) Proposal {
	return Proposal{
		id: id, author: author, base: base, changes: slices.Clone(changes),
		at: at, votes: slices.Clone(votes), ruling: ruling,
	}
}

// ID returns the proposal's id, which is that of the command that made it.
func (proposal Proposal) ID() string { return proposal.id }

// Author returns who proposed the change.
func (proposal Proposal) Author() string { return proposal.author }

// Base returns the revision that the author saw.
func (proposal Proposal) Base() uint64 { return proposal.base }

// Changes returns what would change; callers must not change it.
func (proposal Proposal) Changes() []definer.Change { return proposal.changes }

// At returns when the change was proposed.
func (proposal Proposal) At() time.Time { return proposal.at }

// Votes returns the votes so far; callers must not change it.
func (proposal Proposal) Votes() []Vote { return proposal.votes }

// Ruling returns what the chair ruled.
func (proposal Proposal) Ruling() Ruling { return proposal.ruling }

// Collides reports whether both proposals touch one object, or one removes
// what the other needs.
func (proposal Proposal) Collides(other Proposal) bool {
	if proposal.id == other.id {
		return false
	}
	for _, change := range proposal.changes {
		if slices.ContainsFunc(other.changes, change.ConflictsWith) {
			return true
		}
	}
	return false
}

// withVote returns a copy in which member's vote is inFavour.
func (proposal Proposal) withVote(member string, inFavour bool) Proposal {
	proposal.votes = slices.Clone(proposal.votes)
	for index, vote := range proposal.votes {
		if vote.member == member {
			proposal.votes[index].inFavour = inFavour
			return proposal
		}
	}
	proposal.votes = append(proposal.votes, NewVote(member, inFavour))
	return proposal
}

// voters returns the members of committee that voted inFavour or not. A vote
// of one who has left the committee doesn't count.
func (proposal Proposal) voters(committee definer.Committee, inFavour bool) []string {
	var voters []string
	for _, vote := range proposal.votes {
		if _, ok := committee.Member(vote.member); ok && vote.inFavour == inFavour {
			voters = append(voters, vote.member)
		}
	}
	return voters
}

// Head is what one value of the store holds: all that isn't in the base
// snapshot. The zero value is the head before the first committee.
type Head struct {
	// base is the revision of the snapshot that steps follow on.
	base uint64
	// superseded are earlier bases whose snapshots may still be in the store.
	superseded []uint64
	// steps lead from base to the revision in force, each to the next revision.
	steps []definer.Step
	// proposals are open, in the order of their arrival.
	proposals []Proposal
	// outcomes are of recent commands and proposals, oldest first.
	outcomes []Outcome
}

// NewHead returns a head.
func NewHead(base uint64, superseded []uint64, steps []definer.Step, proposals []Proposal, outcomes []Outcome) Head {
	return Head{base: base, superseded: superseded, steps: steps, proposals: proposals, outcomes: outcomes}
}

// Base returns the revision of the snapshot that the steps follow on.
func (head Head) Base() uint64 { return head.base }

// Superseded returns earlier bases whose snapshots may still be in the store;
// callers must not change it.
func (head Head) Superseded() []uint64 { return head.superseded }

// Steps returns what was accepted since the base; callers must not change it.
func (head Head) Steps() []definer.Step { return head.steps }

// Proposals returns the open proposals; callers must not change it.
func (head Head) Proposals() []Proposal { return head.proposals }

// Outcomes returns the outcomes of recent commands; callers must not change it.
func (head Head) Outcomes() []Outcome { return head.outcomes }

// Revision returns the revision in force.
func (head Head) Revision() uint64 { return head.base + uint64(len(head.steps)) }

// Compact returns a head whose base is the revision in force. Its caller
// writes the base snapshot of that revision before this head. The snapshot of
// the last base stays for readers on their way; older ones that the caller has
// deleted are forgotten.
func (head Head) Compact(deleted ...uint64) Head {
	gone := func(base uint64) bool { return slices.Contains(deleted, base) }
	head.superseded = append(slices.DeleteFunc(slices.Clone(head.superseded), gone), head.base)
	head.base = head.Revision()
	head.steps = nil
	return head
}

// Proposal returns the open proposal called id.
func (head Head) Proposal(id string) (Proposal, bool) {
	for _, proposal := range head.proposals {
		if proposal.id == id {
			return proposal, true
		}
	}
	return Proposal{}, false
}

// Outcome returns the outcome of the command or proposal called id, as far
// back as the head remembers.
func (head Head) Outcome(id string) (Outcome, bool) {
	for _, outcome := range slices.Backward(head.outcomes) {
		if outcome.id == id {
			return outcome, true
		}
	}
	if proposal, ok := head.Proposal(id); ok {
		return NewOutcome(id, Open, id, head.Revision(), proposal.at), true
	}
	for _, step := range head.steps {
		if step.Origin().Proposal() == id {
			return NewOutcome(id, Accepted, id, step.Revision(), step.Origin().At()), true
		}
	}
	return Outcome{}, false
}

// State is a head with the configuration in force at its revision.
type State struct {
	Head
	configuration *definer.Configuration
	bootstrap     ed25519.PublicKey
}

// NewState returns the state of head, whose revision is configuration's.
// bootstrap is the key that may make the first committee, or nil.
func NewState(head Head, configuration *definer.Configuration, bootstrap ed25519.PublicKey) State {
	return State{Head: head, configuration: configuration, bootstrap: bootstrap}
}

// Configuration returns the configuration in force.
func (state State) Configuration() *definer.Configuration { return state.configuration }

// Outcome returns the outcome of the command or proposal called id, as far back
// as the head remembers or an accepted proposal shows in the configuration.
// The latter also holds where the store lost the head that had the id.
func (state State) Outcome(id string) (Outcome, bool) {
	if outcome, ok := state.Head.Outcome(id); ok {
		return outcome, true
	}
	for _, mark := range state.configuration.Marks {
		if mark.Origin().Proposal() == id {
			return NewOutcome(id, Accepted, id, mark.Revision(), mark.Origin().At()), true
		}
	}
	return Outcome{}, false
}

// Rebased returns the state with configuration in force instead, which is of a
// higher revision: for a store that went back to an older value.
func (state State) Rebased(configuration *definer.Configuration) State {
	state.configuration = configuration
	state.Head = state.Compact()
	state.base = configuration.Revision()
	return state
}

// Compacted returns the state with the steps dropped, as [Head.Compact] says.
func (state State) Compacted(deleted ...uint64) State {
	state.Head = state.Compact(deleted...)
	return state
}
