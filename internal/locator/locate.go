package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Answer lists the entry hosts that a caller should use, in order of preference.
type Answer struct {
	addresses []string
	cacheTime time.Duration
}

// Addresses returns the addresses to use, in order of preference.
func (answer Answer) Addresses() []string { return answer.addresses }

// WithCacheTime returns a copy that the caller may cache for cacheTime.
func (answer Answer) WithCacheTime(cacheTime time.Duration) Answer {
	answer.cacheTime = cacheTime
	return answer
}

// WithMaxAddresses returns a copy with the first maxAddresses addresses.
func (answer Answer) WithMaxAddresses(maxAddresses int) Answer {
	answer.addresses = answer.addresses[:min(maxAddresses, len(answer.addresses))]
	return answer
}

// CacheTime returns how long the caller may cache the answer.
func (answer Answer) CacheTime() time.Duration { return answer.cacheTime }

// The tiers of entry hosts for a caller, in order of preference.
const (
	homeInCentre = iota
	homeInRegion
	otherInCentre
	otherInRegion
	homeElsewhere
	otherElsewhere
)

// Locate returns the entry hosts that a caller at place should use for the
// service called name: first the pool's homes in the caller's data centre, then
// those in its region, then other hosts of the data centre and the region, and
// other regions last. Within a tier, seed spreads the load of the callers over
// the hosts. Locate returns false if the service does not exist.
func Locate(configuration *definer.Configuration, hosts []definer.Host, name string, place definer.Place, seed string) (Answer, bool) {
	service, ok := configuration.Service(name)
	if !ok {
		return Answer{}, false
	}
	isHome := make(map[string]bool)
	for _, home := range Homes(configuration, hosts, service.Pool()) {
		isHome[home.host.Name()] = true
	}
	ranked := highest(eligible(hosts), seed, len(hosts))
	slices.SortStableFunc(ranked, func(left, right definer.Host) int {
		return cmp.Compare(tier(left, place, isHome[left.Name()]), tier(right, place, isHome[right.Name()]))
	})
	answer := Answer{cacheTime: DefaultCacheTime}
	for _, host := range ranked {
		answer.addresses = append(answer.addresses, host.Address())
	}
	return answer, true
}

// tier returns the tier of host for a caller at place.
func tier(host definer.Host, place definer.Place, isHome bool) int {
	homeTier := homeElsewhere
	switch {
	case host.Place() == place:
		homeTier = homeInCentre
	case host.Place().Region() == place.Region():
		homeTier = homeInRegion
	}
	if isHome {
		return homeTier
	}
	switch homeTier {
	case homeInCentre:
		return otherInCentre
	case homeInRegion:
		return otherInRegion
	default:
		return otherElsewhere
	}
}

// minNearHosts is the least number of entry hosts in an answer of Near, so that
// a caller can fail over when one host dies.
const minNearHosts = 2

// Near returns the entry hosts for callers at place: the hosts of its data centre, or
// those of its region if they are fewer than minNearHosts, or those of regions, whose
// endpoints alone may get the callers' requests, or else all.
func Near(hosts []definer.Host, place definer.Place, regions []string) []definer.Host {
	for _, matches := range []func(definer.Host) bool{
		func(host definer.Host) bool { return host.Place() == place },
		func(host definer.Host) bool { return host.Place().Region() == place.Region() },
		func(host definer.Host) bool {
			return host.Place().Region() == place.Region() || slices.Contains(regions, host.Place().Region())
		},
	} {
		var near []definer.Host
		for _, host := range hosts {
			if matches(host) {
				near = append(near, host)
			}
		}
		if len(near) >= minNearHosts {
			return near
		}
	}
	return hosts
}
