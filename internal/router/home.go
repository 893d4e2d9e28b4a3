package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
)

// otherHome is another home of the pool, as a lender.
type otherHome struct {
	name   string
	region string
	slots  int
	// near is true in our own region.
	near bool
	// sameCentre is true in our own data centre.
	sameCentre bool
	// asked counts the requests that wait at the home or run on its slots.
	asked     int
	downUntil time.Time
}

// tier ranks homes by distance; less is nearer.
func (otherHome *otherHome) tier() int {
	switch {
	case otherHome.sameCentre:
		return 0
	case otherHome.near:
		return 1
	default:
		return 2
	}
}

// load is how many requests of ours would be at the home for each slot.
func (otherHome *otherHome) load() float64 {
	return float64(otherHome.asked+1) / float64(max(1, otherHome.slots))
}

// otherHomes returns the homes of pool but self, those of self's region first,
// and keeps what is known of those that stay.
func otherHomes(homes []locator.Home, self definer.Host, before []*otherHome) []*otherHome {
	var near, far []*otherHome
	for _, home := range homes {
		if home.Host().Name() == self.Name() {
			continue
		}
		other := known(before, home.Host().Name())
		other.update(home, self.Place())
		if other.near {
			near = append(near, other)
		} else {
			far = append(far, other)
		}
	}
	return append(near, far...)
}

func known(homes []*otherHome, name string) *otherHome {
	for _, home := range homes {
		if home.name == name {
			return home
		}
	}
	return &otherHome{name: name}
}

// update takes in which endpoints the home hands out.
func (otherHome *otherHome) update(now locator.Home, place definer.Place) {
	otherHome.region = now.Host().Place().Region()
	otherHome.near = otherHome.region == place.Region()
	otherHome.sameCentre = now.Host().Place() == place
	otherHome.slots = 0
	for _, endpoint := range now.Endpoints() {
		otherHome.slots += endpoint.Slots()
	}
}

// down leaves the home alone for a while.
func (otherHome *otherHome) down(now time.Time) { otherHome.downUntil = now.Add(homeDownTime) }
