package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// Plan says what load to put on. Times are in milliseconds.
type Plan struct {
	Label string `json:"label"`
	Seed  uint64 `json:"seed"`
	// Policy and Scene say what is compared: the way of routing, and the load.
	Policy string `json:"policy,omitempty"`
	Scene  string `json:"scene,omitempty"`
	// DurationMs is how long requests are sent; those that come in the first
	// WarmupMs are checked, but not measured.
	DurationMs float64 `json:"duration-ms"`
	WarmupMs   float64 `json:"warmup-ms"`
	// Rate is in requests a second. With SwingMs over 0 it swings between
	// SwingLow and SwingHigh times that in SwingMs, beginning in the trough.
	Rate      float64 `json:"rate"`
	SwingLow  float64 `json:"swing-low"`
	SwingHigh float64 `json:"swing-high"`
	SwingMs   float64 `json:"swing-ms"`
	// Capacity is what the backend servers can do, in requests a second; 0
	// where it is not known.
	Capacity float64 `json:"capacity,omitempty"`
	// Services share the requests evenly, and Callers at Places send them.
	Services []string `json:"services"`
	Callers  int      `json:"callers"`
	Places   []Place  `json:"places"`
	// ShortMs and LongMs are mean run times, which are spread evenly from half
	// to one and a half of the mean; LongShare of all requests are long.
	ShortMs   float64 `json:"short-ms"`
	LongMs    float64 `json:"long-ms"`
	LongShare float64 `json:"long-share"`
	// PostShare of the short requests must not repeat, and KeyedShare of them
	// bear an Idempotency-Key besides.
	PostShare  float64 `json:"post-share"`
	KeyedShare float64 `json:"keyed-share"`
	// Sizes of the bodies.
	RequestBytes    int64 `json:"request-bytes"`
	AnswerBytes     int64 `json:"answer-bytes"`
	LongAnswerBytes int64 `json:"long-answer-bytes"`
	// Deadlines of short and long requests.
	TimeoutMs     float64 `json:"timeout-ms"`
	LongTimeoutMs float64 `json:"long-timeout-ms"`
	// Resends is how often a keyed request whose outcome is unknown is sent
	// again by its caller.
	Resends int `json:"resends"`
	// Faults says that processes are stopped on purpose meanwhile, so that a
	// connection that breaks under a request is no loss.
	Faults bool `json:"faults"`
}

// Place is where callers stand.
type Place struct {
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
}

// sort is a sort of request.
type sort int

const (
	sortRead sort = iota
	sortPost
	sortKeyed
	sortLong
)

// String returns the sort in lower case.
func (sort sort) String() string { return [...]string{"read", "post", "keyed", "long"}[sort] }

// method returns the HTTP method of requests of the sort.
func (sort sort) method() string {
	if sort == sortPost || sort == sortKeyed {
		return http.MethodPost
	}
	return http.MethodGet
}

// work is one request to send.
type work struct {
	id      string
	at      time.Duration
	service string
	sort    sort
	run     time.Duration
}

// schedule makes the requests of a plan in the order of their times.
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
	if plan.Rate <= 0 || !schedule.arrive() {
		return work{}, false
	}
	schedule.count++
	work := work{
		id:      fmt.Sprintf("%s-%d-%d", plan.Label, plan.Seed, schedule.count),
		at:      schedule.at,
		service: plan.Services[schedule.random.IntN(len(plan.Services))],
		sort:    schedule.sort(),
	}
	mean := plan.ShortMs
	if work.sort == sortLong {
		mean = plan.LongMs
	}
	work.run = milliseconds(mean * (0.5 + schedule.random.Float64()))
	return work, true
}

// arrive moves to the next arrival of a Poisson process whose rate swings, by
// thinning one of the highest rate.
func (schedule *schedule) arrive() bool {
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

func (schedule *schedule) sort() sort {
	plan := schedule.plan
	if schedule.random.Float64() < plan.LongShare {
		return sortLong
	}
	switch share := schedule.random.Float64(); {
	case share < plan.KeyedShare:
		return sortKeyed
	case share < plan.KeyedShare+plan.PostShare:
		return sortPost
	}
	return sortRead
}

// rateAt returns the rate at a time, in requests a second.
func (plan Plan) rateAt(at time.Duration) float64 {
	if plan.SwingMs <= 0 {
		return plan.Rate
	}
	phase := 2 * math.Pi * float64(at) / float64(milliseconds(plan.SwingMs))
	factor := plan.SwingLow + (plan.SwingHigh-plan.SwingLow)*(1-math.Cos(phase))/2
	return plan.Rate * factor
}

// CapacityOf returns how many requests a second of the plan slots can run
// without a pause. Over a share of the time, slowShare, they run slowFactor
// times as long.
func (plan Plan) CapacityOf(slots int, slowShare, slowFactor float64) float64 {
	mean := plan.LongShare*plan.LongMs + (1-plan.LongShare)*plan.ShortMs
	return float64(slots) * 1000 / mean * (1 - slowShare + slowShare/slowFactor)
}

// milliseconds returns a duration of value ms.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
