package throttler

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Verdict says what a host does next to get a permit.
type Verdict int

// The verdicts.
const (
	// Refused means that the request gets no permit now.
	Refused Verdict = iota
	// Granted means that the request has a permit.
	Granted
	// Fallback means that the request has a permit of the fallback limit.
	Fallback
	// AskOwner means that the owner of a share is to be asked.
	AskOwner
)

const (
	// defaultWait is the time that a refusal names if no owner has named one.
	defaultWait = time.Second
	// minWait is the shortest time that a refusal names: a retry at once would only cost
	// another message to each owner.
	minWait = 20 * time.Millisecond
)

// Step is the next step of a search.
type Step struct {
	verdict Verdict
	// owner is the host to ask for a permit of share. A permit that this host grants itself
	// is of share too.
	owner string
	share int
	ask   Ask
	// wait is the time until the next permit if there is none now.
	wait time.Duration
}

// Verdict returns what to do.
func (step Step) Verdict() Verdict { return step.verdict }

// Owner returns the name of the host to ask.
func (step Step) Owner() string { return step.owner }

// Share returns the number of the share to ask for.
func (step Step) Share() int { return step.share }

// Ask returns what to ask the owner.
func (step Step) Ask() Ask { return step.ask }

// Wait returns the time until the next permit if the request is refused.
func (step Step) Wait() time.Duration { return step.wait }

// Ask asks the owner of a share for permits.
type Ask struct {
	// count is the number of requests that wait for a permit, and debt the number of
	// further attempts that the owner must count.
	count, debt int
	// vouched is the owner's registration if the asking host has known for the takeover
	// delay that the owner ranks first by it, or 0.
	vouched uint64
	// assumed is the owner's registration if the owner has ranked first by it as long as
	// the asking host, which has restarted, has known the fleet; 0 otherwise.
	assumed uint64
}

// NewAsk returns an ask for count permits, with debt further attempts.
func NewAsk(count, debt int) Ask { return Ask{count: count, debt: debt} }

// WithVouched returns a copy that says that the owner has ranked first by a registration for
// the takeover delay; 0 if that is not known.
func (ask Ask) WithVouched(registration uint64) Ask {
	ask.vouched = registration
	return ask
}

// WithAssumed returns a copy that says that the owner has ranked first by a registration as
// long as the asking host has known the fleet; 0 if that is not so.
func (ask Ask) WithAssumed(registration uint64) Ask {
	ask.assumed = registration
	return ask
}

// Merge returns an ask for the permits of both. Both are of one host and share.
func (ask Ask) Merge(other Ask) Ask {
	return Ask{
		count: ask.count + other.count, debt: ask.debt + other.debt,
		vouched: max(ask.vouched, other.vouched), assumed: max(ask.assumed, other.assumed),
	}
}

// Count returns the number of permits that are asked for.
func (ask Ask) Count() int { return ask.count }

// Debt returns the number of further attempts that the owner must count.
func (ask Ask) Debt() int { return ask.debt }

// Vouched returns the registration by which the owner has ranked first for the takeover
// delay, or 0.
func (ask Ask) Vouched() uint64 { return ask.vouched }

// Assumed returns the registration by which the owner has ranked first as long as the asking
// host has known the fleet, or 0.
func (ask Ask) Assumed() uint64 { return ask.assumed }

// Answer is the answer of an owner to the hosts that ask for permits of a share.
type Answer struct {
	granted int
	// wait is the time until the next permit, if fewer were granted than asked for.
	wait time.Duration
	// denied is true if the host does not grant permits of the share now.
	denied bool
}

// NewAnswer returns an answer with granted permits and the time until the next one.
func NewAnswer(granted int, wait time.Duration) Answer { return Answer{granted: granted, wait: wait} }

// Denial returns the answer of a host that does not grant permits of the share now.
func Denial() Answer { return Answer{denied: true} }

// Granted returns the number of permits.
func (answer Answer) Granted() int { return answer.granted }

// Wait returns the time until the next permit, if fewer were granted than asked for.
func (answer Answer) Wait() time.Duration { return answer.wait }

// Denied reports whether the host does not grant permits of the share now.
func (answer Answer) Denied() bool { return answer.denied }

// Search is the search of one request for a permit. Make one with Begin.
type Search struct {
	account *definer.Account
	ledger  *ledger
	// tried says of each share whether the search is done with it.
	tried [Shares]bool
	// unanswered is true if an owner does not answer or does not grant.
	unanswered bool
	// wait is the shortest time until an owner has a permit; 0 if none has named one.
	wait time.Duration
}

// Begin returns a search for a permit of account, which must have a rate.
func (throttler *Throttler) Begin(account *definer.Account) Search {
	return Search{account: account, ledger: throttler.ledger(account)}
}

