package sharer

import "time"

const (
	// heldPressure is the share of crowded choices from which requests are held back.
	heldPressure = 0.3
	// maxHeldShare bounds the share of requests held back, so that a wrong estimate leaves
	// requests for the slots.
	maxHeldShare = 0.75
	// recentCount is the number of recent requests that a request is compared with.
	recentCount = 64
	// minRecent is the number of requests from which the comparison means something.
	minRecent = 8
)

// Standing is the standing of a request among the recent requests of its service. The zero
// value is that of a request that is treated as all others.
type Standing struct {
	// heldBack is true if requests that go before this one need the slots.
	heldBack bool
	// aboveShare is true if the account uses more than its fair share.
	aboveShare bool
	// starved is true if the request is not held back because its account is seldom served.
	starved bool
	// returned is true if the caller was rejected before.
	returned bool
}

// HeldBack reports whether requests that go before this one need the slots. Such a request
// is served only by an endpoint that has more than one free slot.
func (standing Standing) HeldBack() bool { return standing.heldBack }

// AboveShare reports whether the account uses more than its fair share.
func (standing Standing) AboveShare() bool { return standing.aboveShare }

// Starved reports whether the request is not held back because its account is seldom
// served.
func (standing Standing) Starved() bool { return standing.starved }

// Returned reports whether the caller was rejected before.
func (standing Standing) Returned() bool { return standing.returned }

// String returns the reason for the standing, for log lines.
func (standing Standing) String() string {
	switch {
	case standing.heldBack && standing.aboveShare:
		return "held back, account above its fair share"
	case standing.heldBack:
		return "held back"
	case standing.starved:
		return "account seldom served"
	case standing.returned:
		return "returned"
	}
	return "normal"
}

// Standing returns the standing of a request; pressure is the share of recent choices of
// the service that were crowded.
//
// As many of the recent requests as were rejected are held back, the last in the order.
// This frees the slots for the others without reserving more than they can use, since a
// request that is held back is served where slots are free.
func (sharer *Sharer) Standing(now time.Time, name string, pressure float64, claim Claim) Standing {
	if claim.account == nil || pressure < heldPressure {
		return Standing{}
	}
	service := sharer.service(name)
	account := service.account(claim)
	precedence := service.precedence(now, account, claim)
	standing := Standing{aboveShare: precedence.excess > 1, returned: claim.returned}
	held := min(service.rejectedShare(now), maxHeldShare)
	if service.recent.shareBefore(precedence) <= 1-held {
		return standing
	}
	standing.starved = service.isStarved(now, account)
	standing.heldBack = !standing.starved
	return standing
}

// precedence is the place of a request in the order. Whether its caller was rejected before
// is not part of it: replays with such callers first, last and in no order differed by less
// than their seeds.
type precedence struct {
	priority int
	// excess is the account's use as a multiple of its fair share, at least 1.
	excess   float64
	timeLeft time.Duration
}

// precedence returns the place of a claim in the order.
func (service *service) precedence(now time.Time, account *account, claim Claim) precedence {
	return precedence{
		priority: claim.priority, excess: service.excess(now, account, claim),
		timeLeft: claim.timeLeft,
	}
}

// compare returns a negative number if precedence goes before other, and 0 if neither
// does.
func (precedence precedence) compare(other precedence) int {
	switch {
	case precedence.priority != other.priority:
		return other.priority - precedence.priority
	case precedence.excess < other.excess:
		return -1
	case precedence.excess > other.excess:
		return 1
	case precedence.timeLeft < other.timeLeft:
		return -1
	case precedence.timeLeft > other.timeLeft:
		return 1
	}
	return 0
}

// precedences holds the latest recentCount places. The zero value is empty.
type precedences struct {
	places [recentCount]precedence
	// count is the number of places, and next the index of the oldest once all are used.
	count, next int
}

// add adds a place and drops the oldest if there are recentCount.
func (precedences *precedences) add(place precedence) {
	precedences.places[precedences.next] = place
	precedences.next = (precedences.next + 1) % recentCount
	precedences.count = min(precedences.count+1, recentCount)
}

// shareBefore returns the share of the places that go before place. Equal ones do not: of
// many equal requests none is held back for the others.
func (precedences *precedences) shareBefore(place precedence) float64 {
	if precedences.count < minRecent {
		return 0
	}
	before := 0
	for index := range precedences.count {
		if precedences.places[index].compare(place) < 0 {
			before++
		}
	}
	return float64(before) / float64(precedences.count)
}
