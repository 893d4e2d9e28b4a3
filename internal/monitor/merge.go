package monitor

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// maxMembers limits each kind of record in a table, in case peers report hosts
// that do not exist.
const maxMembers = 4096

// Merge merges a digest from a peer into the table.
func (table *Table) Merge(now time.Time, digest Digest) {
	table.compareChecksum(digest)
	for _, member := range digest.members {
		if member.Name() == table.self.Name() {
			table.refute(member)
			continue
		}
		table.mergeMember(now, digest, member)
	}
	for _, partition := range digest.partitions {
		table.setPartition(partition)
	}
	for _, endpoint := range digest.endpoints {
		table.mergeEndpoint(now, endpoint)
	}
}

// refute handles a record about this host, and refutes it if it is wrong.
func (table *Table) refute(member Member) {
	self := table.self.Member
	switch {
	case member.Incarnation() > self.Incarnation():
		table.addEvent(self.Name(), "another start of this host is known; stop one of them, or mend this host's clock")
	case member.Incarnation() == self.Incarnation() && member.After(self):
		table.self.Member = NewMember(self.Host, member.refutation+1)
		table.self.sequence = table.advance()
		table.addEvent(self.Name(), "contradicts that it is "+member.State().String())
	}
}

// mergeMember merges a record about another host.
func (table *Table) mergeMember(now time.Time, digest Digest, member Member) {
	known, ok := table.members[member.Name()]
	switch {
	case !ok:
		if member.State() != definer.Gone && len(table.members) < maxMembers {
			table.set(now, member)
		}
	case !member.After(known.Member):
		known.listedOnly = false
		table.dispute(now, digest.sender, known, member)
	case known.listedOnly || !table.inRegion(member.Host) || isSelfReported(known, member):
		table.mergeRefutation(now, known, member)
		table.set(now, member)
	default:
		table.mergeVerdict(now, digest, known, member)
	}
}

// isSelfReported reports whether the update must come from the host itself: it
// has a later incarnation or a higher refutation.
func isSelfReported(known *entry, member Member) bool {
	return member.Incarnation() > known.Incarnation() || member.refutation > known.refutation
}

// mergeRefutation raises the tolerance for a host that was wrongly suspected.
func (table *Table) mergeRefutation(now time.Time, known *entry, member Member) {
	target, ok := table.targets[known.Name()]
	if ok && member.Incarnation() == known.Incarnation() && member.State() == definer.Live {
		target.raiseTolerance(now)
	}
}

// mergeVerdict merges the state that the sender determined for a third host of
// this region. Only a new update counts; a page of the full table makes this host
// probe the third host itself. An update that a live host is gone only makes it
// suspect here, so that it can refute: when a network partition heals, both
// sides still hold old states of each other.
func (table *Table) mergeVerdict(now time.Time, digest Digest, known *entry, member Member) {
	sender, ok := table.members[digest.sender]
	switch {
	case !ok || !table.inRegion(sender.Host):
	case digest.antiEntropy:
		table.probeSoon(now, known.Name())
	case known.State() == definer.Live:
		table.set(now, member.withState(definer.Suspect))
	case known.State() == definer.Leaving:
		table.set(now, member)
	}
}

// dispute schedules a correction for a sender that holds a gone host as
// present, and probes that host at once if this host is responsible for it.
func (table *Table) dispute(now time.Time, sender string, known *entry, member Member) {
	if known.State() != definer.Gone || member.State() == definer.Gone {
		return
	}
	table.addDisputed(sender, known.Name())
	if table.isPredecessorOf(known) {
		table.probeSoon(now, known.Name())
	}
}

// setPartition merges a report on a region if it is newer than the one held here.
func (table *Table) setPartition(partition Partition) {
	key := [2]string{partition.from, partition.to}
	known, ok := table.partitions[key]
	if ok && known.version >= partition.version {
		return
	}
	if table.partitions == nil {
		table.partitions = make(map[[2]string]*partitionEntry)
	}
	if len(table.partitions) >= maxMembers {
		return
	}
	table.partitions[key] = &partitionEntry{Partition: partition, sequence: table.advance()}
	if partition.from == table.self.Place().Region() && partition.active != (ok && known.active) {
		table.version++
		table.addEvent(partition.to, map[bool]string{true: "region is out of reach", false: "region is reached again"}[partition.active])
	}
}
