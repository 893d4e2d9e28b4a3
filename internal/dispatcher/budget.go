package dispatcher

import "sync"

// budgetMost bounds the retries that a service can save up where SetBurst says
// nothing else.
const budgetMost = 20

// Budget bounds retries to a share of the requests of each service. Each
// request earns the share, and each retry spends one. The zero value allows
// what SetShare says, which is no retry at first but for the saved-up start.
type Budget struct {
	// mu guards the fields below.
	mu    sync.Mutex
	share float64
	// burst bounds what is saved up; 0 for budgetMost.
	burst float64
	// saved holds each service's retries in hand, from 0 to the burst.
	saved map[string]float64
}

// SetShare sets how many retries a request earns, from 0 to 1.
func (budget *Budget) SetShare(share float64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.share = share
}

// SetBurst bounds the retries that a service can save up.
func (budget *Budget) SetBurst(burst float64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.burst = burst
}

// most is the bound on what is saved up; mu is held.
func (budget *Budget) most() float64 {
	if budget.burst > 0 {
		return budget.burst
	}
	return budgetMost
}

// earn takes in a first attempt.
func (budget *Budget) earn(service string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.put(service, budget.take(service)+budget.share)
}

// spend reports whether a retry is allowed and takes it from the budget.
func (budget *Budget) spend(service string) bool { return budget.spendAbove(service, 0) }

// hedgeReserve is how many retries a hedge leaves for requests that failed, as
// far as that many can be saved up.
const hedgeReserve = 1

// spendSpare is spend for a hedge, which leaves some retries for others.
func (budget *Budget) spendSpare(service string) bool {
	return budget.spendAbove(service, hedgeReserve)
}

func (budget *Budget) spendAbove(service string, reserve float64) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	reserve = max(0, min(reserve, budget.most()-1))
	saved := budget.take(service)
	if budget.share == 0 || saved < 1+reserve {
		return false
	}
	budget.put(service, saved-1)
	return true
}

// refund gives back a retry that was not sent.
func (budget *Budget) refund(service string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.put(service, budget.take(service)+1)
}

func (budget *Budget) take(service string) float64 {
	saved, ok := budget.saved[service]
	if !ok {
		return budget.most()
	}
	return saved
}

func (budget *Budget) put(service string, saved float64) {
	if budget.saved == nil {
		budget.saved = make(map[string]float64)
	}
	budget.saved[service] = min(saved, budget.most())
}
