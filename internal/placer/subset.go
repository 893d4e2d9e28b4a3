package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

// The endpoints that a host prefers at one distance.
const (
	// hostsPerEndpoint is the number of hosts of a data centre that prefer one of its
	// endpoints. All endpoints have the same, so that the load is even; a host has about as
	// many endpoints where there are as many endpoints as hosts.
	hostsPerEndpoint = 6
	// minSubset is the least number of endpoints that a host prefers in its data centre.
	minSubset = 4
	// subsetSize is the number of endpoints that a host prefers at other distances.
	subsetSize = 6
	// passedOverTime is how long an endpoint is passed over that was found crowded, slow,
	// cold or unhealthy. Endpoints change their speed every 150 ms; half of that is the
	// mean time that is left.
	passedOverTime = 75 * time.Millisecond
)

// seenTime is how long after its last report an endpoint of the data centre without an idle
// connection is still passed over for those with one. After that it is probed like the
// others, so that one that has just joined, or has become fast again, gets requests. Those
// further away get them from hosts of their own data centre.
const seenTime = 2 * time.Second

// Connections knows the connections to endpoints. A new one costs as much as some 80
// probes on an idle one.
type Connections interface {
	// HasIdle reports whether an idle connection to endpoint may be reused now.
	HasIdle(endpoint definer.Endpoint) bool
}

// SetConnections sets what knows the connections to endpoints, so that those with an idle
// one are probed first. Call it before the first use.
func (placer *Placer) SetConnections(connections Connections) { placer.connections = connections }

// subset is the small stable set of endpoints that a host prefers, so that it keeps few
// connections. The zero value prefers none.
type subset struct {
	// host is the name of this host; empty for no preference.
	host string
	// neighbours are the names of the other hosts of the data centre.
	neighbours []string
	// ranks holds the rank of each endpoint by name.
	ranks map[string]rank
}

// rank is the place of an endpoint in the order of one host.
type rank struct {
	// weight is the rendezvous weight of host and endpoint.
	weight uint64
	// higher is the number of hosts of the data centre that weigh the endpoint higher.
	higher int
}

// SetHosts sets the hosts of the fleet, including this one, whose name is self. The host
// then prefers a subset of the endpoints at each distance.
func (placer *Placer) SetHosts(self string, hosts []definer.Host) {
	var neighbours []string
	for _, host := range hosts {
		if host.Place() == placer.place && host.Name() != self {
			neighbours = append(neighbours, host.Name())
		}
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if placer.subset.host == self && slices.Equal(placer.subset.neighbours, neighbours) {
		return
	}
	placer.subset = subset{host: self, neighbours: neighbours, ranks: make(map[string]rank)}
}

// rank returns the rank of an endpoint.
func (subset *subset) rank(endpoint string) rank {
	if known, ok := subset.ranks[endpoint]; ok {
		return known
	}
	weight, higher := rendezvousWeight(subset.host, endpoint), 0
	for _, neighbour := range subset.neighbours {
		if rendezvousWeight(neighbour, endpoint) > weight {
			higher++
		}
	}
	found := rank{weight: weight, higher: higher}
	subset.ranks[endpoint] = found
	return found
}

// rendezvousWeight returns the weight of an endpoint for a host; it is the same in every
// process.
func rendezvousWeight(host, endpoint string) uint64 {
	return xxhash.Sum64String(host + "\x00" + endpoint)
}

// size returns the least size of the subset of a number of endpoints.
func (subset *subset) size(endpoints, distance int) int {
	if distance == distanceCentre {
		return min(minSubset, endpoints)
	}
	return min(subsetSize, endpoints)
}

// prefer moves the preferred endpoints of a group, which is in random order, to its
// front, and behind them the next in the host's order. Endpoints that failed requests or
// were found crowded, slow, cold or unhealthy a moment ago come last. mu is held.
func (placer *Placer) prefer(now time.Time, group []definer.Endpoint, distance int) {
	subset := &placer.subset
	if subset.host == "" || len(group) <= 1 {
		return
	}
	ranked := make([]ranked, 0, len(group))
	for _, endpoint := range group {
		ranked = append(ranked, placer.rank(now, endpoint))
	}
	weights := make([]uint64, 0, len(group))
	for _, entry := range ranked {
		weights = append(weights, entry.weight)
	}
	slices.Sort(weights)
	least := weights[len(weights)-subset.size(len(group), distance)]
	for index, entry := range ranked {
		ranked[index].preferred = entry.weight >= least || distance == distanceCentre && entry.higher < hostsPerEndpoint
	}
	slices.SortStableFunc(ranked, compare)
	for index, entry := range ranked {
		group[index] = entry.endpoint
	}
}

// ranked is an endpoint with what its place in the order of a group depends on.
type ranked struct {
	rank
	endpoint definer.Endpoint
	// failures is the failure score, rounded down.
	failures int
	// troubledAt is when the endpoint was found in trouble; zero if it was not lately.
	troubledAt time.Time
	// preferred is true for an endpoint of the subset.
	preferred bool
	// connected is true if the endpoint has an idle connection or need not have one.
	connected bool
}

// rank returns an endpoint with what its place depends on; mu is held.
func (placer *Placer) rank(now time.Time, endpoint definer.Endpoint) ranked {
	entry := ranked{rank: placer.subset.rank(endpoint.Name()), endpoint: endpoint, connected: true}
	recent := false
	if record, ok := placer.records[endpoint.Name()]; ok {
		recent = now.Sub(record.seenAt) < seenTime
		entry.failures = int(placer.failureScore(now, endpoint.Name()))
		if now.Sub(record.troubledAt) < passedOverTime {
			entry.troubledAt = record.troubledAt
		}
	}
	if placer.connections != nil && (recent || placer.distance(endpoint) != distanceCentre) {
		entry.connected = placer.connections.HasIdle(endpoint)
	}
	return entry
}

// compare orders the endpoints of a group. Those of the subset are in random order if they
// are equal otherwise.
func compare(left, right ranked) int {
	order := cmp.Or(cmp.Compare(left.failures, right.failures), left.troubledAt.Compare(right.troubledAt),
		trueFirst(left.preferred, right.preferred), trueFirst(left.connected, right.connected))
	if order == 0 && !left.preferred {
		return cmp.Compare(right.weight, left.weight)
	}
	return order
}

// trueFirst orders true before false.
func trueFirst(left, right bool) int {
	switch {
	case left == right:
		return 0
	case left:
		return -1
	}
	return 1
}

// recordTrouble records whether an endpoint was found crowded, slow, cold or unhealthy; mu
// is held.
func (placer *Placer) recordTrouble(now time.Time, candidate Candidate, forecast Forecast) {
	if placer.subset.host == "" {
		return
	}
	record := placer.record(candidate.Name())
	record.seenAt = now
	record.troubledAt = time.Time{}
	if forecast.crowded || forecast.cold || !candidate.report.Healthy() || forecast.run > normalRunShare*forecast.normalRun {
		record.troubledAt = now
	}
}
