package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/offloader"
)

// hostsPerCentre is the number of hosts that decide independently in a data centre.
const hostsPerCentre = 17

// endpointRate is the number of requests per second that keep an endpoint of four slots
// just below being crowded.
const endpointRate = 7.0

// seeds is the number of emulations whose mean is taken where few requests count.
const seeds = 8

// centre is an emulated data centre whose callers need as many endpoints as demand
// returns.
type centre struct {
	place     definer.Place
	endpoints int
	demand    func(now time.Duration) float64
	registry  metrics.Registry
	class     *emulatedClass
	// settledOwn and settledAway are the requests sent before the settling time.
	settledOwn, settledAway float64
}

func needs(endpoints float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return endpoints }
}

// sent returns the requests sent to own endpoints and to others.
func (centre *centre) sent() (own, away float64) {
	count := func(distance offloader.Distance) float64 {
		return float64(metrics.GetOrRegisterCounter("offloader.sent."+distance.String()+".s", centre.registry).Count())
	}
	return count(offloader.Own), count(offloader.Near) + count(offloader.Far)
}

// left returns the share of the requests that left after the settling time.
func (centre *centre) left() float64 {
	own, away := centre.sent()
	own, away = own-centre.settledOwn, away-centre.settledAway
	return away / max(own+away, 1)
}

// centres are emulated data centres whose endpoints belong to one service.
type centres struct {
	*emulation
	seed uint64
	// noise is the share of slow machines, bytes the size of a request, and price that of
	// a byte.
	noise float64
	bytes int64
	price time.Duration
	// settling is the time before which requests do not count as having left.
	settling time.Duration
	// adjust changes the emulation before it is played.
	adjust func(*centres)
}

// play plays the data centres for some time.
func (centres *centres) play(length time.Duration, all ...*centre) {
	centres.emulation = newEmulation(deployment{
		noiseShare: centres.noise, noiseSlowdown: 5, crowdedSlowdown: 1.7, services: []emulatedService{{name: "s"}},
		classes: make([]emulatedClass, len(all)),
	}, centres.seed)
	centres.nextHost = func(host int) int { return host - host%hostsPerCentre + centres.random.IntN(hostsPerCentre) }
	for index, centre := range all {
		centre.registry, centre.class = metrics.NewRegistry(), &centres.classes[index]
		*centre.class = emulatedClass{
			name: centre.place.DataCentre(), service: "s", work: 350 * ms, target: 1000 * ms, deadline: 3000 * ms,
			timeout: 2000 * ms, perSecond: 1e-9, worth: 1, bytes: centres.bytes,
		}
		for host := range hostsPerCentre {
			placer := New(centre.place, uint64(index*hostsPerCentre+host))
			placer.offloader.SetRegistry(centre.registry)
			placer.offloader.SetByCost(true)
			if centres.price > 0 {
				placer.offloader.SetBytePrices(centres.price, centres.price)
			}
			centres.placers = append(centres.placers, placer)
		}
		for number := range centre.endpoints {
			name := fmt.Sprint(centre.place.DataCentre(), number)
			centres.byName[name] = &emulatedEndpoint{endpoint: definer.NewEndpoint(name, "s", "10.0.0.1:1", centre.place, 4), slots: 4, fixed: 1, noise: 1}
			centres.endpoints["s"] = append(centres.endpoints["s"], centres.byName[name])
		}
		centres.call(centre, index*hostsPerCentre, length)
		centres.schedule(centres.settling, func() { centre.settledOwn, centre.settledAway = centre.sent() })
	}
	if centres.adjust != nil {
		centres.adjust(centres)
	}
	centres.emulation.play(length)
}

// call schedules the next request of the centre's callers.
func (centres *centres) call(centre *centre, firstHost int, length time.Duration) {
	wait := time.Duration(centres.random.ExpFloat64() / (centre.demand(centres.now) * endpointRate) * float64(time.Second))
	if centres.now+wait > length {
		return
	}
	centres.schedule(wait, func() {
		centres.asked[centre.class.name]++
		centres.place(&job{
			class: centre.class, host: firstHost + centres.random.IntN(hostsPerCentre), first: centres.now,
			arrived: centres.now, draw: centres.random.Float64(),
		}, 0)
		centres.call(centre, firstHost, length)
	})
}

// served returns the share of the requests of the centre's callers answered in time.
func (centres *centres) served(centre *centre) float64 {
	return float64(centres.inTime[centre.class.name]) / float64(centres.asked[centre.class.name])
}

// TestHalfOfTheEndpoints replays a data centre with half the endpoints that its demand
// needs, beside another data centre of the region or another region with room. Without
// them, most requests were refused; with them, about as many must leave as have no
// endpoint, and the neighbour's callers must not notice.
func TestHalfOfTheEndpoints(t *testing.T) {
	for _, place := range []definer.Place{near, far} {
		short := &centre{place: here, endpoints: 6, demand: needs(12)}
		roomy := &centre{place: place, endpoints: 24, demand: needs(12)}
		alone, beside := &centres{noise: 0.1}, &centres{noise: 0.1, settling: 5 * time.Second}
		alone.play(20*time.Second, short)
		without := alone.served(short)
		beside.play(20*time.Second, short, roomy)
		t.Logf("beside %s: %.2f of the requests are answered in time, without %.2f; %.2f leave; %.2f of the neighbour's are answered in time",
			place, beside.served(short), without, short.left(), beside.served(roomy))
		if beside.served(short) < without+0.4 || beside.served(roomy) < 0.93 || short.left() < 0.4 || short.left() > 0.7 {
			t.Errorf("beside %s: too few requests are answered in time, or too many leave", place)
		}
	}
}

