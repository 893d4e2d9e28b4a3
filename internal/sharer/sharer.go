// Package sharer decides which requests take precedence when a service has too few
// slots: by priority, then by the fair share of the request's account, then by the
// time left. It also decides how a rejected
// caller's return is timed, and how long the silence of an endpoint can be explained.
// Package placer asks it for each choice.
//
// The package is designed for 74 accounts in use (10,000 known) and about ten requests
// per second of a service on one of 100 hosts. A host knows only its own part of each
// account's requests, and there are no messages: where each host keeps the proportions
// among the requests it gets, all hosts together do. See docs/design/fair-shares.md.
//
// The package does no I/O, starts no goroutines and reads no clock.
package sharer

import (
	"math"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// useHalfLife is the half-life of the use of slots. A host gets about one request of an
	// account in 5 s, so that the use within a shorter time says little about an account.
	useHalfLife = 10 * time.Second
	// servedHalfLife is the half-life of the counts from which an account's served share
	// is computed. It is long, since the count of one account on one host is low.
	servedHalfLife = time.Minute
	// rejectedHalfLife is the half-life of the share of a service's requests that is
	// rejected. It is short, so that few are held back after an overload.
	rejectedHalfLife = 2 * time.Second
	// refreshInterval is the time between computations of a service's fair level, which
	// take time proportional to the number of accounts in use.
	refreshInterval = time.Second
	// accountMemory is the time after its last request for which an account is in use.
	accountMemory = 2 * time.Minute
	// levelRounds bounds the rounds in which the fair level is computed. Each round leaves
	// out the accounts that want less than the level of the one before.
	levelRounds = 8
	// servedFloor is the served share, as a part of that of all requests, below which an
	// account is not held back. The requirement is a quarter over a day; a host sees few
	// requests of an account, so that it starts earlier.
	servedFloor = 0.5
	// priorRequests is the number of requests that are assumed to have been served as
	// often as others before the first request of an account.
	priorRequests = 1
)

// Sharer keeps the recent use of each service by accounts on one host. The zero value is
// ready for use. It is not safe for concurrent use: placer guards it with its own lock.
type Sharer struct {
	services map[string]*service
}

// decayed is a sum whose parts lose weight with time.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum as of now.
func (decayed *decayed) value(now time.Time, halfLife time.Duration) float64 {
	if decayed.sum == 0 {
		return 0
	}
	return decayed.sum * math.Exp2(-float64(max(now.Sub(decayed.at), 0))/float64(halfLife))
}

// add adds an amount to the sum.
func (decayed *decayed) add(now time.Time, halfLife time.Duration, amount float64) {
	decayed.sum = decayed.value(now, halfLife) + amount
	decayed.at = now
}

// service is the recent use of one service.
type service struct {
	accounts map[string]*account
	// asked and served count requests of accounts with servedHalfLife, those rejected and
	// served afterwards included once each.
	asked, served decayed
	// arrived and rejected count requests with rejectedHalfLife.
	arrived, rejected decayed
	// level is the fair share in seconds of slots per unit of weight, as of refreshedAt;
	// infinite if all accounts got what they asked for.
	level       float64
	refreshedAt time.Time
	// defaultWeight is the weight of an account without a quota: the mean of the others.
	defaultWeight float64
	// recent holds the precedence of the latest requests.
	recent precedences
}

// account is the recent use of a service by one account.
type account struct {
	// quota is the account's quota in requests per second, or 0 for none.
	quota float64
	// used is the time of slots used, and wanted the time asked for, both in seconds with
	// useHalfLife.
	used, wanted decayed
	// asked and served count requests with servedHalfLife.
	asked, served decayed
	seenAt        time.Time
}

// Claim is a request as far as its precedence depends on it.
type Claim struct {
	account *definer.Account
	// priority is higher for requests that matter more.
	priority int
	// returned is true if the caller was rejected before.
	returned bool
	// timeLeft is the time in which an answer is of full use.
	timeLeft time.Duration
	// run is the expected use of a slot at normal speed.
	run time.Duration
}

// NewClaim returns the claim of a request. The account is nil if there is none.
func NewClaim(account *definer.Account, priority int, returned bool, timeLeft, run time.Duration) Claim {
	return Claim{account: account, priority: priority, returned: returned, timeLeft: timeLeft, run: run}
}

// service returns the state of a service, and adds it if it is new.
func (sharer *Sharer) service(name string) *service {
	found, ok := sharer.services[name]
	if !ok {
		if sharer.services == nil {
			sharer.services = make(map[string]*service)
		}
		found = &service{accounts: make(map[string]*account), level: math.Inf(1), defaultWeight: 1}
		sharer.services[name] = found
	}
	return found
}

