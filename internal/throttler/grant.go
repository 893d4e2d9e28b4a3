package throttler

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Grant answers another host that asks for permits of one of account's shares. The account
// must have a rate.
func (throttler *Throttler) Grant(now time.Time, account *definer.Account, index int, ask Ask) Answer {
	if index < 0 || index >= Shares {
		return Denial()
	}
	ledger := throttler.ledger(account)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	roster := throttler.roster.Load() // Under mu, so that a ledger never sees an older one.
	ledger.update(now, roster, account)
	share := &ledger.shares[index]
	if !share.isLocal || !throttler.mayGrant(now, roster, share, ask) {
		return Denial()
	}
	share.bucket.charge(now, ask.debt)
	granted := share.bucket.take(now, ask.count)
	if granted == ask.count {
		return NewAnswer(granted, 0)
	}
	return NewAnswer(granted, share.bucket.wait(now))
}

// mayGrant reports whether this host grants the permits of a share that it owns to a host
// that sent ask. A host that has restarted does not know since when it ranks first; the
// other one may vouch for it. If that has restarted too, it may assume so, and the owner's
// registration that outlived the restart confirms it. The bucket then starts empty, since
// other hosts or this one may have granted all permits before. The ledger's mu is held.
func (throttler *Throttler) mayGrant(now time.Time, roster *roster, share *share, ask Ask) bool {
	if throttler.settled(now, roster, share.delayEnd) {
		return true
	}
	vouched := ask.vouched == share.registration
	assumed := ask.assumed == share.registration && throttler.adopted.Load() == share.registration && roster.isFirstKnown(share.since)
	if now.Sub(roster.checkedAt) > throttler.bound || !vouched && !assumed {
		return false
	}
	if !share.isVouched {
		share.isVouched = true
		from := now
		if assumed {
			from = throttler.startedAt // No host has granted permits since the restart.
		}
		share.bucket = newBucket(from, share.bucket.rate, share.bucket.burst)
		if assumed {
			share.bucket.tokens = 1 // So that small accounts are served at once.
		}
	}
	return true
}

// isFirstKnown reports whether a share's owner that ranks first since a time has done so as
// long as this host has known the fleet.
func (roster *roster) isFirstKnown(since time.Time) bool {
	return len(roster.lists) > 0 && roster.lists[0].breaks && roster.lists[0].at.Equal(since)
}

// Adopt says that a registration of an earlier process of this host was still in the store
// when this process first knew it completely. No host has then seen this one missing and
// taken over its shares. Without this, no permit would be granted for the takeover delay
// after all hosts have restarted.
func (throttler *Throttler) Adopt(registration uint64) { throttler.adopted.Store(registration) }
