package monitor

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/chivespool/chivespool/internal/definer"
)

// Limits on the size of one digest.
const (
	maxUpdates    = 32
	maxPage       = 24
	maxPartitions = 64
)

// mismatchesToSync is the number of consecutive digests with a differing
// checksum after which hosts exchange their full tables. It is above 1 since
// updates in flight make checksums differ for a moment.
const mismatchesToSync = 3

// gossipState is the state of the digest exchange. The keys are names of peers.
type gossipState struct {
	// acknowledged holds the sequence up to which a peer has received updates.
	acknowledged map[string]uint64
	// sent holds the sequence up to which the last digest covers updates; it
	// becomes acknowledged when the peer answers.
	sent map[string]uint64
	// mismatches counts consecutive digests whose checksum differed from the
	// local one.
	mismatches map[string]int
	// disputed holds the hosts that are gone here but that a peer holds as
	// present.
	disputed map[string][]string
	// page is the host name from which the next page of the full table starts.
	page string
}

// Digest returns the digest for a peer: the updates since the last one that it
// received, or, if the checksums keep differing, a page of the full table.
func (table *Table) Digest(to string) Digest {
	digest := Digest{sender: table.self.Name(), checksum: table.checksum()}
	if known, ok := table.members[to]; ok && (known.State() == definer.Suspect || known.State() == definer.Gone) {
		digest.members = append(digest.members, known.Member)
	}
	since, ok := table.acknowledged[to]
	if !ok {
		since = table.sequence
		digest.members = append(digest.members, table.self.Member)
		set(&table.mismatches, to, mismatchesToSync)
	}
	upTo := table.addUpdates(&digest, to, since)
	set(&table.sent, to, upTo)
	if upTo == since && table.mismatches[to] >= mismatchesToSync && ok {
		table.addPage(&digest, to)
	}
	return digest
}

// Acknowledge records that a peer received the last digest made for it.
func (table *Table) Acknowledge(to string) {
	if sent, ok := table.sent[to]; ok {
		set(&table.acknowledged, to, sent)
		delete(table.sent, to)
	}
}

// addUpdates adds the changes after since, the oldest first, and returns the
// sequence up to which the digest is complete.
func (table *Table) addUpdates(digest *Digest, to string, since uint64) uint64 {
	type item struct {
		sequence uint64
		add      func()
	}
	var items []item
	gather := func(sequence uint64, add func()) {
		if sequence > since {
			items = append(items, item{sequence, add})
		}
	}
	gather(table.self.sequence, func() { digest.members = append(digest.members, table.self.Member) })
	for name, known := range table.members {
		if name != to {
			gather(known.sequence, func() { digest.members = append(digest.members, known.Member) })
		}
	}
	for _, partition := range table.partitions {
		gather(partition.sequence, func() { digest.partitions = append(digest.partitions, partition.Partition) })
	}
	for _, endpoint := range table.endpoints {
		gather(endpoint.sequence, func() { digest.endpoints = append(digest.endpoints, endpoint.EndpointState) })
	}
	slices.SortFunc(items, func(left, right item) int { return cmp.Compare(left.sequence, right.sequence) })
	upTo := table.sequence
	if len(items) > maxUpdates {
		items = items[:maxUpdates]
		upTo = items[maxUpdates-1].sequence
	}
	for _, item := range items {
		item.add()
	}
	return upTo
}

// addPage adds the next page of the full table. A gone host is included only if
// the peer holds it as present.
func (table *Table) addPage(digest *Digest, to string) {
	digest.antiEntropy = true
	digest.members = append(digest.members, table.self.Member)
	for _, name := range table.disputed[to] {
		if known, ok := table.members[name]; ok {
			digest.members = append(digest.members, known.Member)
		}
	}
	delete(table.disputed, to)
	names := slices.Sorted(maps.Keys(table.members))
	start, _ := slices.BinarySearch(names, table.page)
	for index := range min(maxPage, len(names)) {
		known := table.members[names[(start+index)%len(names)]]
		if known.State() != definer.Gone {
			digest.members = append(digest.members, known.Member)
		}
		table.page = known.Name() + "\x00"
	}
	for _, partition := range table.partitions {
		if len(digest.partitions) < maxPartitions {
			digest.partitions = append(digest.partitions, partition.Partition)
		}
	}
	table.addEndpoints(digest)
}

// compareChecksum records whether a peer's table equals the local one.
func (table *Table) compareChecksum(digest Digest) {
	if digest.checksum == table.checksum() {
		delete(table.mismatches, digest.sender)
		return
	}
	set(&table.mismatches, digest.sender, table.mismatches[digest.sender]+1)
}

// addDisputed records that the peer holds a gone host as present.
func (table *Table) addDisputed(peer, name string) {
	disputed := table.disputed[peer]
	if len(disputed) < maxPage && !slices.Contains(disputed, name) {
		set(&table.disputed, peer, append(disputed, name))
	}
}

// resetPeer makes the next digest to a peer the same as that for a new peer.
func (table *Table) resetPeer(name string) {
	delete(table.acknowledged, name)
	delete(table.sent, name)
	delete(table.mismatches, name)
	delete(table.disputed, name)
}

// checksum covers the hosts that are not gone, the partitions, and the leaving
// endpoints; it does not depend on their order.
func (table *Table) checksum() uint64 {
	sum := table.self.checksum()
	for _, known := range table.members {
		if known.State() != definer.Gone {
			sum ^= known.checksum()
		}
	}
	for _, partition := range table.partitions {
		sum ^= xxhash.Sum64String(partition.from+"\x00"+partition.to) * (partition.version | 1)
	}
	for name, endpoint := range table.endpoints {
		if endpoint.leaving {
			sum ^= weight(name, "leaving")
		}
	}
	return sum
}

// checksum covers the record of one host.
func (member Member) checksum() uint64 {
	bytes := []byte(member.Name())
	bytes = binary.BigEndian.AppendUint64(bytes, member.Incarnation())
	bytes = binary.BigEndian.AppendUint32(bytes, member.refutation)
	bytes = append(bytes, byte(member.State()))
	return xxhash.Sum64(bytes)
}

// set sets a value in a map, which it creates on first use.
func set[V any](to *map[string]V, key string, value V) {
	if *to == nil {
		*to = make(map[string]V)
	}
	(*to)[key] = value
}
