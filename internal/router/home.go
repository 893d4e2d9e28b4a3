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
		otherHome := findOrNew(before, home.Host().Name())
		otherHome.update(home, self.Place())
		if otherHome.sameRegion {
			near = append(near, otherHome)
		} else {
			far = append(far, otherHome)
		}
	}
	return append(near, far...)
}

// findOrNew returns the home called name, or a new one if otherHomes has none.
func findOrNew(otherHomes []*otherHome, name string) *otherHome {
	for _, otherHome := range otherHomes {
		if otherHome.name == name {
			return otherHome
		}
	}
	return &otherHome{name: name}
}

// update sets the location and slots from home; place is this host's location.
func (otherHome *otherHome) update(home locator.Home, place definer.Place) {
	otherHome.region = home.Host().Place().Region()
	otherHome.sameRegion = otherHome.region == place.Region()
	otherHome.sameCentre = home.Host().Place() == place
	otherHome.slots = 0
	for _, endpoint := range home.Endpoints() {
		otherHome.slots += endpoint.Slots()
	}
}

// markDown excludes the home from borrowing for retryDelay.
func (otherHome *otherHome) markDown(now time.Time) { otherHome.retryAt = now.Add(retryDelay) }
