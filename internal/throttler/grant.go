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
// that has restarted does not know since when it ranks first; another one may vouch for it.
// The bucket then starts empty, since other hosts may have granted permits until now. The
// ledger's mu is held.
func (throttler *Throttler) mayGrant(now time.Time, roster *roster, share *share, vouched uint64) bool {
	if throttler.settled(now, roster, share.delayEnd) {
		return true
	}
	if now.Sub(roster.checkedAt) > throttler.bound || vouched != share.registration {
		return false
	}
	if !share.isVouched {
		share.isVouched = true
		share.bucket = newBucket(now, share.bucket.rate, share.bucket.burst)
	}
	return true
}
