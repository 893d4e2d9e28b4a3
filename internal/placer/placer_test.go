package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

var (
	here = definer.NewPlace("nairobi", "nbo-a")
	near = definer.NewPlace("nairobi", "nbo-b")
	far  = definer.NewPlace("coast", "mba-a")
)

const (
	testClass  = "reads"
	testTarget = 600 * time.Millisecond
	testLeft   = 1500 * time.Millisecond
)

func testEndpoints(place definer.Place, prefix string, count int) []definer.Endpoint {
	var endpoints []definer.Endpoint
	for index := range count {
		endpoints = append(endpoints, definer.NewEndpoint(fmt.Sprint(prefix, index), "tile", "10.0.0.1:1", place, 4))
	}
	return endpoints
}

func want() Want { return NewWant(testClass, testLeft, testTarget, nil) }

func asked(endpoint definer.Endpoint, running, waiting int, pace float64) Asked {
	return NewAsked(endpoint, definer.NewReport(true, running, waiting, 4, pace))
}

// TestRingsGoOutward asks the own data centre first, and never more than
// ringSize endpoints at one distance.
func TestRingsGoOutward(t *testing.T) {
	placer := New(here, 1)
	endpoints := append(testEndpoints(far, "f", 20), testEndpoints(near, "n", 9)...)
	endpoints = append(endpoints, testEndpoints(here, "h", 3)...)
	counts, order := make(map[byte]int), ""
	for index, ring := range placer.Rings(time.Now(), endpoints, want()) {
		first := ring.Endpoints()[0].Name()[0]
		if order == "" || order[len(order)-1] != first {
			order += string(first)
		}
		for _, endpoint := range ring.Endpoints() {
			counts[first]++
			if endpoint.Name()[0] != first {
				t.Errorf("ring %d asks %s beside those of another distance", index, endpoint.Name())
			}
		}
	}
	if order != "hnf" || counts['h'] != 3 || counts['n'] != ringSize || counts['f'] != ringSize {
		t.Errorf("asked in the order %s: %v", order, counts)
	}
}

// TestAskedByLoad replays a calm day, with a quarter of the endpoints slowed
// down by their neighbours at any moment, and a crest. On the calm day few are
// asked and hardly a request meets a slow endpoint; at the crest all four are.
func TestAskedByLoad(t *testing.T) {
	const requests = 2000
	for name, test := range map[string]struct {
		// busiest bounds the slots in use at an endpoint.
		busiest int
		// least and most bound the mean of endpoints asked; slow is the share of
		// requests that may meet a slow one.
		least, most, slow float64
	}{
		"calm day": {2, 2, 3, 0.01},
		"crest":    {4, 3, 4, 0.3},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		placer := New(here, 1)
		endpoints := testEndpoints(here, "h", 4)
		questions, slow := 0, 0
		for range requests {
			reports := make(map[string]Asked)
			for _, endpoint := range endpoints {
				pace := 1.0
				if random.Float64() < 0.25 {
					pace = 5
				}
				busy := random.IntN(test.busiest + 1)
				if test.busiest == 4 {
					busy = max(busy, 3)
				}
				reports[endpoint.Name()] = asked(endpoint, busy, 0, pace)
			}
			var answers []Asked
			var choice Choice
			for _, ring := range placer.Rings(time.Now(), endpoints, want()) {
				if !ring.Needed(choice) {
					break
				}
				for _, endpoint := range ring.Endpoints() {
					answers = append(answers, reports[endpoint.Name()])
				}
				choice = placer.Choose(time.Now(), answers, want())
			}
			questions += len(answers)
			if reports[choice.Endpoint().Name()].Report().Slowdown() > 1 {
				slow++
			}
		}
		mean, share := float64(questions)/requests, float64(slow)/requests
		t.Logf("%s: %.2f asked for a request, %.3f meet a slow endpoint", name, mean, share)
		if mean < test.least || mean > test.most || share > test.slow {
			t.Errorf("%s: %.2f asked for a request, %.3f meet a slow endpoint", name, mean, share)
		}
	}
}

