// Package throttler decides on the permits by which all hosts together keep within the
// quotas of client accounts. Package dispatcher takes a permit for each request, and
// package launcher carries the messages between hosts.
//
// The quota of an account is divided into three shares of equal size. The owner of a
// share is the host that ranks highest for it among the hosts in the view; it counts the
// share's permits in a token bucket and grants them to all hosts. A [Throttler] decides
// both sides for one host: whom to ask for a permit ([Throttler.Next]) and what to grant
// ([Throttler.Grant]). docs/design/quota.md proves that the shares of two owners never
// overlap, and which sums bound the requests.
//
// The package is designed for 100 hosts with a sixth of a core each, 10,000 accounts, of
// which 100 are in use, and 1,000 requests per second. Owners are computed when a list of
// hosts changes, and only for accounts in use. A request that needs no message locks only
// its account and allocates nothing.
//
// The package does no I/O, starts no goroutines and reads no clock.
package throttler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// Shares is the number of shares of each quota, so that two remain if an owner is lost.
	Shares = 3
	// ReplyTimeout is the time within which an owner's reply must arrive. A permit in a
	// later reply is lost, since it may belong to another window of time.
	ReplyTimeout = 100 * time.Millisecond
	// window is the time for which a quota bounds the requests.
	window = 5 * time.Second
	// maxEmpty is the longest time for which an owner without permits is not asked. Others
	// may leave permits unused that it has promised for later.
	maxEmpty = 200 * time.Millisecond
	// silence is the time for which a host that did not answer is not asked. It is short, since
	// hosts that restart together are back within half a second of each other.
	silence = 300 * time.Millisecond
	// maxWait is the longest time that a refusal names.
	maxWait = 10 * time.Second
	// grantAge is the age of the view, as a multiple of the bound within which changes must
	// be in force, up to which an owner grants.
	grantAge = 2.5
)

// Journal logs changes of what the host grants.
type Journal interface {
	// Change logs a change.
	Change(message string, details ...any)
}

// Throttler decides on the permits of one host. Make one with New. It is safe for
// concurrent use.
type Throttler struct {
	self    definer.Host
	journal Journal
	// regions are the regions of the fleet, sorted, whether or not they have hosts.
	regions []string
	// bound is the time within which a change must be in force on all hosts.
	bound time.Duration
	// startedAt is when the process started.
	startedAt time.Time
	// firstStart is true if no process of the fleet ran before.
	firstStart bool
	// roster is what is known of the fleet; never nil. Only Update replaces it.
	roster atomic.Pointer[roster]
	// cache holds the ledger of each account by its *definer.Account, so that a request
	// finds it without a lock. It is cleared now and then, since each table has accounts of
	// its own.
	cache sync.Map

	// fallbackFrom is the time from which fallback limits apply, in nanoseconds since the
	// start of the process; 0 if the host has never known a complete list.
	fallbackFrom atomic.Int64
	// adopted is the registration of an earlier process that outlived the restart; 0 for
	// none.
	adopted atomic.Uint64
	// granting is true while the host grants permits of shares. Only Update uses it.
	granting bool
	// peers holds what is known of other hosts by name. Only Update uses it.
	peers map[string]*peer

	// mu guards the fields below.
	mu sync.Mutex
	// ledgers holds the ledger of each account in use by its name.
	ledgers map[string]*ledger
	// clearedAt is when cache was last cleared.
	clearedAt time.Time
}

// New returns a throttler of the host self, whose process started at startedAt. The
// regions are those of the fleet, and bound is the time within which a change must be in
// force on all hosts.
func New(self definer.Host, regions []string, bound time.Duration, startedAt time.Time, journal Journal) *Throttler {
	throttler := &Throttler{
		self: self, regions: regions, bound: bound, startedAt: startedAt, journal: journal,
		ledgers: make(map[string]*ledger), peers: make(map[string]*peer),
	}
	throttler.roster.Store(&roster{})
	return throttler
}

// SetFirstStart says that no process of the fleet ran before this start. Call it before
// the first use.
func (throttler *Throttler) SetFirstStart() { throttler.firstStart = true }

// delay is the age of a view up to which an owner grants, and the time for which a host
// must rank first before it grants (the takeover delay).
func (throttler *Throttler) delay() time.Duration {
	return time.Duration(grantAge * float64(throttler.bound))
}

// ledger returns the ledger of account, which has a rate.
func (throttler *Throttler) ledger(account *definer.Account) *ledger {
	if cached, ok := throttler.cache.Load(account); ok {
		return cached.(*ledger)
	}
	throttler.mu.Lock()
	defer throttler.mu.Unlock()
	known, ok := throttler.ledgers[account.Name()]
	if !ok {
		known = newLedger(throttler, account.Name())
		throttler.ledgers[account.Name()] = known
	}
	throttler.cache.Store(account, known)
	return known
}

const (
	// clearInterval is the time after which the cache is cleared, which holds the accounts
	// of earlier tables too.
	clearInterval = time.Minute
	// idleTime is the time after which the ledger of an account that is not in use is
	// dropped.
	idleTime = 10 * time.Minute
)

// forget drops what is known of accounts that are no longer in use.
func (throttler *Throttler) forget(now time.Time) {
	throttler.mu.Lock()
	defer throttler.mu.Unlock()
	if now.Sub(throttler.clearedAt) < clearInterval {
		return
	}
	throttler.clearedAt = now
	for name, ledger := range throttler.ledgers {
		if ledger.idle(now) {
			delete(throttler.ledgers, name)
		}
	}
	throttler.cache.Clear()
}

// offset returns the share that the host asks first among equally near ones, so that the
// hosts spread their questions.
func (throttler *Throttler) offset() int {
	return int(xxhash.Sum64String(throttler.self.Name()) % Shares)
}