// account returns the state of the account of a claim, and adds it if it is new.
func (service *service) account(claim Claim) *account {
	found, ok := service.accounts[claim.account.Name()]
	if !ok {
		found = &account{}
		service.accounts[claim.account.Name()] = found
	}
	found.quota = claim.account.Rate()
	return found
}

// weight returns the account's weight in the fair shares.
func (service *service) weight(account *account) float64 {
	if account.quota > 0 {
		return account.quota
	}
	return service.defaultWeight
}

// RecordArrival records a request of a service. Requests without an account are left out.
func (sharer *Sharer) RecordArrival(now time.Time, name string, claim Claim) {
	if claim.account == nil {
		return
	}
	service := sharer.service(name)
	account := service.account(claim)
	account.seenAt = now
	account.wanted.add(now, useHalfLife, claim.run.Seconds())
	account.asked.add(now, servedHalfLife, 1)
	service.asked.add(now, servedHalfLife, 1)
	service.arrived.add(now, rejectedHalfLife, 1)
	service.refresh(now)
	service.recent.add(service.precedence(now, account, claim))
}

// RecordUse records that a request, or a further attempt of it, uses a slot.
func (sharer *Sharer) RecordUse(now time.Time, name string, claim Claim) {
	if claim.account == nil {
		return
	}
	sharer.service(name).account(claim).used.add(now, useHalfLife, claim.run.Seconds())
}

// RecordServed records that a request gets its first slot.
func (sharer *Sharer) RecordServed(now time.Time, name string, claim Claim) {
	if claim.account == nil {
		return
	}
	service := sharer.service(name)
	service.account(claim).served.add(now, servedHalfLife, 1)
	service.served.add(now, servedHalfLife, 1)
}

// RecordRejected records that a request gets no slot.
func (sharer *Sharer) RecordRejected(now time.Time, name string, claim Claim) {
	if claim.account == nil {
		return
	}
	sharer.service(name).rejected.add(now, rejectedHalfLife, 1)
}

// refresh forgets accounts that are no longer in use and computes the fair level, at most
// once in refreshInterval.
func (service *service) refresh(now time.Time) {
	if now.Sub(service.refreshedAt) < refreshInterval {
		return
	}
	service.refreshedAt = now
	quotas, count := 0.0, 0
	for name, account := range service.accounts {
		if now.Sub(account.seenAt) > accountMemory {
			delete(service.accounts, name)
		} else if account.quota > 0 {
			quotas += account.quota
			count++
		}
	}
	service.defaultWeight = 1
	if count > 0 {
		service.defaultWeight = quotas / float64(count)
	}
	service.level = service.fairLevel(now)
}

// fairLevel returns the use per unit of weight at which the accounts that want more share
// equally what those that want less leave of the slots used.
func (service *service) fairLevel(now time.Time) float64 {
	level := 0.0
	for range levelRounds {
		left, weights := 0.0, 0.0
		for _, account := range service.accounts {
			left += account.used.value(now, useHalfLife)
			if wanted, weight := account.wanted.value(now, useHalfLife), service.weight(account); wanted > level*weight {
				weights += weight
			} else {
				left -= wanted
			}
		}
		if weights == 0 {
			return math.Inf(1)
		}
		next := max(left, 0) / weights
		if next <= level {
			break
		}
		level = next
	}
	return level
}

// excess returns the use of an account as a multiple of its fair share, at least 1. One
// request more than the share is allowed: at the rate of an account on one host, the share
// is often less than one request.
func (service *service) excess(now time.Time, account *account, claim Claim) float64 {
	allowed := service.level*service.weight(account) + claim.run.Seconds()
	if math.IsInf(allowed, 1) || allowed <= 0 {
		return 1
	}
	return max(1, account.used.value(now, useHalfLife)/allowed)
}

// isStarved reports whether the served share of an account is so far below that of all
// requests that it is not held back.
func (service *service) isStarved(now time.Time, account *account) bool {
	asked := service.asked.value(now, servedHalfLife)
	if asked == 0 {
		return false
	}
	overall := service.served.value(now, servedHalfLife) / asked
	served := account.served.value(now, servedHalfLife) + priorRequests*overall
	return served < servedFloor*overall*(account.asked.value(now, servedHalfLife)+priorRequests)
}

// rejectedShare returns the share of a service's recent requests that were rejected.
func (service *service) rejectedShare(now time.Time) float64 {
	arrived := service.arrived.value(now, rejectedHalfLife)
	if arrived == 0 {
		return 0
	}
	return min(service.rejected.value(now, rejectedHalfLife)/arrived, 1)
}
