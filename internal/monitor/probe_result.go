package monitor

import (
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

func compareNames(left, right string) int { return strings.Compare(left, right) }

// ProbeSucceeded handles an answered probe. The answer has been passed to Merge
// before.
func (table *Table) ProbeSucceeded(now time.Time, probe Probe) {
	target, ok := table.targets[probe.host]
	if !ok {
		return
	}
	if probe.via != "" {
		table.reachedIndirectly(now, target)
		return
	}
	table.Acknowledge(probe.host)
	target.pending = false
	target.failures = 0
	target.outstanding = 0
	if target.tolerance > 0 && now.Sub(target.toleranceChanged) >= toleranceDecay {
		target.tolerance--
		target.toleranceChanged = now
	}
	known := table.members[probe.host]
	if known != nil && !table.inRegion(known.Host) {
		table.recordRelayProbe(now, known.Place().Region(), true, probe.host)
	}
	if known != nil && known.State() == definer.Gone {
		target.due = now.Add(goneInterval)
	}
}

// reachedIndirectly handles an answer, through a helper, from a host that did not
// answer this one: the path between the two is broken, or the host is slow.
func (table *Table) reachedIndirectly(now time.Time, target *target) {
	target.outstanding = 0
	target.failures = 0
	target.raiseTolerance(now)
}

// raiseTolerance gives a slow host more time to answer.
func (target *target) raiseTolerance(now time.Time) {
	target.tolerance = min(target.tolerance+1, maxTolerance)
	target.toleranceChanged = now
}

// ProbeFailed handles a probe, sent at started, that was not answered. It returns
// the indirect probes to carry out now.
func (table *Table) ProbeFailed(now time.Time, probe Probe, started time.Time) []Probe {
	target, ok := table.targets[probe.host]
	known := table.members[probe.host]
	if !ok || known == nil {
		return nil
	}
	if now.Sub(started) > probe.timeout+pauseLimit {
		// This process was paused, so the timeout says nothing about the host.
		target.pending = false
		target.outstanding = 0
		return nil
	}
	if probe.via != "" {
		table.attemptFailed(now, target, known)
		return nil
	}
	target.pending = false
	target.failures++
	if !table.inRegion(known.Host) {
		table.recordRelayProbe(now, known.Place().Region(), false, probe.host)
		return nil
	}
	return table.handleFailure(now, target, known)
}

// handleFailure decides the next step after a failed probe of a host of the
// region.
func (table *Table) handleFailure(now time.Time, target *target, known *entry) []Probe {
	switch {
	case known.State() == definer.Gone:
		target.due = now.Add(goneInterval)
	case known.State() == definer.Suspect:
		target.due = now.Add(Period)
	case target.outstanding > 0:
		table.attemptFailed(now, target, known)
	case target.failures < failuresToSuspect+target.tolerance:
		target.due = now.Add(retryDelay)
	default:
		return table.indirectProbes(now, target, known.Name())
	}
	return nil
}

// indirectProbes returns the probes of a host through other hosts of the
// region. It also schedules one more direct probe.
func (table *Table) indirectProbes(now time.Time, target *target, name string) []Probe {
	var probes []Probe
	job := "help with " + name + " for " + table.self.Name()
	for _, helper := range table.ranked(table.self.Place().Region(), job, definer.Live) {
		if helper != name && helper != table.self.Name() && len(probes) < helperCount {
			probes = append(probes, Probe{host: name, via: helper, timeout: 2 * target.timeout()})
		}
	}
	target.outstanding = len(probes) + 1
	target.due = now
	return probes
}

// attemptFailed handles the failure of one of the outstanding attempts,
// and suspects the host when none is left.
func (table *Table) attemptFailed(now time.Time, target *target, known *entry) {
	if target.outstanding == 0 {
		return
	}
	target.outstanding--
	if target.outstanding == 0 {
		table.suspect(now, known)
	}
}

// recordRelayProbe records whether the relay reached a host of another region.
func (table *Table) recordRelayProbe(now time.Time, region string, reached bool, name string) {
	if table.counterparts[region] != name || !slices.Contains(table.relays(), region) {
		return
	}
	if reached {
		delete(table.relayFailures, region)
		table.reportPartition(now, region, false)
		return
	}
	set(&table.relayFailures, region, table.relayFailures[region]+1)
	table.resetPeer(name)
	if table.relayFailures[region] >= failuresToPartition {
		table.reportPartition(now, region, true)
		return
	}
	if next, ok := table.counterpart(region, table.relayFailures[region]); ok {
		set(&table.counterparts, region, next)
		table.target(next).due = now.Add(retryDelay)
	}
}

// reportPartition reports to the own region whether another region is
// unreachable.
func (table *Table) reportPartition(now time.Time, region string, active bool) {
	mine := table.self.Place().Region()
	known, ok := table.partitions[[2]string{mine, region}]
	if (ok && known.active == active) || (!ok && !active) {
		return
	}
	version := uint64(now.UnixNano())
	if ok {
		version = max(version, known.version+1)
	}
	table.setPartition(NewPartition(mine, region, active, version))
}

// ReportFailure handles the failure of a request or connection to a host. A
// host of the own region is probed at once; one of another region is avoided
// for avoidanceTime.
func (table *Table) ReportFailure(now time.Time, name string) {
	known, ok := table.members[name]
	switch {
	case !ok || known.State() == definer.Gone:
	case table.inRegion(known.Host):
		table.probeSoon(now, name)
	default:
		if !now.Before(known.avoidedUntil) {
			table.version++
		}
		known.avoidedUntil = now.Add(avoidanceTime)
	}
}
