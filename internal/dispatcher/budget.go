package dispatcher

import "sync"

// defaultBurst bounds the retries that a service can accumulate unless SetBurst
// sets another limit.
const defaultBurst = 20

// Budget is a token bucket for each service that limits retries to a share of the
// service's requests. Each request earns the share, and each retry spends one
// token. A bucket starts full. The zero value has a share of 0, which allows no
// retry.
type Budget struct {
	// mu guards the fields below.
	mu    sync.Mutex
	share float64
	// burst is the capacity of each bucket; 0 for defaultBurst.
	burst float64
	// tokens holds the retries available to each service, from 0 to the burst.
	tokens map[string]float64
}

// SetShare sets how many retries a request earns, from 0 to 1.
func (budget *Budget) SetShare(share float64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.share = share
}

// SetBurst sets how many retries a service can accumulate.
func (budget *Budget) SetBurst(burst float64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.burst = burst
}

// limit returns the capacity of a bucket; mu is held.
func (budget *Budget) limit() float64 {
	if budget.burst > 0 {
		return budget.burst
	}
	return defaultBurst
}

// earn credits the service with the share of one request.
func (budget *Budget) earn(service string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.setBalance(service, budget.balance(service)+budget.share)
}

// spend reports whether a retry is allowed and, if so, takes a token for it.
func (budget *Budget) spend(service string) bool { return budget.spendAbove(service, 0) }

// hedgeReserve is how many tokens a hedge leaves for the retries of failed
// requests, as far as the capacity allows.
const hedgeReserve = 1

// spendForHedge is like spend, but leaves the hedge reserve untouched.
func (budget *Budget) spendForHedge(service string) bool {
	return budget.spendAbove(service, hedgeReserve)
}

func (budget *Budget) spendAbove(service string, reserve float64) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	reserve = max(0, min(reserve, budget.limit()-1))
	tokens := budget.balance(service)
	if budget.share == 0 || tokens < 1+reserve {
		return false
	}
	budget.setBalance(service, tokens-1)
	return true
}

// refund returns the token of a retry that was not sent.
func (budget *Budget) refund(service string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.setBalance(service, budget.balance(service)+1)
}

func (budget *Budget) balance(service string) float64 {
	tokens, ok := budget.tokens[service]
	if !ok {
		return budget.limit()
	}
	return tokens
}

func (budget *Budget) setBalance(service string, tokens float64) {
	if budget.tokens == nil {
		budget.tokens = make(map[string]float64)
	}
	budget.tokens[service] = min(tokens, budget.limit())
}
