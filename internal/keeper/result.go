package keeper

import "time"

// Outcome is how a request that held a slot ended.
type Outcome int

// The outcomes. The zero value is Answered.
const (
	// Answered means a whole answer that is no server error.
	Answered Outcome = iota
	// Failed means a server error, whose run time says nothing of the endpoint.
	Failed
	// Shed means that the backend server refused the request as not run.
	Shed
	// Draining means an answer or refusal that carried the drain sign.
	Draining
	// Unreachable means that the connection was never made.
	Unreachable
	// Crashed means that the connection was lost after the request was sent.
	Crashed
	// Cancelled means that the caller went away or the deadline passed.
	Cancelled
	// Unused means that the slot was given back without sending a request.
	Unused
)

// String returns the outcome in kebab case.
func (outcome Outcome) String() string {
	return [...]string{
		"answered", "failed", "shed", "draining", "unreachable", "crashed", "cancelled", "unused",
	}[outcome]
}

// Result is what is learned from one request on an endpoint.
type Result struct {
	outcome Outcome
	// runTime is from the sending of the request to the end of the answer.
	runTime time.Duration
	// reported is true where the answer carried a load report.
	reported bool
	// inFlight and slots are the load report's; 0 where reported is false.
	inFlight int
	slots    int
	// bytes is what the request and its answer took on the wire.
	bytes int64
}

// NewResult returns the result of a request that took runTime.
func NewResult(outcome Outcome, runTime time.Duration) Result {
	return Result{outcome: outcome, runTime: runTime}
}

// WithReport returns a copy with the load report that the answer carried.
func (result Result) WithReport(inFlight, slots int) Result {
	result.reported = true
	result.inFlight = inFlight
	result.slots = slots
	return result
}

// WithBytes returns a copy with the size of the request and its answer, which
// is charged to the budget where the endpoint is in another region.
func (result Result) WithBytes(bytes int64) Result {
	result.bytes = bytes
	return result
}

// Outcome returns how the request ended.
func (result Result) Outcome() Outcome { return result.outcome }

// RunTime returns the time from sending to the end of the answer.
func (result Result) RunTime() time.Duration { return result.runTime }

// Bytes returns the size of the request and its answer.
func (result Result) Bytes() int64 { return result.bytes }

// Report returns the load report and whether there was one.
func (result Result) Report() (inFlight, slots int, ok bool) {
	return result.inFlight, result.slots, result.reported
}
