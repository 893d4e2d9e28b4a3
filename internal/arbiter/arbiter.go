// Package arbiter implements the rules of the committee, which docs/COMMITTEE.md
// specifies, for package submitter.
//
// The rules are which proposals are open, which conflict, how votes and the
// chair's rulings decide them, and which change becomes the next revision.
//
// The package does no I/O, starts no goroutine, and takes the time as an
// argument: from a [State] and a [Command], [Decide] computes the next State or a
// [CommandError]. Package submitter reads and writes the state in the platform's
// store.
package arbiter

import (
	"crypto/ed25519"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Bounds on the size of the state.
const (
	// MaxProposals is the maximum number of open proposals.
	MaxProposals = 32
	// MaxChanges is the maximum number of changes in one proposal.
	MaxChanges = 64
	// MaxOutcomes is the maximum number of outcomes kept. A command that would
	// evict an outcome younger than OutcomeRetention is refused.
	MaxOutcomes = 512
)

// A command carries the time at which its id was made. A command older than
// MaxCommandAge or further in the future than MaxClockSkew is refused, so that
// outcomes can be dropped after OutcomeRetention and no command applies twice.
const (
	MaxCommandAge    = 2 * time.Minute
	MaxClockSkew     = time.Minute
	OutcomeRetention = 2 * (MaxCommandAge + MaxClockSkew)
)

// Vote is one member's vote on an open proposal.
type Vote struct {
	member   string
	inFavour bool
}

// NewVote returns the vote of member.
func NewVote(member string, inFavour bool) Vote { return Vote{member: member, inFavour: inFavour} }

// Member returns the name of the voter.
func (vote Vote) Member() string { return vote.member }

// InFavour reports whether the vote is for the proposal.
func (vote Vote) InFavour() bool { return vote.inFavour }

// Ruling is the chair's decision on a proposal that conflicts with another or is
// tied. The zero value means that there is none.
type Ruling struct {
	// prevails is true if the chair's last ruling was for the proposal.
	prevails bool
	// yields is the id of the conflicting proposal that the chair's last ruling
	// preferred, or empty; once that is accepted, this one is overruled.
	yields string
}

// NewRuling returns the ruling on a proposal: prevails is true if the chair ruled
// for it; yields is the id of the proposal preferred to it, or empty.
func NewRuling(prevails bool, yields string) Ruling {
	return Ruling{prevails: prevails, yields: yields}
}

// Prevails reports whether the chair ruled for the proposal.
func (ruling Ruling) Prevails() bool { return ruling.prevails }

// Yields returns the id of the proposal that the chair preferred to this one,
// or empty.
func (ruling Ruling) Yields() string { return ruling.yields }

// Proposal is a set of changes to be decided by the committee. It is immutable.
type Proposal struct {
	// id is the id of the command that made the proposal.
	id     string
	author string
	// base is the revision that the author saw.
	base    uint64
	changes []definer.Change
	at      time.Time
	// votes holds at most one vote per member, in the order of the first votes.
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

// ID returns the proposal's id, which is the id of the command that made it.
func (proposal Proposal) ID() string { return proposal.id }

// Author returns the name of the proposing operator.
func (proposal Proposal) Author() string { return proposal.author }

// Base returns the revision that the author saw.
func (proposal Proposal) Base() uint64 { return proposal.base }

// Changes returns the proposed changes; callers must not modify the slice.
func (proposal Proposal) Changes() []definer.Change { return proposal.changes }

// At returns the time of the proposal.
func (proposal Proposal) At() time.Time { return proposal.at }

// Votes returns the votes so far; callers must not modify the slice.
func (proposal Proposal) Votes() []Vote { return proposal.votes }

// Ruling returns the chair's last ruling on the proposal.
func (proposal Proposal) Ruling() Ruling { return proposal.ruling }

// ConflictsWith reports whether both proposals change the same object, or one
// removes an object that the other needs.
func (proposal Proposal) ConflictsWith(other Proposal) bool {
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

// withVote returns a copy with member's vote set to inFavour.
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

// voters returns the members of committee whose vote equals inFavour. Votes of
// former members do not count.
func (proposal Proposal) voters(committee definer.Committee, inFavour bool) []string {
	var voters []string
	for _, vote := range proposal.votes {
		if _, ok := committee.Member(vote.member); ok && vote.inFavour == inFavour {
			voters = append(voters, vote.member)
		}
	}
	return voters
}

// Head is the part of the state that is stored under one key: all that is not
// in the base snapshot. The zero value is the head before the first committee.
type Head struct {
	// base is the revision of the snapshot to which the steps apply.
	base uint64
	// superseded are older bases whose snapshots may still be in the store.
	superseded []uint64
	// steps lead from base to the revision in force, one revision each.
	steps []definer.Step
	// proposals are the open proposals, in the order of their arrival.
	proposals []Proposal
	// outcomes are the outcomes of recent commands and proposals, oldest first.
	outcomes []Outcome
}

// NewHead returns a head.
func NewHead(base uint64, superseded []uint64, steps []definer.Step, proposals []Proposal, outcomes []Outcome) Head {
	return Head{base: base, superseded: superseded, steps: steps, proposals: proposals, outcomes: outcomes}
}

// Base returns the revision of the snapshot to which the steps apply.
func (head Head) Base() uint64 { return head.base }

// Superseded returns older bases whose snapshots may still be in the store;
// callers must not modify the slice.
func (head Head) Superseded() []uint64 { return head.superseded }

// Steps returns the accepted changes since the base; callers must not modify
// the slice.
func (head Head) Steps() []definer.Step { return head.steps }

// Proposals returns the open proposals; callers must not modify the slice.
func (head Head) Proposals() []Proposal { return head.proposals }

// Outcomes returns the outcomes of recent commands; callers must not modify the
// slice.
func (head Head) Outcomes() []Outcome { return head.outcomes }

// Revision returns the revision in force.
func (head Head) Revision() uint64 { return head.base + uint64(len(head.steps)) }

// Compact returns a head without steps whose base is the revision in force. The
// caller must write the snapshot of that revision before it writes the head.
// The snapshot of the previous base is kept for readers that still use the old
// head. The deleted bases are removed from the superseded ones.
func (head Head) Compact(deleted ...uint64) Head {
	isDeleted := func(base uint64) bool { return slices.Contains(deleted, base) }
	head.superseded = append(slices.DeleteFunc(slices.Clone(head.superseded), isDeleted), head.base)
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

// Outcome returns the outcome of the command or proposal called id, if it is
// still kept.
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

// State is a head and the configuration at its revision.
type State struct {
	Head
	configuration *definer.Configuration
	bootstrap     ed25519.PublicKey
}

// NewState returns the state of head; configuration must be at its revision.
// bootstrap is the key that may create the first committee, or nil.
func NewState(head Head, configuration *definer.Configuration, bootstrap ed25519.PublicKey) State {
	return State{Head: head, configuration: configuration, bootstrap: bootstrap}
}

// Configuration returns the configuration in force.
func (state State) Configuration() *definer.Configuration { return state.configuration }

// Outcome returns the outcome of the command or proposal called id, from the
// head or, for an accepted proposal, from the marks of the configuration. The
// marks still have it after the store has lost the head with the outcome.
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

// Rebased returns the state with configuration, of a higher revision, in force.
// It is used after the store was restored from an older copy.
func (state State) Rebased(configuration *definer.Configuration) State {
	state.configuration = configuration
	state.Head = state.Compact()
	state.base = configuration.Revision()
	return state
}

// Compacted returns the state with its head compacted by [Head.Compact].
func (state State) Compacted(deleted ...uint64) State {
	state.Head = state.Compact(deleted...)
	return state
}
