package throttler

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
)

// The requests that all hosts together may send in a window by their fallback limits, if
// no owner answers: a part of the quota and a number. Of the 20 that are allowed beyond the
// quota, 6 are spareBurst of each share, and 6 are for the time between a permit and the
// arrival at the endpoint.
const (
	fallbackPart   = 0.1
	fallbackNumber = 8
	// fallbackUse is the part of them that is divided among the hosts that are known; the
	// rest is for hosts that are not known yet.
	fallbackUse = 0.8
	// holderNumber is the least number of requests in a window that is worth a fallback
	// limit. A host with less would have to wait longer than a window for its first one.
	holderNumber = 2
)

// fallback is the fallback limit of one account on one host.
type fallback struct {
	bucket bucket
	// generation is that of the roster's hosts among which the limit was divided; 0 for
	// none.
	generation uint64
}

// takeFallback takes a permit of the fallback limit; mu is held.
func (ledger *ledger) takeFallback(now time.Time, roster *roster) bool {
	throttler, fallback := ledger.throttler, &ledger.fallback
	if roster.generation == 0 || throttler.fallbackFrom.Load() == 0 {
		return false
	}
	if fallback.generation != roster.generation {
		fallback.generation = roster.generation
		use := throttler.fallbackUse(roster.hosts, ledger.name, ledger.rate, ledger.burst)
		// A bucket allows its burst and what it earns: use in each window.
		rate, burst := use/2/window.Seconds(), use/2
		if fallback.bucket.countedAt.IsZero() {
			fallback.bucket = newBucket(throttler.startedAt.Add(time.Duration(throttler.fallbackFrom.Load())), rate, burst)
		}
		fallback.bucket.setLimits(now, rate, burst)
	}
	return fallback.bucket.take(now, 1) == 1
}

// fallbackUse returns the number of requests that this host may send in a window by the
// fallback limit of an account.
func (throttler *Throttler) fallbackUse(hosts []definer.Host, account string, rate, burst float64) float64 {
	total := fallbackUse * (fallbackPart*(rate*window.Seconds()+burst) + fallbackNumber)
	holders := min(max(1, int(total/holderNumber)), len(hosts))
	ranked := locator.Owners(hosts, definer.Place{}, account+"\x00fallback", holders)
	if !slices.ContainsFunc(ranked, func(host definer.Host) bool { return host.Name() == throttler.self.Name() }) {
		return 0
	}
	return total / float64(holders)
}
