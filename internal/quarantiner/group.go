package quarantiner

import (
	"cmp"
	"context"
	"fmt"

	"k8s.io/klog/v2"
)

// Group divides the requests among quarantiners by their fingerprints. The list of each
// has a key of its own, so that hosts which record crashes of different requests at the
// same time seldom conflict. Make one with NewGroup; all hosts must use the same size.
type Group struct {
	limits  Limits
	members []*Quarantiner
	// next is the index of the member that writes first.
	next int
	// wake makes Run synchronize at once; the members share it.
	wake chan struct{}
}

// NewGroup returns a group of size quarantiners, each with limits, that keep their lists
// in store. Reading it should take no call, since all lists are read in each interval.
func NewGroup(store Store, limits Limits, size int) *Group {
	group := &Group{limits: limits.orDefault(), wake: make(chan struct{}, 1)}
	for index := range size {
		member := &Quarantiner{key: fmt.Sprintf("%s/%02x", storeKey, index), wake: group.wake}
		member.SetStore(store)
		member.SetLimits(limits)
		member.prepare()
		group.members = append(group.members, member)
	}
	return group
}

// member returns the quarantiner of the request with fingerprint.
func (group *Group) member(fingerprint [32]byte) *Quarantiner {
	return group.members[int(fingerprint[0])%len(group.members)]
}

// Admit is [Quarantiner.Admit].
func (group *Group) Admit(ctx context.Context, fingerprint [32]byte) (Admission, error) {
	return group.member(fingerprint).Admit(ctx, fingerprint)
}

// RecordCrash is [Quarantiner.RecordCrash].
func (group *Group) RecordCrash(fingerprint [32]byte, admission Admission) {
	group.member(fingerprint).RecordCrash(fingerprint, admission)
}

// Completed is [Quarantiner.Completed].
func (group *Group) Completed(fingerprint [32]byte) { group.member(fingerprint).Completed(fingerprint) }

// Unsent is [Quarantiner.Unsent].
func (group *Group) Unsent(fingerprint [32]byte) { group.member(fingerprint).Unsent(fingerprint) }

// OutcomeUnknown is [Quarantiner.OutcomeUnknown].
func (group *Group) OutcomeUnknown(fingerprint [32]byte) {
	group.member(fingerprint).OutcomeUnknown(fingerprint)
}

// Run keeps the local copies of the lists up to date and writes the changes of this host
// until ctx is done.
func (group *Group) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := group.limits.pollInterval
		if !group.synchronize(ctx) {
			wait = cmp.Or(group.limits.retryInterval, group.limits.pollInterval)
		}
		await(ctx, group.wake, wait)
	}
	return nil
}

// synchronize reads all lists, then writes those with changes until a write fails; the
// next call then begins with the list after it. It reports whether the store answered.
func (group *Group) synchronize(ctx context.Context) bool {
	for _, member := range group.members {
		if err := member.refresh(ctx); err != nil {
			klog.V(1).InfoS("could not read a list of suspects", "key", member.key, "err", err)
		}
	}
	for range group.members {
		member := group.members[group.next]
		group.next = (group.next + 1) % len(group.members)
		if member.hasChanges() && !member.synchronize(ctx, group.limits) {
			return false
		}
	}
	return true
}
