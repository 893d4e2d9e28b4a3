package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

// depth is a host's level in the tree, counted from the host that reads the
// store.
type depth int

// The depths of the tree. Hosts are ordered by rank (byRank): the first host of
// the fleet reads the store, the first of each region asks it, the first of each
// data centre asks that of its region, and the others ask that of their data
// centre. A host may thus send each update to all other hosts of its data centre,
// so that hosts with fast links rank first.
const (
	depthFleet depth = iota
	depthRegion
	depthCentre
	depthHost
)

// treePosition returns the depth of self among hosts, and its parent; at
// depthFleet there is none. Excluded hosts are skipped, and so is self if it is
// disconnected from the store and another host can be asked.
func treePosition(self definer.Host, hosts []definer.Host, disconnected bool, excluded func(name string) bool) (depth, definer.Host) {
	var usable []definer.Host
	for _, host := range hosts {
		if host.Name() != self.Name() && !excluded(host.Name()) {
			usable = append(usable, host)
		}
	}
	if !disconnected || len(usable) == 0 {
		usable = append(usable, self)
	}
	slices.SortFunc(usable, byRank)
	fleet := usable[0]
	region := first(usable, func(host definer.Host) bool { return host.Place().Region() == self.Place().Region() })
	centre := first(usable, func(host definer.Host) bool { return host.Place() == self.Place() })
	switch self.Name() {
	case fleet.Name():
		return depthFleet, definer.Host{}
	case region.Name():
		return depthRegion, fleet
	case centre.Name():
		return depthCentre, region
	}
	switch {
	case centre.Name() != "":
		return depthHost, centre
	case region.Name() != "":
		return depthCentre, region
	}
	return depthRegion, fleet
}

// first returns the first host that fits, or the zero host.
func first(hosts []definer.Host, fits func(definer.Host) bool) definer.Host {
	index := slices.IndexFunc(hosts, fits)
	if index < 0 {
		return definer.Host{}
	}
	return hosts[index]
}

// byRank compares hosts by the rates of their links, the fastest first, then by a
// hash of their names. The order is the same on every host, and spreads the first
// ranks over regions and data centres.
func byRank(a, b definer.Host) int {
	return cmp.Or(
		cmp.Compare(b.LinkRate(), a.LinkRate()),
		cmp.Compare(xxhash.Sum64String(a.Name()), xxhash.Sum64String(b.Name())),
		cmp.Compare(a.Name(), b.Name()),
	)
}