// TestOutOfReach leaves an endpoint alone that could not be reached, for longer
// each time, and asks it where there is no other.
func TestOutOfReach(t *testing.T) {
	placer := New(here, 1)
	now := time.Now()
	endpoints := testEndpoints(here, "h", 2)
	placer.Missed(now, "h0")
	found := placer.Choose(now, []Asked{asked(endpoints[1], 4, 9, 5)}, want())
	for _, ring := range placer.Rings(now, endpoints, want()) {
		for _, endpoint := range ring.Endpoints() {
			if endpoint.Name() == "h0" && ring.Needed(found) {
				t.Error("an endpoint is asked that was out of reach just now")
			}
		}
	}
	// Replays a crash of all endpoints near by while those far away had been out
	// of reach for a moment: a request was refused that one of them could run.
	rings := placer.Rings(now, endpoints, want())
	if last := rings[len(rings)-1]; last.Endpoints()[0].Name() != "h0" || !last.Needed(Choice{}) {
		t.Error("an endpoint that was out of reach is not asked where no other answers")
	}
	if rings := placer.Rings(now, endpoints[:1], want()); len(rings) != 1 {
		t.Error("the only endpoint is not asked")
	}
	placer.Missed(now, "h0")
	placer.Missed(now, "h0")
	if !placer.isOut(now.Add(3*outLeast), "h0") || placer.isOut(now.Add(outMost+1), "h0") {
		t.Error("the time that an endpoint is left alone does not grow within its bound")
	}
	placer.Reached("h0")
	if placer.isOut(now, "h0") {
		t.Error("an endpoint that answered is still left alone")
	}
}

// TestChoiceByLoad has endpoints whose pace and load differ at the moment of
// the choice.
func TestChoiceByLoad(t *testing.T) {
	h, n, f := testEndpoints(here, "h", 3), testEndpoints(near, "n", 1), testEndpoints(far, "f", 1)
	for name, test := range map[string]struct {
		asked []Asked
		best  string
	}{
		"slow for a moment":       {[]Asked{asked(h[0], 0, 0, 5), asked(h[1], 2, 0, 1)}, "h1"},
		"a queue":                 {[]Asked{asked(h[0], 4, 6, 1), asked(h[1], 2, 0, 1)}, "h1"},
		"crowding":                {[]Asked{asked(h[0], 3, 0, 1), asked(h[1], 1, 0, 1)}, "h1"},
		"near before far":         {[]Asked{asked(f[0], 1, 0, 1), asked(n[0], 1, 0, 1)}, "n0"},
		"far before a long queue": {[]Asked{asked(f[0], 1, 0, 1), asked(h[0], 4, 8, 5)}, "f0"},
	} {
		choice := New(here, 1).Choose(time.Now(), test.asked, want())
		if choice.Endpoint().Name() != test.best {
			t.Errorf("%s: chosen %s, want %s", name, choice.Endpoint().Name(), test.best)
		}
	}
	ill := NewAsked(h[0], definer.NewReport(false, 0, 0, 4, 1))
	if choice := New(here, 1).Choose(time.Now(), []Asked{ill, asked(h[1], 2, 0, 2)}, want()); choice.Endpoint().Name() != "h1" {
		t.Error("an endpoint that says it is ill goes before one that is well")
	}
	if choice := New(here, 1).Choose(time.Now(), []Asked{ill}, want()); !choice.Found() {
		t.Error("an endpoint that says it is ill is not used where there is no other")
	}
}

// TestGreyEndpoint has an endpoint break half of its requests while its health
// is good: it gets few of them, and is forgiven later.
func TestGreyEndpoint(t *testing.T) {
	placer := New(here, 1)
	h := testEndpoints(here, "h", 2)
	now := time.Now()
	for range 3 {
		placer.Broke(now, "h0", 1)
	}
	reports := []Asked{asked(h[0], 0, 0, 1), asked(h[1], 2, 0, 1)}
	if choice := placer.Choose(now, reports, want()); choice.Endpoint().Name() != "h1" {
		t.Error("an endpoint that broke three requests is chosen for being free")
	}
	later := now.Add(10 * troubleHalf)
	reports[1] = asked(h[1], 3, 0, 1)
	if choice := placer.Choose(later, reports, want()); choice.Endpoint().Name() != "h0" {
		t.Error("an endpoint is not forgiven")
	}
}

