package runner

import (
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
)

// platformAlarmDelay is how long a platform service may fail before an alarm is
// raised.
const platformAlarmDelay = 5 * time.Second

// ReadinessProblems returns the conditions under which the host is not ready,
// each with its remedy.
func (daemon *Daemon) ReadinessProblems() []string {
	var problems []string
	if daemon.follower.Current().Revision() == 0 {
		problems = append(problems,
			"no configuration is in force here; check that the platform's store or a peer can be reached, "+
				"or found the committee with chivesctl bootstrap")
	}
	if daemon.leaving.Load() {
		problems = append(problems, "the host is leaving; send callers to another")
	}
	return problems
}

// alarms returns the conditions that need an operator, each with its remedy.
// Only those that are also readiness problems make the host not ready.
func (daemon *Daemon) alarms(now time.Time) []string {
	alarms := daemon.ReadinessProblems()
	alarms = append(alarms, platformAlarm("store", daemon.store.Calls(), now)...)
	alarms = append(alarms, platformAlarm("host list", daemon.hostList.Calls(), now)...)
	live, suspect := 0, 0
	for _, host := range daemon.monitor.Members() {
		switch host.State() {
		case definer.Live:
			live++
		case definer.Suspect:
			suspect++
		}
	}
	if live == 1 && len(daemon.monitor.Members()) > 1 {
		alarms = append(alarms, "no peer is live; check the network and [host] peer-address")
	}
	if suspect > 0 {
		alarms = append(alarms, fmt.Sprintf("%d hosts are suspect; look at membership on the time line", suspect))
	}
	return append(alarms, daemon.poolAlarms()...)
}

func platformAlarm(name string, calls *connector.Calls, now time.Time) []string {
	since, failing := calls.FailingSince()
	if !failing || now.Sub(since) < platformAlarmDelay {
		return nil
	}
	return []string{fmt.Sprintf("the platform's %s has not answered since %s; tell the platform's operators, "+
		"and see docs/OPERATING.md on an outage", name, since.UTC().Format(time.RFC3339))}
}

// poolAlarms returns an alarm for each pool that has endpoints whose home is this
// host, if none of them accepts requests.
func (daemon *Daemon) poolAlarms() []string {
	var alarms []string
	for _, pool := range daemon.router.Status().Pools() {
		endpoints, available := pool.Endpoints(), 0
		for _, endpoint := range endpoints {
			switch endpoint.State() {
			case "drained", "draining", "ejected":
			default:
				available++
			}
		}
		if len(endpoints) > 0 && available == 0 {
			alarms = append(alarms, fmt.Sprintf("no endpoint of pool %s takes work here; ask: why %s",
				pool.Name(), endpoints[0].Endpoint().Name()))
		}
	}
	return alarms
}
