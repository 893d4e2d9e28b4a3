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
	roster, ledger := throttler.roster.Load(), throttler.ledger(account)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.update(now, roster, account)
	share := &ledger.shares[index]
	if !share.isLocal || !throttler.mayGrant(now, roster, share, ask.vouched) {
		return Denial()
	}
	share.bucket.charge(now, ask.debt)
	granted := share.bucket.take(now, ask.count)
	if granted == ask.count {
		return NewAnswer(granted, 0)
	}
	return NewAnswer(granted, share.bucket.wait(now))
}

// mayGrant reports whether this host grants the permits of a share that it owns. A host
// that has restarted does not know since when it ranks first; another one may vouch for it,
// or its own registration that outlived the restart. The bucket then starts empty, since
// the host may have granted all permits before. The ledger's mu is held.
func (throttler *Throttler) mayGrant(now time.Time, roster *roster, share *share, vouched uint64) bool {
	if throttler.settled(now, roster, share.since) {
		return true
	}
	adopted := throttler.adopted.Load() == share.registration
	if now.Sub(roster.checkedAt) > throttler.bound || vouched != share.registration && !adopted {
		return false
	}
	if !share.isVouched {
		share.isVouched = true
		from := now // Other hosts may have granted permits until now.
		if adopted {
			from = share.since
		}
		share.bucket = newBucket(from, share.bucket.rate, share.bucket.burst)
	}
	return true
}

// Adopt says that a registration of an earlier process of this host was still in the store
// when this process first knew it completely. No other host has seen this host missing
// then, so that none has taken over its shares; without this, no permit would be granted
// for the takeover delay after all hosts have restarted.
func (throttler *Throttler) Adopt(registration uint64) { throttler.adopted.Store(registration) }
