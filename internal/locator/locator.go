// Package locator selects the entry hosts that are the homes of a pool's
// endpoints, for package router, and the entry hosts that a caller should use,
// for packages runner and launcher.
//
// A home allocates the slots of its endpoints, so a caller that connects to a
// home saves a hop. Hosts with the same membership compute the same result
// without exchanging messages; a difference in membership costs latency, never
// safety. The package does no I/O, starts no goroutines and reads no clock.
package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// EndpointsPerHome is the number of endpoints of a pool in one data centre
	// for which one home is selected; n endpoints have
	// ceil(n/EndpointsPerHome) homes.
	EndpointsPerHome = 16
	// DefaultCacheTime is how long a caller may cache an answer of Locate unless
	// WithCacheTime sets another time.
	DefaultCacheTime = 5 * time.Second
)

// Home is an entry host with the endpoints of one pool whose slots it allocates.
type Home struct {
	host      definer.Host
	endpoints []definer.Endpoint
}

// Host returns the entry host.
func (home Home) Host() definer.Host { return home.host }

// Endpoints returns the endpoints that have this home, sorted by name.
func (home Home) Endpoints() []definer.Endpoint { return home.endpoints }

// Homes returns the homes of pool, sorted by host name. Every endpoint has
// exactly one home: in its own data centre if that has a live host, else in its
// region, else anywhere. Without a live host there are no homes.
func Homes(configuration *definer.Configuration, hosts []definer.Host, pool string) []Home {
	live := eligible(hosts)
	if len(live) == 0 {
		return nil
	}
	byPlace := make(map[definer.Place][]definer.Endpoint)
	for _, endpoint := range configuration.EndpointsOf(pool) {
		byPlace[endpoint.Place()] = append(byPlace[endpoint.Place()], endpoint)
	}
	byHost := make(map[string]*Home)
	for place, endpoints := range byPlace {
		key := pool + "\x00" + place.String()
		chosen := Owners(live, place, key, homeCount(len(endpoints)))
		assign(byHost, chosen, endpoints)
	}
	homes := make([]Home, 0, len(byHost))
	for _, home := range byHost {
		slices.SortFunc(home.endpoints, func(left, right definer.Endpoint) int {
			return cmp.Compare(left.Name(), right.Name())
		})
		homes = append(homes, *home)
	}
	slices.SortFunc(homes, func(left, right Home) int {
		return cmp.Compare(left.host.Name(), right.host.Name())
	})
	return homes
}

// homeCount returns the number of homes of the given number of endpoints in
// one data centre.
func homeCount(endpoints int) int { return (endpoints + EndpointsPerHome - 1) / EndpointsPerHome }

// assign assigns each endpoint to the host that ranks highest for it among the
// hosts below capacity, and adds the assignments to byHost.
func assign(byHost map[string]*Home, hosts []definer.Host, endpoints []definer.Endpoint) {
	capacity := (len(endpoints) + len(hosts) - 1) / len(hosts)
	assigned := make(map[string]int)
	for _, endpoint := range endpoints {
		for _, host := range highest(hosts, endpoint.Name(), len(hosts)) {
			if assigned[host.Name()] == capacity {
				continue
			}
			assigned[host.Name()]++
			home := byHost[host.Name()]
			if home == nil {
				home = &Home{host: host}
				byHost[host.Name()] = home
			}
			home.endpoints = append(home.endpoints, endpoint)
			break
		}
	}
}

// eligible returns the hosts that can be a home or serve a caller.
func eligible(hosts []definer.Host) []definer.Host {
	var live []definer.Host
	for _, host := range hosts {
		if host.State() == definer.Live || host.State() == definer.Suspect {
			live = append(live, host)
		}
	}
	return live
}

// Owners returns up to count hosts to which something called key at place is
// assigned: hosts of its data centre, or else of its region, or else any.
func Owners(hosts []definer.Host, place definer.Place, key string, count int) []definer.Host {
	return highest(nearest(hosts, place), key, count)
}

// First returns the index of the host to which something called key at place is assigned,
// or -1 if there are no hosts: among the hosts at the least distance those with the fastest
// link, and of them the one with the highest weight. A few hosts with fast links then serve
// all others, so that each host needs links to few. It does not allocate.
func First(hosts []definer.Host, place definer.Place, key string) int {
	best, bestTier, bestWeight := -1, 0, uint64(0)
	for index, host := range hosts {
		tier := 0
		switch {
		case host.Place() == place:
			tier = 2
		case host.Place().Region() == place.Region():
			tier = 1
		}
		weight := weight(host.Name(), key)
		if best < 0 || cmp.Or(cmp.Compare(tier, bestTier), cmp.Compare(host.LinkRate(), hosts[best].LinkRate()),
			cmp.Compare(weight, bestWeight), cmp.Compare(hosts[best].Name(), host.Name())) > 0 {
			best, bestTier, bestWeight = index, tier, weight
		}
	}
	return best
}

// nearest returns the hosts in place's data centre, or else those in its region,
// or else all.
func nearest(hosts []definer.Host, place definer.Place) []definer.Host {
	var sameCentre, sameRegion []definer.Host
	for _, host := range hosts {
		if host.Place() == place {
			sameCentre = append(sameCentre, host)
		}
		if host.Place().Region() == place.Region() {
			sameRegion = append(sameRegion, host)
		}
	}
	switch {
	case len(sameCentre) > 0:
		return sameCentre
	case len(sameRegion) > 0:
		return sameRegion
	default:
		return hosts
	}
}

// highest returns the count hosts with the highest weights for key, in descending
// order. With these rendezvous weights (Thaler and Ravishankar, 1998), few
// assignments change when a host joins or leaves.
func highest(hosts []definer.Host, key string, count int) []definer.Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(left, right definer.Host) int {
		order := cmp.Compare(weight(right.Name(), key), weight(left.Name(), key))
		if order != 0 {
			return order
		}
		return cmp.Compare(left.Name(), right.Name())
	})
	return ranked[:min(count, len(ranked))]
}

// weight returns the rendezvous weight of host for key; it is the same in every
// process.
func weight(host, key string) uint64 {
	return xxhash.Sum64String(host + "\x00" + key)
}