// TestFarHerd replays the crest of a service of 12 endpoints: 14 hosts see the
// same free endpoint in another region at one moment. Before far answers were
// taken for old, all of them sent it their requests (nine in 10 ms).
func TestFarHerd(t *testing.T) {
	counts := make(map[string]int)
	f := testEndpoints(far, "f", 4)
	for host := range 14 {
		placer := New(here, uint64(host))
		reports := []Asked{asked(f[0], 2, 0, 1), asked(f[1], 2, 0, 1), asked(f[2], 3, 0, 1), asked(f[3], 2, 0, 1)}
		choice := placer.Choose(time.Now(), reports, want())
		counts[choice.Endpoint().Name()]++
		if choice.Roomy() {
			t.Error("a far endpoint with one free slot counts as roomy for a hedge")
		}
	}
	for name, count := range counts {
		if count > 9 {
			t.Errorf("%d of 14 hosts chose %s: %v", count, name, counts)
		}
	}
}

// TestRegionFirst asks other regions only where the own one can't serve in time.
func TestRegionFirst(t *testing.T) {
	placer := New(here, 1)
	endpoints := append(testEndpoints(here, "h", 1), testEndpoints(far, "f", 4)...)
	rings := placer.Rings(time.Now(), endpoints, want())
	busy := placer.Choose(time.Now(), []Asked{asked(endpoints[0], 3, 0, 1)}, want())
	if rings[1].Needed(busy) {
		t.Errorf("another region is asked though the own one serves in %v of %v", busy.Run(), testTarget)
	}
	swamped := placer.Choose(time.Now(), []Asked{asked(endpoints[0], 4, 8, 5)}, want())
	if !rings[1].Needed(swamped) || !rings[1].Needed(Choice{}) {
		t.Error("no other region is asked though the own one can't serve in time")
	}
}

// TestWaitOrRefuse replays a crest: all endpoints are crowded.
func TestWaitOrRefuse(t *testing.T) {
	h := testEndpoints(here, "h", 4)
	crest := []Asked{asked(h[0], 4, 6, 1), asked(h[1], 4, 9, 5), asked(h[2], 4, 7, 1), asked(h[3], 4, 8, 5)}
	placer := New(here, 1)
	if verdict := Judge(placer.Choose(time.Now(), crest, want()), 0); verdict != Wait {
		t.Errorf("a request that can still be answered in time gets %v, want to wait", verdict)
	}
	for range 60 {
		placer.Waited(want(), false)
	}
	if verdict := Judge(placer.Choose(time.Now(), crest, want()), 2*Pause); verdict != Refuse {
		t.Errorf("after sixty waits in vain a request gets %v, want to be refused", verdict)
	}
	late := NewWant(testClass, testLeft-testTarget, testTarget, nil)
	if verdict := Judge(placer.Choose(time.Now(), crest, late), 0); verdict != Refuse {
		t.Errorf("a request that is too late already gets %v, want to be refused at once", verdict)
	}
	calm := []Asked{asked(h[0], 1, 0, 1)}
	if verdict := Judge(placer.Choose(time.Now(), calm, late), 0); verdict != Serve {
		t.Errorf("with room, a late request gets %v, want to be served", verdict)
	}
	if verdict := Judge(Choice{}, 0); verdict != Refuse {
		t.Errorf("with no endpoint, a request gets %v, want to be refused", verdict)
	}
}

// TestTroubleRefusesNobody has the only endpoints with room be ones that broke
// requests a moment ago. A request was refused as hopeless then, though they
// were idle (seen in the logs of tausi-ops trouble-1).
func TestTroubleRefusesNobody(t *testing.T) {
	placer := New(here, 1)
	h := testEndpoints(here, "h", 2)
	now := time.Now()
	for _, endpoint := range h {
		for range troubleMost {
			placer.Broke(now, endpoint.Name(), 1)
		}
	}
	choice := placer.Choose(now, []Asked{asked(h[0], 0, 0, 1), asked(h[1], 1, 0, 1)}, want())
	if verdict := Judge(choice, 0); verdict != Serve {
		t.Errorf("with idle endpoints a request gets %v, want to be served", verdict)
	}
}

// TestForget drops what is known of endpoints that are gone.
func TestForget(t *testing.T) {
	placer := New(here, 1)
	placer.Broke(time.Now(), "gone", 1)
	placer.Broke(time.Now(), "there", 1)
	placer.Forget(map[string]bool{"there": true})
	if len(placer.records) != 1 {
		t.Errorf("%d records are kept, want 1", len(placer.records))
	}
}
