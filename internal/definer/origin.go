package definer

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Decision is how the committee came to accept a proposal.
type Decision int

// The ways to accept. Bootstrap made the first committee.
const (
	ByMajority Decision = iota
	ByCastingVote
	ByRuling
	ByBootstrap
)

// String returns the decision in kebab case.
func (decision Decision) String() string {
	return [...]string{"majority", "casting-vote", "chairs-ruling", "bootstrap"}[decision]
}

// Origin says by whom, when and how a revision was accepted.
type Origin struct {
	proposal string
	author   string
	at       time.Time
	// voters are those who voted for the proposal, in order.
	voters   []string
	decision Decision
}

// NewOrigin returns the origin of a revision.
func NewOrigin(proposal, author string, at time.Time, voters []string, decision Decision) Origin {
	return Origin{proposal: proposal, author: author, at: at, voters: slices.Clone(voters), decision: decision}
}

// Proposal returns the id of the proposal.
func (origin Origin) Proposal() string { return origin.proposal }

// Author returns who proposed the change.
func (origin Origin) Author() string { return origin.author }

// At returns when the change was accepted.
func (origin Origin) At() time.Time { return origin.at }

// Voters returns who voted for the change; callers must not change it.
func (origin Origin) Voters() []string { return origin.voters }

// Decision returns how the change came to be accepted.
func (origin Origin) Decision() Decision { return origin.decision }

// Step is an accepted change: what leads to revision from the one before.
type Step struct {
	// revision is one more than that of the step before.
	revision uint64
	// lineage is that of the configuration that the step leads to.
	lineage uint64
	changes []Change
	origin  Origin
}

// NewStep returns the step to revision and lineage, as read from elsewhere.
func NewStep(revision, lineage uint64, changes []Change, origin Origin) Step {
	return Step{revision: revision, lineage: lineage, changes: slices.Clone(changes), origin: origin}
}

// Step returns the step that makes changes to configuration.
func (configuration *Configuration) Step(changes []Change, origin Origin) Step {
	return NewStep(configuration.revision+1, origin.lineageAfter(configuration.lineage), changes, origin)
}

// lineageAfter returns the lineage of what follows on lineage by this origin.
// Ids of proposals are unique, so they stand for their changes.
func (origin Origin) lineageAfter(lineage uint64) uint64 {
	digest := fnv.New64a()
	// Writes to a digest never fail.
	_, _ = fmt.Fprintf(digest, "%d %d %s", lineage, origin.at.UnixMilli(), origin.proposal)
	return digest.Sum64()
}

// Revision returns the revision that the step leads to.
func (step Step) Revision() uint64 { return step.revision }

// Lineage returns the lineage of the configuration that the step leads to.
func (step Step) Lineage() uint64 { return step.lineage }

// Changes returns what the step changes; callers must not change it.
func (step Step) Changes() []Change { return step.changes }

// Origin returns by whom, when and how the step was accepted.
func (step Step) Origin() Origin { return step.origin }

// Mark says which revision changed an object last.
type Mark struct {
	revision uint64
	origin   Origin
}

// NewMark returns the mark of a change at revision.
func NewMark(revision uint64, origin Origin) Mark { return Mark{revision: revision, origin: origin} }

// Revision returns the revision that changed the object last.
func (mark Mark) Revision() uint64 { return mark.revision }

// Origin returns how that revision was accepted.
func (mark Mark) Origin() Origin { return mark.origin }

// MemoryOfRemoved is for how many revisions a configuration remembers that an
// object was removed. A proposal against an older revision can't be judged.
const MemoryOfRemoved = 1000

// Mark returns which revision changed object last, removals included. For the
// committee ask with the object that [Change.Touches] names.
func (configuration *Configuration) Mark(object Object) (Mark, bool) {
	mark, ok := configuration.marks[object]
	return mark, ok
}

// Marks calls yield with the mark of each object, in no order.
func (configuration *Configuration) Marks(yield func(Object, Mark) bool) {
	for object, mark := range configuration.marks {
		if !yield(object, mark) {
			return
		}
	}
}

// WithMarks returns a copy with the marks of a snapshot.
func (configuration *Configuration) WithMarks(marks map[Object]Mark) *Configuration {
	clone := configuration.clone()
	clone.marks = cloneMap(marks)
	return clone
}

// forget drops the marks of objects removed long ago.
func (configuration *Configuration) forget() {
	for object, mark := range configuration.marks {
		if mark.revision+MemoryOfRemoved < configuration.revision && !configuration.has(object) {
			delete(configuration.marks, object)
		}
	}
}
