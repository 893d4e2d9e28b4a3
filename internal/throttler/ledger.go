package throttler

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
)

// ledger holds what a host knows of one account's permits.
type ledger struct {
	throttler *Throttler
	name      string
	// mu guards the fields below.
	mu sync.Mutex
	// rate and burst are the account's.
	rate, burst float64
	// number is that of the list of hosts that the owners were computed from.
	number uint64
	shares [Shares]share
	// order holds the indexes of the shares, that of the nearest owner first.
	order [Shares]int
	// debt is the number of further attempts that no owner has counted yet.
	debt     int
	fallback fallback
	// usedAt is when the ledger was last used.
	usedAt time.Time
}

// share is a share of an account's quota.
type share struct {
	// place is that of the hosts that own the share, if there are any.
	place definer.Place
	// key identifies the share in the ranking of the hosts.
	key string
	// owner is the host that ranks first by its registration; peer is nil if there is none.
	owner        definer.Host
	registration uint64
	peer         *peer
	// since is the time since which the owner ranks first, and delayEnd the end of its
	// takeover delay.
	since, delayEnd time.Time
	// isLocal is true if this host is the owner, which counts the permits in bucket.
	// isVouched is true if another host has vouched for it since it ranks first.
	isLocal, isVouched bool
	bucket             bucket
	// emptyUntil is the end of the time for which the owner is not asked, since it has no
	// permits until nextAt or, if isDenied is true, does not grant any.
	emptyUntil, nextAt time.Time
	isDenied           bool
}

// newLedger returns the ledger of the account called name.
func newLedger(throttler *Throttler, name string) *ledger {
	ledger := &ledger{throttler: throttler, name: name, order: [Shares]int{0, 1, 2}}
	regions := throttler.shareRegions(name)
	for index := range ledger.shares {
		ledger.shares[index].key = name + "\x00" + strconv.Itoa(index)
		if len(regions) == Shares {
			ledger.shares[index].place = definer.NewPlace(regions[index], "")
		}
	}
	return ledger
}

// shareRegions returns the regions whose hosts own the shares of an account; none if the
// fleet has too few. They do not depend on which hosts are registered, so that the hosts
// rank in the same order for a share at all times.
func (throttler *Throttler) shareRegions(account string) []string {
	if len(throttler.regions) < Shares {
		return nil
	}
	regions := slices.Clone(throttler.regions)
	slices.SortFunc(regions, func(left, right string) int {
		return cmp.Compare(xxhash.Sum64String(left+"\x00"+account), xxhash.Sum64String(right+"\x00"+account))
	})
	return regions[:Shares]
}

// spareBurst is what a share's bucket holds beyond its part of the burst. With its part
// alone, the buckets of a small account would be full most of the time and lose permits: at
// 3 requests per second and a burst of 3, a tenth to a third of the requests below the quota.
const spareBurst = 2

// shareLimits returns the rate and the burst of one share.
func (ledger *ledger) shareLimits() (rate, burst float64) {
	return ledger.rate / Shares, ledger.burst/Shares + spareBurst
}

// update brings the ledger up to date; mu is held.
func (ledger *ledger) update(now time.Time, roster *roster, account *definer.Account) {
	ledger.usedAt = now
	if account.Rate() != ledger.rate || account.Burst() != ledger.burst {
		ledger.rate, ledger.burst = account.Rate(), account.Burst()
		rate, burst := ledger.shareLimits()
		for index := range ledger.shares {
			ledger.shares[index].bucket.setLimits(now, rate, burst)
		}
		ledger.fallback.generation = 0
	}
	if roster.number() != ledger.number {
		ledger.follow(roster)
	}
}

// follow computes the owners from the lists that are new; mu is held.
func (ledger *ledger) follow(roster *roster) {
	oldest := roster.lists[0]
	if ledger.number+1 < oldest.number || (ledger.number < oldest.number && oldest.breaks) {
		for index := range ledger.shares {
			ledger.shares[index].peer, ledger.shares[index].isLocal = nil, false
		}
	}
	for _, list := range roster.lists {
		for index := range ledger.shares {
			if list.number > ledger.number {
				ledger.followList(&ledger.shares[index], list, roster)
			}
		}
	}
	ledger.number = roster.number()
	for index := range ledger.order {
		ledger.order[index] = (index + ledger.throttler.offset()) % Shares
	}
	slices.SortStableFunc(ledger.order[:], func(left, right int) int {
		return ledger.throttler.distance(&ledger.shares[left]) - ledger.throttler.distance(&ledger.shares[right])
	})
}

// followList computes the owner of a share from the next list; mu is held.
func (ledger *ledger) followList(share *share, list *list, roster *roster) {
	candidates := list.hosts
	if share.peer != nil && list.has(share.owner.Name(), share.registration) {
		candidates = list.added
	}
	index := locator.First(candidates, share.place, share.key)
	if index < 0 {
		if len(list.hosts) == 0 {
			share.peer, share.isLocal = nil, false // No host is registered.
		}
		return
	}
	first := candidates[index]
	if len(candidates) < len(list.hosts) && locator.First([]definer.Host{share.owner, first}, share.place, share.key) == 0 {
		return
	}
	position, _ := list.find(first.Name())
	rate, burst := ledger.shareLimits()
	share.owner, share.registration = first, list.members[position].registration
	share.since, share.delayEnd = list.at, list.at.Add(list.delay)
	share.peer = roster.peers[first.Name()]
	share.isLocal, share.isVouched = first.Name() == ledger.throttler.self.Name(), false
	share.emptyUntil, share.nextAt, share.isDenied = time.Time{}, time.Time{}, false
	share.bucket = newBucket(share.delayEnd, rate, burst)
	if list.full {
		share.bucket.tokens = burst
	}
}

// distance orders the owners of shares, the nearest first.
func (throttler *Throttler) distance(share *share) int {
	switch {
	case share.isLocal:
		return 0
	case share.peer == nil:
		return 4
	case share.owner.Place() == throttler.self.Place():
		return 1
	case share.owner.Place().Region() == throttler.self.Place().Region():
		return 2
	}
	return 3
}

// idle reports whether the ledger can be dropped: a new one would hold the same.
func (ledger *ledger) idle(now time.Time) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if now.Sub(ledger.usedAt) < idleTime || ledger.debt > 0 {
		return false
	}
	for index := range ledger.shares {
		share := &ledger.shares[index]
		share.bucket.refill(now)
		if share.isLocal && share.bucket.tokens < share.bucket.burst {
			return false
		}
	}
	return true
}
