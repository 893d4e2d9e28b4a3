package permitter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

type discardJournal struct{}

func (discardJournal) Change(string, ...any) {}

// fleet is the permitters of all hosts, driven by a clock of its own.
type fleet struct {
	now        time.Time
	hosts      []definer.Host
	permitters map[string]*Permitter
	random     *rand.Rand
	// idle is true while hosts have no requests.
	idle bool
	// sent holds the times of the requests to each endpoint, by its name.
	sent map[string][]time.Time
}

// newFleet returns a fleet with the same number of hosts in each data centre.
func newFleet(centres, hosts int, seed uint64) *fleet {
	fleet := &fleet{
		now: time.Unix(0, 0), permitters: make(map[string]*Permitter), sent: make(map[string][]time.Time),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	for number := range centres * hosts {
		fleet.add(number%centres, number/centres)
	}
	fleet.list(fleet.hosts)
	return fleet
}

// add starts a host, which knows all hosts.
func (fleet *fleet) add(centre, number int) {
	name := fmt.Sprintf("host-%d-%d", centre, number)
	host := definer.NewHost(name, name, name, place(centre), 1)
	fleet.hosts = append(fleet.hosts, host)
	fleet.permitters[name] = New(host, discardJournal{})
	fleet.permitters[name].SetHosts(fleet.now, fleet.hosts)
}

func place(centre int) definer.Place {
	return definer.NewPlace(fmt.Sprint("region-", centre/2), fmt.Sprint("centre-", centre))
}

// list passes a list of hosts to all permitters.
func (fleet *fleet) list(hosts []definer.Host) {
	for _, permitter := range fleet.permitters {
		permitter.SetHosts(fleet.now, hosts)
	}
}

// endpoints returns endpoints in all data centres in turn.
func endpoints(centres, count int) []definer.Endpoint {
	var endpoints []definer.Endpoint
	for number := range count {
		endpoints = append(endpoints, definer.NewEndpoint(fmt.Sprint("i-", number), "reads", "10.0.0.1:1", place(number%centres), 4))
	}
	return endpoints
}

// send has each host probe an endpoint and send it a request if it is permitted.
func (fleet *fleet) send(endpoint definer.Endpoint, report definer.Report) {
	for _, index := range fleet.random.Perm(len(fleet.hosts)) {
		permitter := fleet.permitters[fleet.hosts[index].Name()]
		permitter.Record(fleet.now, endpoint, report)
		if !fleet.idle && permitter.Take(fleet.now, endpoint) {
			fleet.sent[endpoint.Name()] = append(fleet.sent[endpoint.Name()], fleet.now)
		}
	}
}

// window is the time in which requests are counted.
const window = 4 * time.Second

// worst returns the largest number of requests to an endpoint in a window.
func (fleet *fleet) worst(name string) int { return mostIn(fleet.sent[name], window) }

// mostIn returns the largest number of the times sent in a window.
func mostIn(sent []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitSharedByHosts has all hosts send as much as they may to endpoints that name
// limits, while hosts are added, restarted and removed and registrations lapse. In any
// 4 s, an endpoint gets at most one and a half times what it named, and 5 more; on a
// calm fleet it gets nearly all of what it named.
func TestLimitSharedByHosts(t *testing.T) {
	const step, length = 50 * time.Millisecond, 40 * time.Second
	for name, trouble := range map[string]func(fleet *fleet, second int){
		"calm": func(*fleet, int) {},
		"hosts added": func(fleet *fleet, second int) {
			if second%4 == 0 {
				fleet.add(second%6, 100+second)
				fleet.list(fleet.hosts)
			}
		},
		"hosts restarted in turn": func(fleet *fleet, second int) {
			without := slices.Delete(slices.Clone(fleet.hosts), second%len(fleet.hosts), second%len(fleet.hosts)+1)
			fleet.list(without)
		},
		"hosts removed": func(fleet *fleet, second int) {
			if second%6 == 0 && len(fleet.hosts) > 4 {
				delete(fleet.permitters, fleet.hosts[0].Name())
				fleet.hosts = fleet.hosts[1:]
				fleet.list(fleet.hosts)
			}
		},
		"lists differ": func(fleet *fleet, _ int) {
			for name, permitter := range fleet.permitters {
				permitter.SetHosts(fleet.now, slices.DeleteFunc(slices.Clone(fleet.hosts), func(host definer.Host) bool {
					return host.Name() != name && fleet.random.IntN(3) == 0
				}))
			}
		},
		"demand in bursts": func(fleet *fleet, second int) { fleet.idle = second%10 < 7 },
		"registrations lapse": func(fleet *fleet, second int) {
			if second%10 >= 5 {
				fleet.list(fleet.hosts[:len(fleet.hosts)/6])
			} else {
				fleet.list(fleet.hosts)
			}
		},
	} {
		for _, hosts := range []int{1, 3, 20} {
			t.Run(fmt.Sprint(name, ", ", 6*hosts, " hosts"), func(t *testing.T) {
				fleet := newFleet(6, hosts, 1)
				start := fleet.now
				limits := []float64{0, 0.3, 1, 1.8, 3.4, 7.6, 15}
				endpoints := endpoints(6, 3*len(limits))
				for tick := range int(length / step) {
					fleet.now = start.Add(time.Duration(tick) * step)
					if tick%int(time.Second/step) == 0 {
						trouble(fleet, tick*int(step)/int(time.Second))
					}
					for index, endpoint := range endpoints {
						report := definer.NewReport(true, 0, 0, 4, 1).WithLimit(limits[index%len(limits)])
						fleet.send(endpoint, report)
					}
				}
				for index, endpoint := range endpoints {
					limit, sent := limits[index%len(limits)], fleet.sent[endpoint.Name()]
					if worst, allowed := fleet.worst(endpoint.Name()), int(1.5*limit*window.Seconds())+5; worst > allowed {
						t.Errorf("%s with a limit of %v a second gets %d requests in %v, want at most %d", endpoint.Name(), limit, worst, window, allowed)
					}
					if least := int(0.9 * limit * length.Seconds()); name == "calm" && len(sent) < least {
						t.Errorf("%s with a limit of %v a second gets %d requests in %v, want %d or more", endpoint.Name(), limit, len(sent), length, least)
					}
				}
			})
		}
	}
}

// TestWithdrawnLimit checks that an endpoint without a permit is probed again after a
// while, and gets requests again once it names no limit.
func TestWithdrawnLimit(t *testing.T) {
	fleet := newFleet(1, 1, 1)
	endpoints, permitter := endpoints(1, 1), fleet.permitters["host-0-0"]
	free := definer.NewReport(true, 0, 0, 4, 1)
	permitter.Record(fleet.now, endpoints[0], free.WithLimit(0.01))
	if !permitter.Take(fleet.now, endpoints[0]) || permitter.Take(fleet.now, endpoints[0]) {
		t.Fatal("the limit permits other than one request")
	}
	if got := permitter.Candidates(fleet.now, endpoints); len(got) > 0 {
		t.Errorf("%d endpoints are probed at once, want none", len(got))
	}
	if wait, ok := permitter.NextPermit(fleet.now, endpoints); !ok || wait != 100*time.Second {
		t.Errorf("the next permit is in %v, %v; want 100 s", wait, ok)
	}
	if got := permitter.Candidates(fleet.now.Add(recheckInterval), endpoints); len(got) != 1 {
		t.Errorf("%d endpoints are probed after %v, want 1", len(got), recheckInterval)
	}
	permitter.Record(fleet.now, endpoints[0], free)
	for range 100 {
		if !permitter.Take(fleet.now, endpoints[0]) {
			t.Fatal("the endpoint has withdrawn its limit and gets no requests")
		}
	}
}

// TestLimitNamedAgain checks that an endpoint that names its limit in every other answer
// gets no permits by that.
func TestLimitNamedAgain(t *testing.T) {
	fleet := newFleet(1, 1, 1)
	endpoint, permitter := endpoints(1, 1)[0], fleet.permitters["host-0-0"]
	report, taken := definer.NewReport(true, 0, 0, 4, 1), 0
	for range 20 {
		permitter.Record(fleet.now, endpoint, report)
		permitter.Record(fleet.now, endpoint, report.WithLimit(1))
		if permitter.Take(fleet.now, endpoint) {
			taken++
		}
	}
	if taken != 1 {
		t.Errorf("%d requests are permitted at once under a limit of 1 a second, want 1", taken)
	}
}

// TestLeavingEndpoint checks that an endpoint that leaves gets no requests, even if a
// later answer does not say so, and that another process under its name does.
func TestLeavingEndpoint(t *testing.T) {
	fleet := newFleet(1, 1, 1)
	endpoint, permitter := endpoints(1, 1)[0], fleet.permitters["host-0-0"]
	report := definer.NewReport(true, 0, 0, 4, 1)
	permitter.Record(fleet.now, endpoint, report.WithLeaving(true))
	permitter.Record(fleet.now, endpoint, report)
	later := fleet.now.Add(time.Hour)
	if permitter.Take(later, endpoint) || len(permitter.Candidates(later, []definer.Endpoint{endpoint})) > 0 {
		t.Error("an endpoint that leaves is used")
	}
	restarted := endpoint.WithStartedAt(1)
	if len(permitter.Candidates(later, []definer.Endpoint{restarted})) == 0 || !permitter.Take(later, restarted) {
		t.Error("another process of an endpoint that has left is not used")
	}
}

// coldRate is the rate of all services of a test.
type coldRate float64

func (coldRate coldRate) ColdRate(string) float64 { return float64(coldRate) }

// TestColdEndpoints guards against a crowd at endpoints that come back cold and look idle
// to all hosts: in any second, an endpoint gets at most one and a half times its rate, and
// 8 more; on the whole it gets most of its rate. It turns cold again in between.
func TestColdEndpoints(t *testing.T) {
	const step, length = 20 * time.Millisecond, 12 * time.Second
	for _, rate := range []float64{0.5, 4.6, 40, 200} {
		for _, hosts := range []int{1, 17} {
			t.Run(fmt.Sprint(rate, " a second, ", 6*hosts, " hosts"), func(t *testing.T) {
				fleet := newFleet(6, hosts, 1)
				for _, permitter := range fleet.permitters {
					permitter.SetColdRates(coldRate(rate))
				}
				start, endpoints := fleet.now, endpoints(6, 6)
				for tick := range int(length / step) {
					fleet.now = start.Add(time.Duration(tick) * step)
					if fleet.now.Sub(start)%(4*time.Second) == 0 {
						fleet.list(fleet.hosts[:len(fleet.hosts)-1])
					}
					left := 3*time.Second - fleet.now.Sub(start)%(3*time.Second)
					for _, endpoint := range endpoints {
						fleet.send(endpoint, definer.NewReport(true, 0, 0, 6, 1).WithWarmupLeft(left))
					}
				}
				for _, endpoint := range endpoints {
					sent := fleet.sent[endpoint.Name()]
					if worst, allowed := mostIn(sent, time.Second), int(1.5*rate)+8; worst > allowed {
						t.Errorf("%s gets %d requests in a second, want at most %d", endpoint.Name(), worst, allowed)
					}
					demand := float64(hosts) / step.Seconds() // One request of each host in each step.
					if least := int(0.8 * min(rate, demand) * length.Seconds()); len(sent) < least {
						t.Errorf("%s gets %d requests in %v, want %d or more", endpoint.Name(), len(sent), length, least)
					}
				}
			})
		}
	}
}

// TestWarmEndpoint checks that an endpoint that is no longer cold gets any number of
// requests.
func TestWarmEndpoint(t *testing.T) {
	fleet := newFleet(1, 3, 1)
	endpoint, permitter := endpoints(1, 1)[0], fleet.permitters["host-0-0"]
	permitter.SetColdRates(coldRate(1))
	report := definer.NewReport(true, 0, 0, 4, 1)
	permitter.Record(fleet.now, endpoint, report.WithWarmupLeft(time.Second))
	permitter.Record(fleet.now, endpoint, report.WithWarmupLeft(0))
	for range 100 {
		if !permitter.Take(fleet.now, endpoint) {
			t.Fatal("a warm endpoint gets no requests")
		}
	}
}