// step returns a demand that is during from 8 s to 14 s and otherwise base.
func step(base, during float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now > 8*time.Second && now < 14*time.Second {
			return during
		}
		return base
	}
}

// TestMovingDemand replays demand that moves from one data centre to another for six
// seconds. Callers must be answered in time at both, and a short time afterwards their
// requests must stay again.
func TestMovingDemand(t *testing.T) {
	quiet := &centre{place: here, endpoints: 14, demand: step(7, 1)}
	joined := &centre{place: near, endpoints: 14, demand: step(7, 17)}
	centres := &centres{noise: 0.1, settling: 18 * time.Second}
	centres.play(25*time.Second, quiet, joined)
	own, away := joined.sent()
	t.Logf("%.2f and %.2f of the requests are answered in time; %.0f of %.0f left where demand rose; from 4 s afterwards, %.3f",
		centres.served(quiet), centres.served(joined), away, own+away, joined.left())
	if centres.served(quiet) < 0.93 || centres.served(joined) < 0.93 || joined.settledAway < 50 || joined.left() > 0.03 {
		t.Error("the demand that moved is not answered in time, or its requests do not return")
	}
}

// TestNoiseStays replays noise: a quarter of the machines are slowed down five times for
// 150 ms each, and once all of a data centre at once. Requests must stay, but for the few
// whose reports say that none of the endpoints probed can answer in time.
func TestNoiseStays(t *testing.T) {
	left := 0.0
	for seed := range uint64(seeds) {
		noisy := &centre{place: here, endpoints: 12, demand: needs(5)}
		centres := &centres{seed: seed, noise: 0.25, settling: 5 * time.Second, adjust: func(centres *centres) {
			centres.schedule(9900*ms+emulationStep, func() {
				for _, endpoint := range centres.endpoints["s"][:noisy.endpoints] {
					endpoint.noise = 5
				}
			})
		}}
		centres.play(20*time.Second, noisy, &centre{place: near, endpoints: 12, demand: needs(4)})
		left += noisy.left() / seeds
	}
	if t.Logf("%.3f of the requests leave", left); left > 0.03 {
		t.Errorf("noise makes %.3f of the requests leave", left)
	}
}

// TestDearBytes replays a data centre that is crowded at times. Large requests must stay
// where a byte is dear, and small ones may leave.
func TestDearBytes(t *testing.T) {
	for bytes, bounds := range map[int64][2]float64{400: {0.04, 0.2}, 60_000: {0, 0.02}} {
		left, served := 0.0, 0.0
		for seed := range uint64(seeds) {
			crowded := &centre{place: here, endpoints: 12, demand: needs(10)}
			centres := &centres{seed: seed, noise: 0.1, settling: 5 * time.Second, bytes: bytes, price: 8 * time.Microsecond}
			centres.play(20*time.Second, crowded, &centre{place: near, endpoints: 24, demand: needs(6)})
			left, served = left+crowded.left()/seeds, served+centres.served(crowded)/seeds
		}
		t.Logf("%d bytes: %.3f leave, %.2f are answered in time", bytes, left, served)
		if left < bounds[0] || left > bounds[1] || served < 0.9 {
			t.Errorf("%.3f of the requests of %d bytes leave, want %v", left, bytes, bounds)
		}
	}
}

// TestHerd replays demand that rises at once in a data centre whose 17 hosts all see the
// same free slots elsewhere. They must not all leave at once, and the callers there must not
// notice. Without the steps of the share, 0.23 of the requests of the first half second left
// for a near place, and 0.47 of all.
func TestHerd(t *testing.T) {
	for _, place := range []definer.Place{near, far} {
		first, settled, served := 0.0, 0.0, 0.0
		for seed := range uint64(seeds) {
			risen := &centre{place: here, endpoints: 8, demand: step(4, 12)}
			free := &centre{place: place, endpoints: 12, demand: needs(6)}
			played := &centres{seed: seed, noise: 0.1, settling: 8 * time.Second, adjust: func(centres *centres) {
				centres.schedule(8500*ms, func() { first += risen.left() / seeds })
			}}
			played.play(14*time.Second, risen, free)
			settled, served = settled+risen.left()/seeds, served+played.served(free)/seeds
		}
		t.Logf("%s: %.2f leave in the first half second, %.2f in all; %.2f of the callers' there are answered in time", place, first, settled, served)
		if first > settled/4 || settled < 0.2 || served < 0.9 {
			t.Errorf("the hosts leave for %s at once or not at all, or disturb it", place)
		}
	}
}
