package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
)

// otherHome is a home of the pool on another host, seen as a lender.
type otherHome struct {
	name   string
	region string
	slots  int
	// sameRegion is true if the home is in this host's region.
	sameRegion bool
	// sameCentre is true if the home is in this host's data centre.
	sameCentre bool
	// outstanding counts this host's requests that wait at the home or run on
	// its slots.
	outstanding int
	retryAt     time.Time
}

// tier returns the distance class of the home; a lower tier is nearer.
func (otherHome *otherHome) tier() int {
	switch {
	case otherHome.sameCentre:
		return 0
	case otherHome.sameRegion:
		return 1
	default:
		return 2
	}
}

// load returns the number of this host's requests per slot of the home, with
// the next one included.
func (otherHome *otherHome) load() float64 {
	return float64(otherHome.outstanding+1) / float64(max(1, otherHome.slots))
}

// otherHomes returns the homes of the pool except self, those in self's region
// first. Homes already in before keep their state.
func otherHomes(homes []locator.Home, self definer.Host, before []*otherHome) []*otherHome {
	var near, far []*otherHome
	for _, home := range homes {
		if home.Host().Name() == self.Name() {
			continue
		}
		other := findOrNew(before, home.Host().Name())
		other.update(home, self.Place())
		if other.sameRegion {
			near = append(near, other)
		} else {
			far = append(far, other)
		}
	}
	return append(near, far...)
}

func findOrNew(homes []*otherHome, name string) *otherHome {
	for _, home := range homes {
		if home.name == name {
			return home
		}
	}
	return &otherHome{name: name}
}

// update sets the location and slots of the home from now.
func (otherHome *otherHome) update(now locator.Home, place definer.Place) {
	otherHome.region = now.Host().Place().Region()
	otherHome.sameRegion = otherHome.region == place.Region()
	otherHome.sameCentre = now.Host().Place() == place
	otherHome.slots = 0
	for _, endpoint := range now.Endpoints() {
		otherHome.slots += endpoint.Slots()
	}
}

// markDown excludes the home from borrowing for retryDelay.
func (otherHome *otherHome) markDown(now time.Time) { otherHome.retryAt = now.Add(retryDelay) }
