package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// heavyAccount is the account that sends 7.5 times its usual in some replays.
const heavyAccount = "a3"

// accountsDeployment is a deployment of 60 hosts and 16 endpoints of six slots and twelve
// places in the queue, for 74 accounts. Callers ask for half of the capacity, and for factor
// times as much from second 5 to second 12. The accounts have four ranks; if heavy is true,
// all have the same, and one sends 7.5 times its usual.
func accountsDeployment(factor float64, heavy bool) deployment {
	const accounts, scale = 74, 36.7
	deployment := deployment{
		hosts: 60, noiseShare: 0.2, noiseSlowdown: 4, crowdedSlowdown: 1,
		services: []emulatedService{{name: "maps", endpoints: 16, slots: 6, queue: 12}},
		load: func(now time.Duration) float64 {
			if now >= 5*time.Second && now < 12*time.Second {
				return factor
			}
			return 1
		},
	}
	for index := range accounts {
		class := emulatedClass{
			name: fmt.Sprint("a", index), group: "maps", service: "maps", work: 400 * ms, deadline: 4000 * ms, target: 1500 * ms,
			timeout: 3000 * ms, perSecond: scale / float64(4+index), worth: 1,
		}
		if !heavy {
			class.rank, class.worth = index%4, 4-float64(index%4)
		} else if class.name == heavyAccount {
			class.perSecond *= 7.5
		}
		class.account = definer.NewAccount(class.name, class.rank)
		deployment.classes = append(deployment.classes, class)
	}
	return deployment
}

// refuse lets the caller return once, after a random delay.
func (emulation *emulation) refuse(refused *job, choice Choice) {
	if refused.retried {
		emulation.refused[refused.class.name]++
		return
	}
	again := *refused
	again.retried = true
	emulation.returned[refused.class.name]++
	delay := RetryAfter(emulation.random.Float64())
	switch {
	case emulation.returnDelay > 0:
		delay = emulation.returnDelay
	case refused.class.account != nil:
		delay = choice.RetryAfter(emulation.random.Float64())
	}
	emulation.schedule(min(delay, (refused.class.deadline-(emulation.now-refused.first))/3), func() {
		again.arrived = emulation.now
		again.host = emulation.nextHost(refused.host)
		emulation.place(&again, 0)
	})
}

// playShares plays a deployment with some seeds, with or without accounts. It returns the
// credit and the share of requests that are answered in time: of each account, of "rank" with
// the rank, and of "others" than heavyAccount. It fails if an account is starved, or a
// request reaches a full queue.
func playShares(t *testing.T, name string, deployment deployment, accounts bool) (credit float64, inTime map[string]float64) {
	t.Helper()
	const seeds = 8
	inTime, answered, asked, twice := make(map[string]float64), make(map[string]float64), make(map[string]float64), 0
	deployment.classes = slices.Clone(deployment.classes)
	for index := range deployment.classes {
		if !accounts {
			deployment.classes[index].account = nil
		}
	}
	for seed := range uint64(seeds) {
		emulation := newEmulation(deployment, seed+1)
		emulation.play(17 * time.Second)
		credit += emulation.credit() / seeds
		for _, class := range emulation.classes {
			groups := []string{class.name, fmt.Sprint("rank", class.rank), "others"}
			if class.name == heavyAccount {
				groups = groups[:1]
			}
			for _, group := range groups {
				asked[group] += float64(emulation.asked[class.name])
				inTime[group] += float64(emulation.inTime[class.name])
				answered[group] += float64(emulation.inTime[class.name] + emulation.late[class.name])
			}
			twice += emulation.refused[class.name]
		}
		if emulation.hung > 0 {
			t.Errorf("%s: %d requests reached a full queue", name, emulation.hung)
		}
	}
	for group, count := range asked {
		inTime[group] /= count
		if share, all := answered[group]/count, answered["others"]/asked["others"]; share < all/4 {
			t.Errorf("%s: %s has %.2f of its requests answered, others have %.2f", name, group, share, all)
		}
	}
	t.Logf("%s, accounts %v: credit %.3f, in time rank 0 %.3f, rank 3 %.3f, %s %.3f, others %.3f, refused twice %.3f", name, accounts, credit,
		inTime["rank0"], inTime["rank3"], heavyAccount, inTime[heavyAccount], inTime["others"], float64(twice)/(asked["others"]+asked[heavyAccount]))
	return credit, inTime
}

// TestShares replays bursts of 1.7, 2 and 2.5 times the usual load with ranks, and a burst of
// 1.5 while one account of 74 sends 7.5 times its usual, whose callers heed Retry-After or
// repeat at once. It guards against that account taking the slots of others, and against
// accounts of a high rank getting no more than others.
func TestShares(t *testing.T) {
	for _, test := range []struct {
		name        string
		factor      float64
		returnDelay time.Duration
		// first is the group that goes before another, gap the least difference between their
		// shares of requests answered in time, and gain the least gain of the first group.
		first, last string
		gap, gain   float64
	}{
		{"burst of 1.7", 1.7, 0, "rank0", "rank3", 0.02, -0.01},
		{"burst of 2", 2, 0, "rank0", "rank3", 0.04, 0.01},
		{"burst of 2.5", 2.5, 0, "rank0", "rank3", 0.08, 0.02},
		{"heavy account", 1.5, 0, "others", heavyAccount, 0.05, 0.01},
		{"heavy account that repeats at once", 1.5, 5 * ms, "others", heavyAccount, 0.05, 0.01},
	} {
		deployment := accountsDeployment(test.factor, test.last == heavyAccount)
		deployment.returnDelay = test.returnDelay
		before, without := playShares(t, test.name, deployment, false)
		credit, with := playShares(t, test.name, deployment, true)
		if credit < before-0.02 || with[test.first] < without[test.first]+test.gain || with[test.first] < with[test.last]+test.gap {
			t.Errorf("%s: credit %.3f, before %.3f; %.3f of %s in time, before %.3f, and %.3f of %s", test.name, credit, before,
				with[test.first], test.first, without[test.first], with[test.last], test.last)
		}
	}
}
