package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// Plan defines the load to generate. Times are in milliseconds.
type Plan struct {
	Label string `json:"label"`
	Seed  uint64 `json:"seed"`
	// Policy and Scene identify what a Comparison groups by: the routing
	// policy and the load scenario.
	Policy string `json:"policy,omitempty"`
	Scene  string `json:"scene,omitempty"`
	// DurationMs is how long requests are sent; those sent in the first WarmupMs
	// are checked, but their latencies are not recorded.
	DurationMs float64 `json:"duration-ms"`
	WarmupMs   float64 `json:"warmup-ms"`
	// Rate is in requests per second. If SwingMs is positive, the rate follows a
	// cosine of that period between SwingLow and SwingHigh times Rate, starting
	// at the minimum.
	Rate      float64 `json:"rate"`
	SwingLow  float64 `json:"swing-low"`
	SwingHigh float64 `json:"swing-high"`
	SwingMs   float64 `json:"swing-ms"`
	// Capacity is the capacity of the backend servers, in requests per second;
	// 0 if unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Services receive equal shares of the requests. Callers is the number of
	// callers, distributed over Places.
	Services []string `json:"services"`
	Callers  int      `json:"callers"`
	Places   []Place  `json:"places"`
	// ShortMs and LongMs are mean run times; run times are uniformly distributed
	// from 0.5 to 1.5 times the mean. LongShare is the share of long requests.
	ShortMs   float64 `json:"short-ms"`
	LongMs    float64 `json:"long-ms"`
	LongShare float64 `json:"long-share"`
	// PostShare is the share of short requests that must not be repeated and
	// have no key, and KeyedShare the share with an Idempotency-Key.
	PostShare  float64 `json:"post-share"`
	KeyedShare float64 `json:"keyed-share"`
	// RequestBytes, AnswerBytes and LongAnswerBytes are the sizes of the bodies.
	RequestBytes    int64 `json:"request-bytes"`
	AnswerBytes     int64 `json:"answer-bytes"`
	LongAnswerBytes int64 `json:"long-answer-bytes"`
	// TimeoutMs and LongTimeoutMs are the deadlines of short and long requests.
	TimeoutMs     float64 `json:"timeout-ms"`
	LongTimeoutMs float64 `json:"long-timeout-ms"`
	// Resends is how often a caller re-sends a keyed request whose outcome is
	// unknown.
	Resends int `json:"resends"`
	// Faults is true if processes are stopped deliberately during the run, so that
	// broken connections are not violations.
	Faults bool `json:"faults"`
}

// Place is the location of callers.
type Place struct {
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
}

// class is a class of requests.
type class int

const (
	classRead class = iota
	classPost
	classKeyed
	classLong
)

// String returns the name of the class in lower case.
func (class class) String() string { return [...]string{"read", "post", "keyed", "long"}[class] }

// method returns the HTTP method of requests of the class.
func (class class) method() string {
	if class == classPost || class == classKeyed {
		return http.MethodPost
	}
	return http.MethodGet
}

// work describes one request to send.
type work struct {
	id      string
	at      time.Duration
	service string
	class   class
	run     time.Duration
}

// schedule generates the requests of a plan in the order of their times.
type schedule struct {
	plan   Plan
	random *rand.Rand
	at     time.Duration
	count  int
}

func newSchedule(plan Plan) *schedule {
	return &schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1))}
}

// next returns the next request, or false at the end of the plan.
func (schedule *schedule) next() (work, bool) {
	plan := schedule.plan
	if plan.Rate <= 0 || !schedule.advance() {
		return work{}, false
	}
	schedule.count++
	work := work{
		id:      fmt.Sprintf("%s-%d-%d", plan.Label, plan.Seed, schedule.count),
		at:      schedule.at,
		service: plan.Services[schedule.random.IntN(len(plan.Services))],
		class:   schedule.class(),
	}
	mean := plan.ShortMs
	if work.class == classLong {
		mean = plan.LongMs
	}
	work.run = milliseconds(mean * (0.5 + schedule.random.Float64()))
	return work, true
}

// advance moves to the next arrival of a Poisson process with the plan's variable
// rate, by thinning a process of the maximum rate. It reports false at the end of
// the plan.
func (schedule *schedule) advance() bool {
	plan := schedule.plan
	highest := plan.Rate
	if plan.SwingMs > 0 {
		highest *= plan.SwingHigh
	}
	for {
		schedule.at += time.Duration(schedule.random.ExpFloat64() / highest * float64(time.Second))
		if schedule.at >= milliseconds(plan.DurationMs) {
			return false
		}
		if schedule.random.Float64()*highest < plan.rateAt(schedule.at) {
			return true
		}
	}
}

func (schedule *schedule) class() class {
	plan := schedule.plan
	if schedule.random.Float64() < plan.LongShare {
		return classLong
	}
	switch share := schedule.random.Float64(); {
	case share < plan.KeyedShare:
		return classKeyed
	case share < plan.KeyedShare+plan.PostShare:
		return classPost
	}
	return classRead
}

// rateAt returns the rate at a time since the start, in requests per second.
func (plan Plan) rateAt(at time.Duration) float64 {
	if plan.SwingMs <= 0 {
		return plan.Rate
	}
	phase := 2 * math.Pi * float64(at) / float64(milliseconds(plan.SwingMs))
	factor := plan.SwingLow + (plan.SwingHigh-plan.SwingLow)*(1-math.Cos(phase))/2
	return plan.Rate * factor
}

// CapacityOf returns the rate of the plan's requests, per second, at which the
// given number of slots is fully utilized, if requests take slowFactor times as
// long during the share slowShare of the time.
func (plan Plan) CapacityOf(slots int, slowShare, slowFactor float64) float64 {
	mean := plan.LongShare*plan.LongMs + (1-plan.LongShare)*plan.ShortMs
	return float64(slots) * 1000 / mean * (1 - slowShare + slowShare/slowFactor)
}

// milliseconds converts value, in milliseconds, to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
