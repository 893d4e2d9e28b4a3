package placer

import (
	"sync"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
)

// largeDeployment is a deployment of 17 hosts and 45 endpoints in each of six data centres;
// load is a factor of 450 requests a second.
func largeDeployment(load float64) deployment {
	return deployment{
		hosts: 102, noiseShare: 0.25, noiseSlowdown: 5, crowdedSlowdown: 1.7,
		services: []emulatedService{{name: "parcel", endpoints: 102, slots: 6}, {name: "tile", endpoints: 102, slots: 4}, {name: "filing", endpoints: 66, slots: 6}},
		classes: []emulatedClass{
			{name: "lookup", service: "parcel", work: 300 * ms, deadline: 2500 * ms, target: 900 * ms, timeout: 1500 * ms, perSecond: 170 * load, worth: 1},
			{name: "render", service: "tile", work: 190 * ms, deadline: 2000 * ms, target: 600 * ms, timeout: 1200 * ms, perSecond: 180 * load, worth: 1},
			{name: "file", service: "filing", work: 350 * ms, deadline: 3000 * ms, target: 1200 * ms, timeout: 2000 * ms, perSecond: 100 * load, worth: 2},
		},
	}
}

// outcome is the result of a replay.
type outcome struct {
	credit float64
	// probes are for each endpoint and second, and dialed new connections for each request.
	probes, dialed float64
	// busiest is the number of requests of the busiest endpoint of a service as a multiple
	// of the mean.
	busiest float64
	// distant counts the probes beyond the host's data centre.
	distant int
}

const replayTime = 6 * time.Second

// replaySeeds is the number of replays of overload, whose credit differs by 0.02 from seed to
// seed.
const replaySeeds = 3

// meanOf returns the mean outcome of replays with several seeds.
func meanOf(replay func(seed uint64) outcome) outcome {
	var outcomes [replaySeeds]outcome
	var tasks sync.WaitGroup
	for seed := range outcomes {
		tasks.Go(func() { outcomes[seed] = replay(uint64(seed) + 1) })
	}
	tasks.Wait()
	var mean outcome
	for _, outcome := range outcomes {
		mean.credit += outcome.credit / replaySeeds
		mean.probes += outcome.probes / replaySeeds
		mean.distant += outcome.distant
	}
	return mean
}

// replay plays the deployment with a bound on the probes for each endpoint and second.
func replay(t *testing.T, deployment deployment, seed uint64, rate float64) outcome {
	t.Helper()
	paced := newPacedEmulation(deployment, seed, rate)
	paced.play(replayTime)
	asked := 0
	for _, count := range paced.asked {
		asked += count
	}
	result := measure(paced.emulation, paced.served)
	result.dialed, result.distant = float64(paced.dialed)/float64(asked), paced.distant
	t.Logf("bound %.0f: %s; %+v", rate, paced.describe(), result)
	return result
}

// replayFormer plays the deployment as it was before reports were shared and endpoints
// preferred.
func replayFormer(t *testing.T, deployment deployment, seed uint64) outcome {
	t.Helper()
	emulation, served := newEmulation(deployment, seed), make(map[string]int)
	emulation.judge = func(choice Choice, _ []Candidate, waited time.Duration) Verdict {
		verdict := Judge(choice, waited)
		if verdict == Serve {
			served[choice.Endpoint().Name()]++
		}
		return verdict
	}
	emulation.play(replayTime)
	result := measure(emulation, served)
	t.Logf("former: %s; %+v", emulation.describe(), result)
	return result
}

func measure(emulation *emulation, served map[string]int) outcome {
	result := outcome{credit: emulation.credit(), probes: float64(emulation.probes) / float64(len(emulation.byName)) / replayTime.Seconds()}
	for _, endpoints := range emulation.endpoints {
		most, total := 0, 0
		for _, endpoint := range endpoints {
			most, total = max(most, served[endpoint.endpoint.Name()]), total+served[endpoint.endpoint.Name()]
		}
		result.busiest = max(result.busiest, float64(most)*float64(len(endpoints))/float64(total))
	}
	return result
}

// TestPacedOverload guards against probes beyond the fleet's bound under overload: each
// waiting request probed all distances every 40 ms, 13 probes for a request. With the
// bound, requests must still be placed about as well.
func TestPacedOverload(t *testing.T) {
	const bound = 42
	former := meanOf(func(seed uint64) outcome { return replayFormer(t, largeDeployment(8), seed) })
	paced := meanOf(func(seed uint64) outcome { return replay(t, largeDeployment(8), seed, bound) })
	if former.probes <= bound {
		t.Errorf("the former choice sends %.1f probes, so that the replay shows nothing", former.probes)
	}
	if paced.distant == 0 {
		t.Error("no endpoint beyond the data centre is probed")
	}
	if paced.probes > bound || paced.credit < former.credit-0.03 {
		t.Errorf("%.1f probes for each endpoint and second, %d allowed; credit %.3f, formerly %.3f", paced.probes, bound, paced.credit, former.credit)
	}
}

// TestPacedPeak guards against the subsets concentrating the load at peak load, and against
// more probes or connections than before there.
func TestPacedPeak(t *testing.T) {
	former, paced := replayFormer(t, largeDeployment(6), 1), replay(t, largeDeployment(6), 1, 42)
	if paced.busiest > 1.15*former.busiest {
		t.Errorf("the busiest endpoint gets %.2f times the mean, formerly %.2f", paced.busiest, former.busiest)
	}
	if paced.dialed > 0.5 || paced.credit < former.credit-0.02 {
		t.Errorf("%.2f new connections for a request; credit %.3f, formerly %.3f", paced.dialed, paced.credit, former.credit)
	}
}

// TestPacedNormal checks that at normal load the bound changes nothing and requests are
// placed as before, with at most as many probes.
func TestPacedNormal(t *testing.T) {
	former, free, paced := replayFormer(t, largeDeployment(2), 1), replay(t, largeDeployment(2), 1, 0), replay(t, largeDeployment(2), 1, 42)
	if paced != free {
		t.Errorf("with the bound %+v, without it %+v", paced, free)
	}
	if paced.probes > former.probes || paced.credit < former.credit-0.02 {
		t.Errorf("%.1f probes for each endpoint and second, formerly %.1f; credit %.3f, formerly %.3f", paced.probes, former.probes, paced.credit, former.credit)
	}
}

// TestPurposeAfterReuse guards against counting the first tier as a further distance once a
// report was used again: its probes were left out too early.
func TestPurposeAfterReuse(t *testing.T) {
	placer, pace, now := New(here, 1), &pacer.Pacer{}, time.Now()
	h := testEndpoints(here, "h", 4)
	pace.Record(now, h[0], definer.NewReport(true, 4, 0, 4, 1))
	selection := placer.Select(now, pace, nil, append(h, testEndpoints(near, "n", 4)...), testRequest(), pacer.Arriving)
	for _, want := range []pacer.Purpose{pacer.Nearest, pacer.Additional, pacer.Distant} {
		if !selection.Next(now) || selection.Purpose() != want {
			t.Fatalf("the tier is for %v, want %v", selection.Purpose(), want)
		}
		selection.Compare(now)
	}
}
