package monitor

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Limits of the probing.
const (
	// failuresToSuspect is how many probes in a row must fail; patience adds.
	failuresToSuspect = 2
	// maxPatience bounds what a host that contradicts again and again gains.
	maxPatience = 4
	// patienceTime is how long a host must answer for patience to wear off.
	patienceTime = time.Minute
	// helpers is how many others are asked to try a host before it is suspect.
	helpers = 2
	// burstPause is the least time between two bursts of news.
	burstPause = 500 * time.Millisecond
	// relayPeriod is how often the hosts that join two regions exchange news.
	relayPeriod = 2 * Period
	// failuresToCut is how many hosts of a region must fail in a row.
	failuresToCut = 4
)

// Probe is one exchange of digests to carry out now.
type Probe struct {
	host string
	// via is the host that is asked to try host, or empty.
	via     string
	timeout time.Duration
}

// Host returns whom to reach.
func (probe Probe) Host() string { return probe.host }

// Via returns which host is asked to try it, or empty to try it from here.
func (probe Probe) Via() string { return probe.via }

// Timeout bounds the probe.
func (probe Probe) Timeout() time.Duration { return probe.timeout }

// target is a host that this one probes.
type target struct {
	// due is when to probe the host next; zero while nothing asks for it.
	due time.Time
	// pending is true while a probe is on its way.
	pending  bool
	failures int
	// asked counts the tries, by helpers and a last one from here, that have yet
	// to show whether the host is reached.
	asked int
	// patience lengthens timeouts and adds to failuresToSuspect; calm is when
	// it last rose or wore off.
	patience int
	calm     time.Time
}

// schedule is when a table probes whom.
type schedule struct {
	targets map[string]*target
	// period and relay are when the next round of each kind starts.
	period time.Time
	relay  time.Time
	// turn picks the finger that is probed besides the successor.
	turn int
	// burst is when news may be spread again; spread is the last sequence that was.
	burst  time.Time
	spread uint64
	// tick is when Tick was last called.
	tick time.Time
	// unreached counts the hosts of a region that failed in a row; counterparts
	// holds the host of a region that is tried.
	unreached    map[string]int
	counterparts map[string]string
}

// Tick does what time brings and returns the probes to carry out now.
func (table *Table) Tick(now time.Time) []Probe {
	if !table.tick.IsZero() && now.Sub(table.tick) > pauseLimit {
		table.resume(now)
	}
	table.tick = now
	table.expire(now)
	if !now.Before(table.period) {
		table.period = now.Add(Period)
		table.startRound(now)
	}
	if !now.Before(table.relay) {
		table.relay = now.Add(relayPeriod)
		table.startRelay(now)
	}
	if table.sequence > table.spread && !now.Before(table.burst) {
		table.startBurst(now)
	}
	return table.due(now)
}

// Next returns when Tick has something to do.
func (table *Table) Next() time.Time {
	next := table.period
	if table.relay.Before(next) {
		next = table.relay
	}
	if table.sequence > table.spread && table.burst.Before(next) {
		next = table.burst
	}
	for _, target := range table.targets {
		if !target.due.IsZero() && !target.pending && target.due.Before(next) {
			next = target.due
		}
	}
	return next
}

// resume makes up for a pause of this process.
func (table *Table) resume(now time.Time) {
	table.note(table.self.Name(), "was paused for "+now.Sub(table.tick).Round(time.Second).String())
	table.extend(now)
	for _, target := range table.targets {
		target.failures = 0
	}
	clear(table.unreached)
}

// startRound has the successor and one more finger probed, and now and then the
// gone hosts that it is this host's turn to try.
func (table *Table) startRound(now time.Time) {
	fingers := table.fingers()
	if len(fingers) > 0 {
		table.hasten(now, fingers[0])
	}
	if len(fingers) > 1 {
		table.turn++
		table.hasten(now, fingers[1+table.turn%(len(fingers)-1)])
	}
	for name, known := range table.members {
		if known.State() == definer.Gone && table.targets[name] == nil && table.inCharge(known) {
			table.target(name).due = now.Add(gonePause)
		}
	}
}

// startRelay has the regions tried that it is this host's turn to reach.
func (table *Table) startRelay(now time.Time) {
	for _, region := range table.relays() {
		if name, ok := table.counterpart(region, table.unreached[region]); ok {
			set(&table.counterparts, region, name)
			table.hasten(now, name)
		}
	}
}

// startBurst has news handed to all fingers at once.
func (table *Table) startBurst(now time.Time) {
	table.burst = now.Add(burstPause)
	table.spread = table.sequence
	for _, name := range table.fingers() {
		table.hasten(now, name)
	}
	table.startRelay(now)
}

// hasten has a host probed as soon as may be.
func (table *Table) hasten(now time.Time, name string) {
	target := table.target(name)
	if target.due.IsZero() || target.due.After(now) {
		target.due = now
	}
}

// target returns the target called name, which it makes if need be.
func (table *Table) target(name string) *target {
	if target, ok := table.targets[name]; ok {
		return target
	}
	made := new(target)
	set(&table.targets, name, made)
	return made
}

func (table *Table) forgetTarget(name string) { delete(table.targets, name) }

// due returns the probes whose time has come.
func (table *Table) due(now time.Time) []Probe {
	var probes []Probe
	for name, target := range table.targets {
		if _, ok := table.members[name]; !ok {
			delete(table.targets, name)
			continue
		}
		if target.due.IsZero() || now.Before(target.due) || target.pending {
			continue
		}
		target.due = time.Time{}
		target.pending = true
		probes = append(probes, Probe{host: name, timeout: target.timeout()})
	}
	slices.SortFunc(probes, func(left, right Probe) int { return compareNames(left.host, right.host) })
	return probes
}

// timeout bounds a probe of the target.
func (target *target) timeout() time.Duration {
	return probeTimeout * time.Duration(1+target.patience)
}
