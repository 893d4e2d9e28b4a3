package selector

import "time"

// Outcome is how a request that held a slot ended.
type Outcome int

// The outcomes. The zero value is Answered.
const (
	// Answered means a complete answer that is not a server error.
	Answered Outcome = iota
	// Failed means a server error, whose run time says nothing about the
	// endpoint's speed.
	Failed
	// Shed means that the backend server refused the request as not run.
	Shed
	// Draining means an answer or refusal with the drain signal.
	Draining
	// Unreachable means that no connection could be made.
	Unreachable
	// Crashed means that the connection was lost after the request was sent.
	Crashed
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
	// Unused means that the slot was released without a request.
	Unused
)

// String returns the outcome in kebab case.
func (outcome Outcome) String() string {
	return [...]string{
		"answered", "failed", "shed", "draining", "unreachable", "crashed", "cancelled", "unused",
	}[outcome]
}

// Result is the outcome of one request on an endpoint, with its measurements.
type Result struct {
	outcome Outcome
	// runTime is from the sending of the request to the end of the answer.
	runTime time.Duration
	// reported is true if the answer carried a load report.
	reported bool
	// inFlight and slots are from the load report; 0 if reported is false.
	inFlight int
	slots    int
	// bytes is the size of the request and its answer on the wire.
	bytes int64
}

// NewResult returns the result of a request that took runTime.
func NewResult(outcome Outcome, runTime time.Duration) Result {
	return Result{outcome: outcome, runTime: runTime}
}

// WithReport returns a copy with the load report of the answer.
func (result Result) WithReport(inFlight, slots int) Result {
	result.reported = true
	result.inFlight = inFlight
	result.slots = slots
	return result
}

// WithBytes returns a copy with the size of the request and its answer, which
// is charged to the budget if the endpoint is in another region.
func (result Result) WithBytes(bytes int64) Result {
	result.bytes = bytes
	return result
}

// Outcome returns how the request ended.
func (result Result) Outcome() Outcome { return result.outcome }

// RunTime returns the time from the sending of the request to the end of the
// answer.
func (result Result) RunTime() time.Duration { return result.runTime }

// Bytes returns the size of the request and its answer.
func (result Result) Bytes() int64 { return result.bytes }

// Report returns the load report and whether there was one.
func (result Result) Report() (inFlight, slots int, ok bool) {
	return result.inFlight, result.slots, result.reported
}
