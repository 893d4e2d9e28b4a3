package definer

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Decision is the way in which the committee accepted a proposal.
type Decision int

// The ways to accept. ByBootstrap marks the revision that created the first
// committee.
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

// Origin records who proposed a revision, and when and how it was accepted.
type Origin struct {
	proposal string
	author   string
	at       time.Time
	// voters are the names of the members who voted for the proposal, in order.
	voters   []string
	decision Decision
}

// NewOrigin returns the origin of a revision.
func NewOrigin(proposal, author string, at time.Time, voters []string, decision Decision) Origin {
	return Origin{proposal: proposal, author: author, at: at, voters: slices.Clone(voters), decision: decision}
}

// Proposal returns the proposal's id.
func (origin Origin) Proposal() string { return origin.proposal }

// Author returns the name of the operator who proposed the change.
func (origin Origin) Author() string { return origin.author }

// At returns when the change was accepted.
func (origin Origin) At() time.Time { return origin.at }

// Voters returns the names of the members who voted for the change; callers
// must not modify the slice.
func (origin Origin) Voters() []string { return origin.voters }

// Decision returns the way in which the change was accepted.
func (origin Origin) Decision() Decision { return origin.decision }

// Step is an accepted set of changes, which turns one revision of the
// configuration into the next.
type Step struct {
	// revision is one more than that of the preceding step.
	revision uint64
	// lineage is that of the configuration after the step.
	lineage uint64
	changes []Change
	origin  Origin
}

// NewStep returns a step with the given revision and lineage, such as a decoded
// step.
func NewStep(revision, lineage uint64, changes []Change, origin Origin) Step {
	return Step{revision: revision, lineage: lineage, changes: slices.Clone(changes), origin: origin}
}

// Step returns the step that makes changes to configuration.
func (configuration *Configuration) Step(changes []Change, origin Origin) Step {
	return NewStep(configuration.revision+1, origin.nextLineage(configuration.lineage), changes, origin)
}

// nextLineage returns the lineage of the step with this origin that is applied
// after lineage. Ids of proposals are unique, so the digest need not cover the
// changes themselves.
func (origin Origin) nextLineage(lineage uint64) uint64 {
	digest := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = fmt.Fprintf(digest, "%d %d %s", lineage, origin.at.UnixMilli(), origin.proposal)
	return digest.Sum64()
}

// Revision returns the revision after the step.
func (step Step) Revision() uint64 { return step.revision }

// Lineage returns the lineage of the configuration after the step.
func (step Step) Lineage() uint64 { return step.lineage }

// Changes returns the changes of the step; callers must not modify the slice.
func (step Step) Changes() []Change { return step.changes }

// Origin returns who proposed the step, and when and how it was accepted.
func (step Step) Origin() Origin { return step.origin }

// Mark records the revision that changed an object last.
type Mark struct {
	revision uint64
	origin   Origin
}

// NewMark returns the mark of an object that was changed at revision.
func NewMark(revision uint64, origin Origin) Mark { return Mark{revision: revision, origin: origin} }

// Revision returns the revision that changed the object last.
func (mark Mark) Revision() uint64 { return mark.revision }

// Origin returns who proposed that revision, and when and how it was accepted.
func (mark Mark) Origin() Origin { return mark.origin }

// RemovedMarkRevisions is the number of revisions for which the mark of a
// removed object is kept. A proposal based on an older revision cannot be
// checked for conflicts.
const RemovedMarkRevisions = 1000

// Mark returns the mark of the last change of object, which may be its removal.
// The committee is the object that [Change.ConflictObject] returns for it.
func (configuration *Configuration) Mark(object Object) (Mark, bool) {
	mark, ok := configuration.marks[object]
	return mark, ok
}

// Marks iterates over the marks of all objects, in no particular order.
func (configuration *Configuration) Marks(yield func(Object, Mark) bool) {
	for object, mark := range configuration.marks {
		if !yield(object, mark) {
			return
		}
	}
}

// WithMarks returns a copy with the given marks, as read from a snapshot.
func (configuration *Configuration) WithMarks(marks map[Object]Mark) *Configuration {
	clone := configuration.clone()
	clone.marks = cloneMap(marks)
	return clone
}

// pruneMarks deletes the marks of objects that were removed more than
// RemovedMarkRevisions revisions ago.
func (configuration *Configuration) pruneMarks() {
	for object, mark := range configuration.marks {
		if mark.revision+RemovedMarkRevisions < configuration.revision && !configuration.has(object) {
			delete(configuration.marks, object)
		}
	}
}
