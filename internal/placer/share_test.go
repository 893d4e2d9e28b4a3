package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// accountsDeployment is a deployment of 60 hosts and 16 endpoints of six slots and twelve
// places in the queue, for 74 accounts of four ranks. At a load of 1, callers ask for half of
// the capacity.
func accountsDeployment(load func(time.Duration) float64) deployment {
	const accounts, perSecond = 74, 110.0
	deployment := deployment{
		hosts: 60, noiseShare: 0.2, noiseSlowdown: 4, crowdedSlowdown: 1, load: load,
		services: []emulatedService{{name: "maps", endpoints: 16, slots: 6, queue: 12}},
	}
	total := 0.0
	for index := range accounts {
		total += 1 / float64(4+index)
	}
	for index := range accounts {
		rank := index % 4
		deployment.classes = append(deployment.classes, emulatedClass{
			name: fmt.Sprint("a", index), group: "maps", service: "maps", work: 400 * ms, deadline: 4000 * ms, target: 1500 * ms,
			timeout: 3000 * ms, perSecond: perSecond / float64(4+index) / total, worth: []float64{4, 3, 2, 1}[rank],
			rank: rank, account: definer.NewAccount(fmt.Sprint("a", index), rank),
		})
	}
	return deployment
}

// burst returns a load of factor from second 5 to second 12, and of 1 otherwise.
func burst(factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= 5*time.Second && now < 12*time.Second {
			return factor
		}
		return 1
	}
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

// shares are what the callers of a deployment get.
type shares struct {
	credit float64
	// inTime is the share of requests answered in time by account, and ranked by rank.
	// Least is the lowest share of an account's requests that are answered, and all that of
	// all accounts; refusedTwice is the share of requests that were refused twice.
	inTime            map[string]float64
	ranked            [4]float64
	least, all        float64
	refusedTwice      float64
	hung              int
	others, ofAccount float64
}

// heavyAccount is the account that sends 7.5 times its usual in some replays.
const heavyAccount = "a3"

// playShares plays a deployment with some seeds, with or without accounts.
func playShares(t *testing.T, name string, deployment func() deployment, accounts bool) shares {
	t.Helper()
	const seeds = 3
	asked, inTime, answered, shares := make(map[string]float64), make(map[string]float64), make(map[string]float64), shares{inTime: make(map[string]float64)}
	for seed := range uint64(seeds) {
		played := deployment()
		for index := range played.classes {
			if !accounts {
				played.classes[index].account = nil
			}
		}
		emulation := newEmulation(played, seed+1)
		emulation.play(17 * time.Second)
		shares.credit += emulation.credit() / seeds
		shares.hung += emulation.hung
		for _, class := range emulation.classes {
			for _, group := range []string{class.name, fmt.Sprint("rank", class.rank), "all"} {
				asked[group] += float64(emulation.asked[class.name])
				inTime[group] += float64(emulation.inTime[class.name])
				answered[group] += float64(emulation.inTime[class.name] + emulation.late[class.name])
			}
			shares.refusedTwice += float64(emulation.refused[class.name])
		}
	}
	shares.least, shares.all = 1, answered["all"]/asked["all"]
	shares.refusedTwice /= asked["all"]
	for group, count := range asked {
		shares.inTime[group] = inTime[group] / count
		shares.least = min(shares.least, answered[group]/count)
	}
	for rank := range shares.ranked {
		shares.ranked[rank] = shares.inTime[fmt.Sprint("rank", rank)]
	}
	shares.ofAccount = shares.inTime[heavyAccount]
	shares.others = (inTime["all"] - inTime[heavyAccount]) / (asked["all"] - asked[heavyAccount])
	t.Logf("%s, accounts %v: credit %.3f, in time by rank %.3f, %s %.3f, others %.3f, answered %.3f, least %.3f, refused twice %.3f, hung %d",
		name, accounts, shares.credit, shares.ranked, heavyAccount, shares.ofAccount, shares.others, shares.all, shares.least, shares.refusedTwice, shares.hung)
	return shares
}

// checkShares fails if an account is starved, or a request reached a full queue.
func checkShares(t *testing.T, name string, shares shares) {
	t.Helper()
	if shares.least < shares.all/4 {
		t.Errorf("%s: an account has %.2f of its requests answered, all have %.2f", name, shares.least, shares.all)
	}
	if shares.hung > 0 {
		t.Errorf("%s: %d requests reached a full queue", name, shares.hung)
	}
}

// heavyDeployment is a burst of 1.5 times the usual load for 7 s, while one of 74 accounts
// of the same rank sends 7.5 times its usual all the time.
func heavyDeployment() deployment {
	deployment := accountsDeployment(burst(1.5))
	for index := range deployment.classes {
		deployment.classes[index].rank = 0
		if deployment.classes[index].name == heavyAccount {
			deployment.classes[index].perSecond *= 7.5
		}
	}
	return deployment
}

// TestHeavyAccount replays one account at 7.5 times its usual among 74 at too little room,
// with callers that heed Retry-After and with callers that repeat at once. It guards
// against that account taking the slots of the others.
func TestHeavyAccount(t *testing.T) {
	for name, delay := range map[string]time.Duration{"heeds Retry-After": 0, "repeats at once": 5 * ms} {
		deployment := func() deployment {
			deployment := heavyDeployment()
			deployment.returnDelay = delay
			return deployment
		}
		without, with := playShares(t, name, deployment, false), playShares(t, name, deployment, true)
		checkShares(t, name, with)
		if with.others < without.others+0.01 || with.ofAccount > with.others-0.05 {
			t.Errorf("%s: %.3f of the others' requests are answered in time, %.3f before, and %.3f of the account's", name, with.others, without.others, with.ofAccount)
		}
	}
}

// TestRankedBurst replays bursts of 1.7, 2 and 2.5 times the usual load for 7 s. It guards
// against accounts of a high rank getting no more than others.
func TestRankedBurst(t *testing.T) {
	for factor, gap := range map[float64]float64{1.7: 0.02, 2: 0.04, 2.5: 0.08} {
		name := fmt.Sprint("burst of ", factor)
		deployment := func() deployment { return accountsDeployment(burst(factor)) }
		without, with := playShares(t, name, deployment, false), playShares(t, name, deployment, true)
		checkShares(t, name, with)
		if with.ranked[0] < with.ranked[3]+gap || with.credit < without.credit-0.005 {
			t.Errorf("%s: in time by rank %.3f, credit %.3f, before %.3f", name, with.ranked, with.credit, without.credit)
		}
	}
}
