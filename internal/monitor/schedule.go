package monitor

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Limits of probing.
const (
	// failuresToSuspect is the number of consecutive failed probes before a
	// host is probed indirectly; tolerance adds to it.
	failuresToSuspect = 2
	// maxTolerance limits the tolerance for a host that keeps refuting.
	maxTolerance = 4
	// toleranceDecay is how long a host must answer for its tolerance to drop
	// by one.
	toleranceDecay = time.Minute
	// helperCount is the number of helpers that probe a host before it is
	// suspected.
	helperCount = 2
	// burstInterval is the minimum time between two bursts of updates.
	burstInterval = 500 * time.Millisecond
	// relayPeriod is the interval between digests from a relay to another
	// region.
	relayPeriod = 2 * Period
	// failuresToPartition is the number of consecutive unreachable hosts after
	// which a region counts as unreachable.
	failuresToPartition = 4
)

// Probe is an exchange of digests to carry out now.
type Probe struct {
	host string
	// via is the helper that probes host, or empty for a direct probe.
	via     string
	timeout time.Duration
}

// Host returns the name of the host to probe.
func (probe Probe) Host() string { return probe.host }

// Via returns the name of the helper, or empty for a direct probe.
func (probe Probe) Via() string { return probe.via }

// Timeout returns the time limit of the probe.
func (probe Probe) Timeout() time.Duration { return probe.timeout }

// target is a host that this one probes.
type target struct {
	// due is the time of the next probe; zero while none is scheduled.
	due time.Time
	// pending is true while a probe is in flight.
	pending  bool
	failures int
	// outstanding counts the attempts, through helpers and one direct, whose
	// result is not known yet.
	outstanding int
	// tolerance lengthens timeouts and adds to failuresToSuspect;
	// toleranceChanged is when it last changed.
	tolerance        int
	toleranceChanged time.Time
}

// schedule is the timing of a table's probes.
type schedule struct {
	targets map[string]*target
	// nextRound and nextRelay are the times of the next round of probes in the
	// region and between regions.
	nextRound time.Time
	nextRelay time.Time
	// nextFinger selects the finger that is probed besides the successor.
	nextFinger int
	// nextBurst is the earliest time of the next burst of updates;
	// burstSequence is the sequence up to which updates were sent in a burst.
	nextBurst     time.Time
	burstSequence uint64
	// lastTick is when Tick was last called.
	lastTick time.Time
	// relayFailures counts consecutive unreachable hosts of a region;
	// counterparts holds the host of a region that is being probed.
	relayFailures map[string]int
	counterparts  map[string]string
}

// Tick performs the work that is due and returns the probes to carry out now.
func (table *Table) Tick(now time.Time) []Probe {
	if !table.lastTick.IsZero() && now.Sub(table.lastTick) > pauseLimit {
		table.resume(now)
	}
	table.lastTick = now
	table.expire(now)
	if !now.Before(table.nextRound) {
		table.nextRound = now.Add(Period)
		table.startRound(now)
	}
	if !now.Before(table.nextRelay) {
		table.nextRelay = now.Add(relayPeriod)
		table.startRelay(now)
	}
	if table.sequence > table.burstSequence && !now.Before(table.nextBurst) {
		table.startBurst(now)
	}
	return table.dueProbes(now)
}

// Next returns the time of the next call of Tick.
func (table *Table) Next() time.Time {
	next := table.nextRound
	if table.nextRelay.Before(next) {
		next = table.nextRelay
	}
	if table.sequence > table.burstSequence && table.nextBurst.Before(next) {
		next = table.nextBurst
	}
	for _, target := range table.targets {
		if !target.due.IsZero() && !target.pending && target.due.Before(next) {
			next = target.due
		}
	}
	return next
}

// resume corrects timers and failure counts after a pause of this process.
func (table *Table) resume(now time.Time) {
	table.addEvent(table.self.Name(), "was paused for "+now.Sub(table.lastTick).Round(time.Second).String())
	table.restartSuspicions(now)
	for _, target := range table.targets {
		target.failures = 0
	}
	clear(table.relayFailures)
}

// startRound schedules probes of the successor and one more finger, and of the
// gone hosts that this host is responsible for.
func (table *Table) startRound(now time.Time) {
	fingers := table.fingers()
	if len(fingers) > 0 {
		table.probeSoon(now, fingers[0])
	}
	if len(fingers) > 1 {
		table.nextFinger++
		table.probeSoon(now, fingers[1+table.nextFinger%(len(fingers)-1)])
	}
	for name, known := range table.members {
		if known.State() == definer.Gone && table.targets[name] == nil && table.isPredecessorOf(known) {
			table.target(name).due = now.Add(goneInterval)
		}
	}
}

// startRelay schedules probes of the regions for which this host is the relay.
func (table *Table) startRelay(now time.Time) {
	for _, region := range table.relays() {
		if name, ok := table.counterpart(region, table.relayFailures[region]); ok {
			set(&table.counterparts, region, name)
			table.probeSoon(now, name)
		}
	}
}

// startBurst sends updates to all fingers at once, by probing them.
func (table *Table) startBurst(now time.Time) {
	table.nextBurst = now.Add(burstInterval)
	table.burstSequence = table.sequence
	for _, name := range table.fingers() {
		table.probeSoon(now, name)
	}
	table.startRelay(now)
}

// probeSoon schedules a probe of a host at once.
func (table *Table) probeSoon(now time.Time, name string) {
	target := table.target(name)
	if target.due.IsZero() || target.due.After(now) {
		target.due = now
	}
}

// target returns the target called name, which it creates on first use.
func (table *Table) target(name string) *target {
	if target, ok := table.targets[name]; ok {
		return target
	}
	created := new(target)
	set(&table.targets, name, created)
	return created
}

func (table *Table) dropTarget(name string) { delete(table.targets, name) }

// dueProbes returns the probes that are due.
func (table *Table) dueProbes(now time.Time) []Probe {
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

// timeout returns the time limit of a probe of the target.
func (target *target) timeout() time.Duration {
	return probeTimeout * time.Duration(1+target.tolerance)
}
