package monitor

import (
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

func compareNames(left, right string) int { return strings.Compare(left, right) }

// Succeeded notes that a probe brought an answer, which was heard already.
func (table *Table) Succeeded(now time.Time, probe Probe) {
	target, ok := table.targets[probe.host]
	if !ok {
		return
	}
	if probe.via != "" {
		table.reachedBy(now, target)
		return
	}
	table.Told(probe.host)
	target.pending = false
	target.failures = 0
	target.asked = 0
	if target.patience > 0 && now.Sub(target.calm) >= patienceTime {
		target.patience--
		target.calm = now
	}
	known := table.members[probe.host]
	if known != nil && !table.near(known.Host) {
		table.judge(now, known.Place().Region(), true, probe.host)
	}
	if known != nil && known.State() == definer.Gone {
		target.due = now.Add(gonePause)
	}
}

// reachedBy notes that a helper reaches a host which this one does not: the
// fault is between the two, or the host is slow.
func (table *Table) reachedBy(now time.Time, target *target) {
	target.asked = 0
	target.failures = 0
	target.beMorePatient(now)
}

// beMorePatient gives a slow host longer to answer.
func (target *target) beMorePatient(now time.Time) {
	target.patience = min(target.patience+1, maxPatience)
	target.calm = now
}

// Failed notes that a probe that was started at started brought no answer. It
// returns the probes through helpers to carry out now.
func (table *Table) Failed(now time.Time, probe Probe, started time.Time) []Probe {
	target, ok := table.targets[probe.host]
	known := table.members[probe.host]
	if !ok || known == nil {
		return nil
	}
	if now.Sub(started) > probe.timeout+pauseLimit {
		// This process was paused; the probe says nothing.
		target.pending = false
		target.asked = 0
		return nil
	}
	if probe.via != "" {
		table.unreachedBy(now, target, known)
		return nil
	}
	target.pending = false
	target.failures++
	if !table.near(known.Host) {
		table.judge(now, known.Place().Region(), false, probe.host)
		return nil
	}
	return table.conclude(now, target, known)
}

// conclude decides what follows from the failures of a target in the region.
func (table *Table) conclude(now time.Time, target *target, known *entry) []Probe {
	switch {
	case known.State() == definer.Gone:
		target.due = now.Add(gonePause)
	case known.State() == definer.Suspect:
		target.due = now.Add(Period)
	case target.asked > 0:
		table.unreachedBy(now, target, known)
	case target.failures < failuresToSuspect+target.patience:
		target.due = now.Add(retryPause)
	default:
		return table.ask(now, target, known.Name())
	}
	return nil
}

// ask returns the probes that have others of the region try a host, which this
// one tries once more meanwhile.
func (table *Table) ask(now time.Time, target *target, name string) []Probe {
	var probes []Probe
	job := "help with " + name + " for " + table.self.Name()
	for _, helper := range table.ranked(table.self.Place().Region(), job, definer.Live) {
		if helper != name && helper != table.self.Name() && len(probes) < helpers {
			probes = append(probes, Probe{host: name, via: helper, timeout: 2 * target.timeout()})
		}
	}
	target.asked = len(probes) + 1
	target.due = now
	return probes
}

// unreachedBy notes that one of those that try a host does not reach it.
func (table *Table) unreachedBy(now time.Time, target *target, known *entry) {
	if target.asked == 0 {
		return
	}
	target.asked--
	if target.asked == 0 {
		table.suspect(now, known)
	}
}

// judge notes whether a host of another region was reached by the relay.
func (table *Table) judge(now time.Time, region string, reached bool, name string) {
	if table.counterparts[region] != name || !slices.Contains(table.relays(), region) {
		return
	}
	if reached {
		delete(table.unreached, region)
		table.decideCut(now, region, false)
		return
	}
	set(&table.unreached, region, table.unreached[region]+1)
	table.forgetTold(name)
	if table.unreached[region] >= failuresToCut {
		table.decideCut(now, region, true)
		return
	}
	if next, ok := table.counterpart(region, table.unreached[region]); ok {
		set(&table.counterparts, region, next)
		table.target(next).due = now.Add(retryPause)
	}
}

// decideCut tells the region whether another region is out of reach.
func (table *Table) decideCut(now time.Time, region string, cut bool) {
	mine := table.self.Place().Region()
	known, ok := table.cuts[[2]string{mine, region}]
	if (ok && known.cut == cut) || (!ok && !cut) {
		return
	}
	version := uint64(now.UnixNano())
	if ok {
		version = max(version, known.version+1)
	}
	table.setCut(NewCut(mine, region, cut, version))
}

// Doubt notes that a request or a link failed on a host. A host of the region
// is probed at once; one of another region is avoided for a while.
func (table *Table) Doubt(now time.Time, name string) {
	known, ok := table.members[name]
	switch {
	case !ok || known.State() == definer.Gone:
	case table.near(known.Host):
		table.hasten(now, name)
	default:
		if !now.Before(known.doubted) {
			table.version++
		}
		known.doubted = now.Add(doubtTime)
	}
}
