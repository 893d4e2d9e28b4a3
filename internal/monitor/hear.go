package monitor

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// maxMembers bounds the hosts that a table holds, against rumours of hosts
// that do not exist.
const maxMembers = 4096

// Hear takes in what a peer told.
func (table *Table) Hear(now time.Time, digest Digest) {
	table.compare(digest)
	for _, member := range digest.members {
		if member.Name() == table.self.Name() {
			table.hearOfSelf(member)
			continue
		}
		table.hear(now, digest, member)
	}
	for _, cut := range digest.cuts {
		table.setCut(cut)
	}
	for _, endpoint := range digest.endpoints {
		table.hearEndpoint(now, endpoint)
	}
}

// hearOfSelf contradicts what is wrong about this host.
func (table *Table) hearOfSelf(member Member) {
	self := table.self.Member
	switch {
	case member.Incarnation() > self.Incarnation():
		table.note(self.Name(), "another start of this host is known; stop one of them, or mend this host's clock")
	case member.Incarnation() == self.Incarnation() && member.After(self):
		table.self.Member = NewMember(self.Host, member.refutation+1)
		table.self.sequence = table.advance()
		table.note(self.Name(), "contradicts that it is "+member.State().String())
	}
}

// hear takes in what a peer told of another host.
func (table *Table) hear(now time.Time, digest Digest, member Member) {
	known, ok := table.members[member.Name()]
	switch {
	case !ok:
		if member.State() != definer.Gone && len(table.members) < maxMembers {
			table.set(now, member)
		}
	case !member.After(known.Member):
		known.listedOnly = false
		table.contradict(now, digest.sender, known, member)
	case known.listedOnly || !table.near(member.Host) || saidByItself(known, member):
		table.hearContradiction(now, known, member)
		table.set(now, member)
	default:
		table.hearVerdict(now, digest, known, member)
	}
}

// saidByItself reports whether member is news that only the host itself can
// have made: a later start or a contradiction.
func saidByItself(known *entry, member Member) bool {
	return member.Incarnation() > known.Incarnation() || member.refutation > known.refutation
}

// hearContradiction gives a host more patience that was called suspect wrongly.
func (table *Table) hearContradiction(now time.Time, known *entry, member Member) {
	target, ok := table.targets[known.Name()]
	if ok && member.Incarnation() == known.Incarnation() && member.State() == definer.Live {
		target.beMorePatient(now)
	}
}

// hearVerdict takes in what another host of the region concluded of a third.
// Only fresh news counts, an old verdict makes this host try the third one
// itself. News that a live host is gone only makes it suspect here, so that it
// can contradict: when a cut heals, both sides hold old verdicts on each other.
func (table *Table) hearVerdict(now time.Time, digest Digest, known *entry, member Member) {
	sender, ok := table.members[digest.sender]
	switch {
	case !ok || !table.near(sender.Host):
	case digest.levelling:
		table.hasten(now, known.Name())
	case known.State() == definer.Live:
		table.set(now, member.withState(definer.Suspect))
	case known.State() == definer.Leaving:
		table.set(now, member)
	}
}

// contradict remembers to tell the sender that a host which it believes in is
// gone, and has that host tried soon where it is this host's turn.
func (table *Table) contradict(now time.Time, sender string, known *entry, member Member) {
	if known.State() != definer.Gone || member.State() == definer.Gone {
		return
	}
	table.disagree(sender, known.Name())
	if table.inCharge(known) {
		table.hasten(now, known.Name())
	}
}

// setCut takes in a judgement on a region, if it is later than the known one.
func (table *Table) setCut(cut Cut) {
	key := [2]string{cut.from, cut.to}
	known, ok := table.cuts[key]
	if ok && known.version >= cut.version {
		return
	}
	if table.cuts == nil {
		table.cuts = make(map[[2]string]*cutEntry)
	}
	if len(table.cuts) >= maxMembers {
		return
	}
	table.cuts[key] = &cutEntry{Cut: cut, sequence: table.advance()}
	if cut.from == table.self.Place().Region() && cut.cut != (ok && known.cut) {
		table.version++
		table.note(cut.to, map[bool]string{true: "region is out of reach", false: "region is reached again"}[cut.cut])
	}
}
