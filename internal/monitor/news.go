package monitor

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/chivespool/chivespool/internal/definer"
)

// Bounds on one digest.
const (
	maxNews      = 32
	maxLevelling = 24
	maxCuts      = 64
)

// patienceWithDiffering is how many digests in a row may differ before hosts
// level what they know; news on its way makes them differ for a moment.
const patienceWithDiffering = 3

// news is what a table keeps of each peer that it exchanges digests with.
type news struct {
	// told holds the sequence up to which a peer was told.
	told map[string]uint64
	// offered holds the sequence up to which a peer is told if it answers.
	offered map[string]uint64
	// differing counts the digests in a row that differed from what is known here.
	differing map[string]int
	// disputed holds the hosts that a peer believes in and that are gone here.
	disputed map[string][]string
	// page is where the next levelling goes on, by name.
	page string
}

// Digest returns what to tell a peer: the news since it was told last, or,
// where it keeps differing, a page of all that is known.
func (table *Table) Digest(to string) Digest {
	digest := Digest{sender: table.self.Name(), checksum: table.checksum()}
	if known, ok := table.members[to]; ok && (known.State() == definer.Suspect || known.State() == definer.Gone) {
		digest.members = append(digest.members, known.Member)
	}
	since, ok := table.told[to]
	if !ok {
		since = table.sequence
		digest.members = append(digest.members, table.self.Member)
		set(&table.differing, to, patienceWithDiffering)
	}
	upTo := table.addNews(&digest, to, since)
	set(&table.offered, to, upTo)
	if upTo == since && table.differing[to] >= patienceWithDiffering && ok {
		table.addPage(&digest, to)
	}
	return digest
}

// Told notes that a peer got the last digest made for it.
func (table *Table) Told(to string) {
	if offered, ok := table.offered[to]; ok {
		set(&table.told, to, offered)
		delete(table.offered, to)
	}
}

// addNews adds what changed after since, the oldest first, and returns the
// sequence up to which all is told.
func (table *Table) addNews(digest *Digest, to string, since uint64) uint64 {
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
	for _, cut := range table.cuts {
		gather(cut.sequence, func() { digest.cuts = append(digest.cuts, cut.Cut) })
	}
	for _, endpoint := range table.endpoints {
		gather(endpoint.sequence, func() { digest.endpoints = append(digest.endpoints, endpoint.EndpointState) })
	}
	slices.SortFunc(items, func(left, right item) int { return cmp.Compare(left.sequence, right.sequence) })
	upTo := table.sequence
	if len(items) > maxNews {
		items = items[:maxNews]
		upTo = items[maxNews-1].sequence
	}
	for _, item := range items {
		item.add()
	}
	return upTo
}

// addPage adds the next page of all that is known. Hosts that are gone are
// only spoken of where the peer believes in them.
func (table *Table) addPage(digest *Digest, to string) {
	digest.levelling = true
	digest.members = append(digest.members, table.self.Member)
	for _, name := range table.disputed[to] {
		if known, ok := table.members[name]; ok {
			digest.members = append(digest.members, known.Member)
		}
	}
	delete(table.disputed, to)
	names := slices.Sorted(maps.Keys(table.members))
	start, _ := slices.BinarySearch(names, table.page)
	for index := range min(maxLevelling, len(names)) {
		known := table.members[names[(start+index)%len(names)]]
		if known.State() != definer.Gone {
			digest.members = append(digest.members, known.Member)
		}
		table.page = known.Name() + "\x00"
	}
	for _, cut := range table.cuts {
		if len(digest.cuts) < maxCuts {
			digest.cuts = append(digest.cuts, cut.Cut)
		}
	}
	table.addEndpoints(digest)
}

// compare notes whether a peer knows the same as this host.
func (table *Table) compare(digest Digest) {
	if digest.checksum == table.checksum() {
		delete(table.differing, digest.sender)
		return
	}
	set(&table.differing, digest.sender, table.differing[digest.sender]+1)
}

// disagree remembers that the peer believes in a host that is gone.
func (table *Table) disagree(peer, name string) {
	disputed := table.disputed[peer]
	if len(disputed) < maxLevelling && !slices.Contains(disputed, name) {
		set(&table.disputed, peer, append(disputed, name))
	}
}

// forgetTold makes the next digest to a peer as that to a new one.
func (table *Table) forgetTold(name string) {
	delete(table.told, name)
	delete(table.offered, name)
	delete(table.differing, name)
	delete(table.disputed, name)
}

// checksum covers the hosts that are there, the cuts, and the endpoints that
// leave, in any order.
func (table *Table) checksum() uint64 {
	sum := table.self.checksum()
	for _, known := range table.members {
		if known.State() != definer.Gone {
			sum ^= known.checksum()
		}
	}
	for _, cut := range table.cuts {
		sum ^= xxhash.Sum64String(cut.from+"\x00"+cut.to) * (cut.version | 1)
	}
	for name, endpoint := range table.endpoints {
		if endpoint.leaving {
			sum ^= weight(name, "leaving")
		}
	}
	return sum
}

// checksum covers what is known of one host.
func (member Member) checksum() uint64 {
	bytes := []byte(member.Name())
	bytes = binary.BigEndian.AppendUint64(bytes, member.Incarnation())
	bytes = binary.BigEndian.AppendUint32(bytes, member.refutation)
	bytes = append(bytes, byte(member.State()))
	return xxhash.Sum64(bytes)
}

// set sets a value in a map that it makes if need be.
func set[V any](to *map[string]V, key string, value V) {
	if *to == nil {
		*to = make(map[string]V)
	}
	(*to)[key] = value
}
