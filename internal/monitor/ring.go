package monitor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/chivespool/chivespool/internal/definer"
)

// position is the position of a host on the hash ring of its region.
func position(name string) uint64 { return xxhash.Sum64String(name) }

// weight is the rendezvous-hashing weight of a host for a job.
func weight(name, job string) uint64 { return xxhash.Sum64String(name + "\x00" + job) }

// ring returns the names of all hosts of the region that are not gone, this one
// included, in the order of their positions.
func (table *Table) ring() []string {
	names := []string{table.self.Name()}
	for name, known := range table.members {
		if known.State() != definer.Gone && table.inRegion(known.Host) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(left, right string) int {
		if order := cmp.Compare(position(left), position(right)); order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
	return names
}

// fingers returns the hosts that this one probes: as in a Chord ring, those 1, 2,
// 4, 8 ... positions after it. The first is its successor. Each host is probed by
// as many, and an update that each host forwards to its fingers reaches a region
// of n hosts in log2(n) steps.
func (table *Table) fingers() []string {
	ring := table.ring()
	at := slices.Index(ring, table.self.Name())
	var fingers []string
	for step := 1; step < len(ring); step *= 2 {
		fingers = append(fingers, ring[(at+step)%len(ring)])
	}
	return fingers
}

// isPredecessorOf reports whether this host is responsible for probing a gone
// host of the region: it would be the predecessor of that host on the ring.
func (table *Table) isPredecessorOf(gone *entry) bool {
	if !table.inRegion(gone.Host) {
		return false
	}
	ring := table.ring()
	place := position(gone.Name())
	predecessor := ring[len(ring)-1]
	for _, name := range ring {
		if position(name) >= place {
			break
		}
		predecessor = name
	}
	return predecessor == table.self.Name()
}

// ranked returns the hosts of region in one of states by their rendezvous
// weight for job, the highest weight first.
func (table *Table) ranked(region, job string, states ...definer.HostState) []string {
	var names []string
	for name, known := range table.members {
		if known.Place().Region() == region && slices.Contains(states, known.State()) {
			names = append(names, name)
		}
	}
	self := table.self
	if self.Place().Region() == region && slices.Contains(states, self.State()) {
		names = append(names, self.Name())
	}
	slices.SortFunc(names, func(left, right string) int {
		return cmp.Compare(weight(right, job), weight(left, job))
	})
	return names
}

// relays returns the other regions for which this host is the relay. For each
// ordered pair of regions, one host of the first is the relay.
func (table *Table) relays() []string {
	var regions []string
	mine := table.self.Place().Region()
	for region := range table.regions() {
		ranked := table.ranked(mine, "relay "+mine+" "+region, definer.Live)
		if region != mine && len(ranked) > 0 && ranked[0] == table.self.Name() {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// counterpart returns the host of region that the relay of this host's region
// exchanges digests with, after failures consecutive hosts were unreachable.
func (table *Table) counterpart(region string, failures int) (string, bool) {
	job := "relay " + region + " " + table.self.Place().Region()
	ranked := table.ranked(region, job, definer.Live)
	ranked = append(ranked, table.ranked(region, job, definer.Suspect, definer.Leaving, definer.Gone)...)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[failures%len(ranked)], true
}

func (table *Table) regions() map[string]bool {
	regions := make(map[string]bool)
	for _, known := range table.members {
		regions[known.Place().Region()] = true
	}
	return regions
}
