// Package locator decides which entry hosts are the homes of a pool's
// endpoints, and which entry hosts a caller should use. A home hands out the
// slots of its endpoints, so callers that go to a home meet no extra hop.
//
// Both are rendezvous choices over the live hosts (Thaler and Ravishankar,
// 1998): every host computes the same answer from the same membership with no
// message, and little moves when a host comes or goes. Hosts that differ in
// their view of the membership cost time, never safety.
package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// EndpointsPerHome is how many endpoints of a pool in one data centre one
	// home looks after; beyond that there is one more home for each as many.
	EndpointsPerHome = 16
	// HoldTime is how long a caller may keep an answer of Locate.
	HoldTime = 5 * time.Second
)

// Home is an entry host with the endpoints of one pool that it hands out.
type Home struct {
	host      definer.Host
	endpoints []definer.Endpoint
}

// Host returns the entry host.
func (home Home) Host() definer.Host { return home.host }

// Endpoints returns the endpoints that the host is the home of, by name.
func (home Home) Endpoints() []definer.Endpoint { return home.endpoints }

// Homes returns the homes of pool by name of the host. Every endpoint has
// exactly one home, in its own data centre where a live host stands there, or
// else in its region, or else anywhere; with no live host there are none.
func Homes(configuration *definer.Configuration, hosts []definer.Host, pool string) []Home {
	live := usable(hosts)
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
		chosen := best(near(live, place), key, homesFor(len(endpoints)))
		share(byHost, chosen, endpoints)
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

// homesFor returns how many homes count endpoints of one data centre have.
func homesFor(count int) int { return (count + EndpointsPerHome - 1) / EndpointsPerHome }

// share gives each endpoint to the host that ranks highest for it among those
// that have room, and adds the outcome to byHost.
func share(byHost map[string]*Home, hosts []definer.Host, endpoints []definer.Endpoint) {
	room := (len(endpoints) + len(hosts) - 1) / len(hosts)
	taken := make(map[string]int)
	for _, endpoint := range endpoints {
		for _, host := range best(hosts, endpoint.Name(), len(hosts)) {
			if taken[host.Name()] == room {
				continue
			}
			taken[host.Name()]++
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

// usable returns the hosts that can be a home or serve a caller.
func usable(hosts []definer.Host) []definer.Host {
	var live []definer.Host
	for _, host := range hosts {
		if host.State() == definer.Live || host.State() == definer.Suspect {
			live = append(live, host)
		}
	}
	return live
}

// near returns the hosts in place's data centre, or else those in its region,
// or else all.
func near(hosts []definer.Host, place definer.Place) []definer.Host {
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

// best returns the count hosts that rank highest for key, highest first.
func best(hosts []definer.Host, key string, count int) []definer.Host {
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

// weight ranks host for key, alike on every process.
func weight(host, key string) uint64 {
	return xxhash.Sum64String(host + "\x00" + key)
}