// Next returns the next step of search. Where it is to ask an owner, call Answered or Silent
// before the next call.
func (throttler *Throttler) Next(now time.Time, search *Search) Step {
	ledger := search.ledger
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	roster := throttler.roster.Load() // Under mu, so that a ledger never sees an older one.
	ledger.update(now, roster, search.account)
	for _, index := range ledger.order {
		if search.tried[index] {
			continue
		}
		search.tried[index] = true
		share := &ledger.shares[index]
		switch {
		case share.peer == nil:
			search.unanswered = true
		case share.isLocal:
			if throttler.takeOwn(now, roster, search, share) {
				return Step{verdict: Granted, share: index}
			}
		case now.Before(share.emptyUntil):
			search.skip(now, share)
		case throttler.isSilent(now, share.peer):
			search.unanswered = true
		default:
			ask := Ask{count: 1, debt: ledger.debt}
			ledger.debt = 0
			throttler.vouch(now, roster, share, &ask)
			return Step{verdict: AskOwner, owner: share.owner.Name(), share: index, ask: ask}
		}
	}
	if search.unanswered && ledger.takeFallback(now, roster) {
		return Step{verdict: Fallback}
	}
	return Step{verdict: Refused, wait: search.refusalWait(now)}
}

// vouch adds to ask what this host knows of the owner of share.
func (throttler *Throttler) vouch(now time.Time, roster *roster, share *share, ask *Ask) {
	switch {
	case now.Sub(roster.checkedAt) > throttler.bound:
	case throttler.settled(now, roster, share.delayEnd):
		ask.vouched = share.registration
	case roster.isFirstKnown(share.since):
		ask.assumed = share.registration
	}
}

// takeOwn takes a permit of a share that this host owns; its ledger's mu is held. If its
// view is older than the bound, it may be the only host that takes it for the owner.
func (throttler *Throttler) takeOwn(now time.Time, roster *roster, search *Search, share *share) bool {
	if now.Sub(roster.checkedAt) > throttler.bound || !throttler.mayGrant(now, roster, share, Ask{assumed: share.registration}) {
		search.unanswered = true
		return false
	}
	share.bucket.charge(now, search.ledger.debt)
	search.ledger.debt = 0
	if share.bucket.take(now, 1) == 1 {
		return true
	}
	search.shorten(share.bucket.wait(now))
	return false
}

// skip records that the owner of share is not asked; its ledger's mu is held.
func (search *Search) skip(now time.Time, share *share) {
	if share.isDenied {
		search.unanswered = true
		return
	}
	search.shorten(share.nextAt.Sub(now))
}

// shorten records a time after which an owner has a permit.
func (search *Search) shorten(wait time.Duration) {
	if search.wait == 0 || wait < search.wait {
		search.wait = wait
	}
}

// refusalWait returns the time after which a refused request may find a permit; the
// ledger's mu is held.
func (search *Search) refusalWait(now time.Time) time.Duration {
	if search.unanswered {
		search.shorten(min(search.ledger.fallback.bucket.wait(now), defaultWait))
	}
	if search.wait <= 0 {
		return defaultWait
	}
	return max(search.wait, minWait)
}

// isSilent reports whether peer did not answer lately.
func (throttler *Throttler) isSilent(now time.Time, peer *peer) bool {
	return int64(now.Sub(throttler.startedAt)) < peer.silentUntil.Load()
}

// Answered records what the owner answered at the request of step, if this request got no
// permit.
func (throttler *Throttler) Answered(now time.Time, search *Search, step Step, answer Answer) {
	ledger := search.ledger
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	pause := maxEmpty
	if answer.denied {
		search.unanswered = true
		ledger.addDebt(step.ask.debt)
	} else {
		pause = ledger.emptyTime(answer.wait)
		search.shorten(max(pause, answer.wait))
	}
	share := &ledger.shares[step.share]
	if share.peer == nil || share.owner.Name() != step.owner {
		return
	}
	share.isDenied = answer.denied
	share.emptyUntil, share.nextAt = now.Add(pause), now.Add(max(pause, answer.wait))
}

// emptyTime returns the time for which an owner that has no permits for wait is not asked;
// mu is held. Until its bucket is a quarter full, hardly a permit is lost if nobody asks.
func (ledger *ledger) emptyTime(wait time.Duration) time.Duration {
	untilQuarter := maxEmpty
	if rate, burst := ledger.shareLimits(); burst/4 < rate*maxEmpty.Seconds() {
		untilQuarter = time.Duration(burst / 4 / rate * float64(time.Second))
	}
	return min(max(wait, untilQuarter), maxEmpty)
}

// Silent records that the owner did not answer at the request of step. The further
// attempts are counted again: it is not known whether the owner has counted them.
func (throttler *Throttler) Silent(now time.Time, search *Search, step Step) {
	search.unanswered = true
	if peer, ok := throttler.roster.Load().peers[step.owner]; ok {
		peer.silentUntil.Store(int64(now.Sub(throttler.startedAt) + silence))
	}
	search.ledger.mu.Lock()
	defer search.ledger.mu.Unlock()
	search.ledger.addDebt(step.ask.debt)
}

// Charge counts a further attempt of a request of account that has a permit.
func (throttler *Throttler) Charge(account *definer.Account) {
	ledger := throttler.ledger(account)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.addDebt(1)
}

// addDebt adds further attempts to those that an owner must count, as far as they can
// matter within window; mu is held.
func (ledger *ledger) addDebt(count int) {
	ledger.debt = min(ledger.debt+count, int(ledger.rate*window.Seconds()+ledger.burst)+1)
}
