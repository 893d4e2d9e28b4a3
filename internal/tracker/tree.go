package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

// depth is how far a host stands from the one that reads the store.
type depth int

// The depths of the tree: one host of the fleet reads the store, the first
// host of each region asks it, the first of each data centre asks that of its
// region, and the others ask that of their data centre.
const (
	depthFleet depth = iota
	depthRegion
	depthCentre
	depthHost
)

// place returns the depth of self among hosts, and the host that it asks; none
// at depthFleet. Hosts for which out is true are passed over, and so is self
// where it can't read the store and another can be asked.
func place(self definer.Host, hosts []definer.Host, blind bool, out func(name string) bool) (depth, definer.Host) {
	var usable []definer.Host
	for _, host := range hosts {
		if host.Name() != self.Name() && !out(host.Name()) {
			usable = append(usable, host)
		}
	}
	if !blind || len(usable) == 0 {
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

func first(hosts []definer.Host, fits func(definer.Host) bool) definer.Host {
	index := slices.IndexFunc(hosts, fits)
	if index < 0 {
		return definer.Host{}
	}
	return hosts[index]
}

// byRank orders hosts alike on every host, and spreads the first ranks over
// places.
func byRank(a, b definer.Host) int {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(a.Name()), xxhash.Sum64String(b.Name())),
		cmp.Compare(a.Name(), b.Name()),
	)
}
