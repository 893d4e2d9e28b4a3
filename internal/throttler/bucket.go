package throttler

import (
	"math"
	"time"
)

// bucket is a token bucket. The zero value holds nothing and earns nothing.
type bucket struct {
	// rate is the number of tokens earned in a second, and burst the largest number kept.
	rate, burst float64
	// tokens is the number of tokens at countedAt, at most burst; below 0 while further
	// attempts of requests are not paid yet.
	tokens    float64
	countedAt time.Time
}

// newBucket returns a bucket that is empty at the time from and earns nothing before it.
func newBucket(from time.Time, rate, burst float64) bucket {
	return bucket{rate: rate, burst: burst, countedAt: from}
}

// refill adds the tokens earned since they were last counted.
func (bucket *bucket) refill(now time.Time) {
	elapsed := now.Sub(bucket.countedAt)
	if elapsed <= 0 {
		return
	}
	bucket.tokens = min(bucket.tokens+bucket.rate*elapsed.Seconds(), bucket.burst)
	bucket.countedAt = now
}

// setLimits changes the rate and the burst from now on.
func (bucket *bucket) setLimits(now time.Time, rate, burst float64) {
	bucket.refill(now)
	bucket.rate, bucket.burst = rate, burst
	bucket.tokens = min(bucket.tokens, burst)
}

// take removes up to count whole tokens and returns their number.
func (bucket *bucket) take(now time.Time, count int) int {
	bucket.refill(now)
	taken := min(count, max(0, int(bucket.tokens)))
	bucket.tokens -= float64(taken)
	return taken
}

// charge removes count tokens, but leaves no larger debt than can matter within window.
func (bucket *bucket) charge(now time.Time, count int) {
	bucket.refill(now)
	largest := bucket.burst + bucket.rate*window.Seconds()
	bucket.tokens = max(bucket.tokens-float64(count), min(bucket.tokens, -largest))
}

// wait returns the time until there is a token, at most maxWait.
func (bucket *bucket) wait(now time.Time) time.Duration {
	bucket.refill(now)
	missing := 1 - bucket.tokens
	switch {
	case missing <= 0:
		return 0
	case missing >= bucket.rate*maxWait.Seconds():
		return maxWait
	}
	wait := time.Duration(math.Ceil(missing / bucket.rate * float64(time.Second)))
	return wait + max(0, bucket.countedAt.Sub(now))
}
