package locator

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Answer tells a caller which entry hosts to use, best first.
type Answer struct {
	addresses []string
	hold      time.Duration
}

// Addresses returns the addresses to use, best first.
func (answer Answer) Addresses() []string { return answer.addresses }

// WithHold returns a copy that the caller may keep for hold.
func (answer Answer) WithHold(hold time.Duration) Answer {
	answer.hold = hold
	return answer
}

// WithMost returns a copy with the best addresses, at most most.
func (answer Answer) WithMost(most int) Answer {
	answer.addresses = answer.addresses[:min(most, len(answer.addresses))]
	return answer
}

// Hold returns how long the caller may keep the answer.
func (answer Answer) Hold() time.Duration { return answer.hold }

// The tiers of entry hosts for a caller, best first.
const (
	homeInCentre = iota
	homeInRegion
	otherInCentre
	otherInRegion
	homeElsewhere
	otherElsewhere
)

// Locate returns the entry hosts that a caller at place should use for the
// service called name: the pool's homes in the caller's data centre, the
// region's others, then hosts that are no home, and other regions last. Within
// a tier seed spreads the callers. It returns false where there is no such
// service.
func Locate(configuration *definer.Configuration, hosts []definer.Host, name string, place definer.Place, seed string) (Answer, bool) {
	service, ok := configuration.Service(name)
	if !ok {
		return Answer{}, false
	}
	isHome := make(map[string]bool)
	for _, home := range Homes(configuration, hosts, service.Pool()) {
		isHome[home.host.Name()] = true
	}
	ranked := best(usable(hosts), seed, len(hosts))
	slices.SortStableFunc(ranked, func(left, right definer.Host) int {
		return cmp.Compare(tier(left, place, isHome[left.Name()]), tier(right, place, isHome[right.Name()]))
	})
	answer := Answer{hold: HoldTime}
	for _, host := range ranked {
		answer.addresses = append(answer.addresses, host.Address())
	}
	return answer, true
}

// tier ranks host for a caller at place; less is better.
func tier(host definer.Host, place definer.Place, isHome bool) int {
	rank := homeElsewhere
	switch {
	case host.Place() == place:
		rank = homeInCentre
	case host.Place().Region() == place.Region():
		rank = homeInRegion
	}
	if isHome {
		return rank
	}
	switch rank {
	case homeInCentre:
		return otherInCentre
	case homeInRegion:
		return otherInRegion
	default:
		return otherElsewhere
	}
}

// nearLeast is how many entry hosts a caller is told of at least: with one
// alone it has nowhere to go when that one dies.
const nearLeast = 2

// Near returns the entry hosts for callers at place: those of its data centre,
// and where they are few those of its region, or all.
func Near(hosts []definer.Host, place definer.Place) []definer.Host {
	for _, fits := range []func(definer.Host) bool{
		func(host definer.Host) bool { return host.Place() == place },
		func(host definer.Host) bool { return host.Place().Region() == place.Region() },
	} {
		var near []definer.Host
		for _, host := range hosts {
			if fits(host) {
				near = append(near, host)
			}
		}
		if len(near) >= nearLeast {
			return near
		}
	}
	return hosts
}
