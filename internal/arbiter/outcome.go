package arbiter

import (
	"fmt"
	"time"
)

// Result is the result of a command or a proposal.
type Result int

// The results. Open means that a proposal needs more votes or a ruling, Ruled
// that the chair ruled for it and it needs more votes, Unfit that its changes
// can no longer be applied to the configuration.
const (
	Open Result = iota
	Accepted
	Rejected
	Withdrawn
	Overruled
	Voted
	Ruled
	Unfit
)

// String returns the result in lower case.
func (result Result) String() string {
	return [...]string{"open", "accepted", "rejected", "withdrawn", "overruled", "voted", "ruled", "unfit"}[result]
}

// Outcome is the outcome of a command or a proposal.
type Outcome struct {
	id     string
	result Result
	// proposal is the id of the proposal that the command refers to.
	proposal string
	// revision is the revision made by an acceptance, else the one in force.
	revision uint64
	at       time.Time
}

// NewOutcome returns the outcome of the command or proposal called id.
func NewOutcome(id string, result Result, proposal string, revision uint64, at time.Time) Outcome {
	return Outcome{id: id, result: result, proposal: proposal, revision: revision, at: at}
}

// ID returns the id of the command or proposal.
func (outcome Outcome) ID() string { return outcome.id }

// Result returns the result of the command or proposal.
func (outcome Outcome) Result() Result { return outcome.result }

// Proposal returns the id of the proposal that the outcome refers to.
func (outcome Outcome) Proposal() string { return outcome.proposal }

// Revision returns the revision made by an acceptance, else the one in force.
func (outcome Outcome) Revision() uint64 { return outcome.revision }

// At returns the time of the decision.
func (outcome Outcome) At() time.Time { return outcome.at }

// String returns the outcome as a sentence without a full stop.
func (outcome Outcome) String() string {
	switch outcome.result {
	case Accepted:
		return fmt.Sprintf("proposal %s is accepted and in force as revision %d", outcome.proposal, outcome.revision)
	case Open:
		return fmt.Sprintf("proposal %s is open; it waits for votes or the chair", outcome.proposal)
	case Voted:
		return fmt.Sprintf("the vote on proposal %s counts; the proposal is open", outcome.proposal)
	case Ruled:
		return fmt.Sprintf("proposal %s prevails by the chair's ruling; it waits for votes", outcome.proposal)
	case Unfit:
		return fmt.Sprintf("proposal %s no longer fits the configuration and is closed", outcome.proposal)
	}
	return fmt.Sprintf("proposal %s is %s", outcome.proposal, outcome.result)
}

// ErrorKind is the reason why a command changes nothing.
type ErrorKind int

// The kinds of error.
const (
	// NotMember means that the operator is not a member or signed with another
	// key.
	NotMember ErrorKind = iota
	// NotChair means that only the chair may rule.
	NotChair
	// NotAuthor means that only the author may withdraw.
	NotAuthor
	// Closed means that the proposal is not open.
	Closed
	// NothingToRule means that the proposal is not tied and does not conflict.
	NothingToRule
	// BadChange means that the change can't be applied; it wraps the cause.
	BadChange
	// BadBase means that the proposal's base is too old or in the future.
	BadBase
	// Full means that the state has reached its maximum size.
	Full
	// BadTime means that the command's id is too old or from the future.
	BadTime
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{
		"not-member", "not-chair", "not-author", "closed", "nothing-to-rule",
		"bad-change", "bad-base", "full", "bad-time",
	}[errorKind]
}

// CommandError is the error of a command that was refused and changed nothing.
type CommandError struct {
	kind   ErrorKind
	detail string
	cause  error
}

func newCommandError(kind ErrorKind, format string, values ...any) *CommandError {
	return &CommandError{kind: kind, detail: fmt.Sprintf(format, values...)}
}

// Kind returns the reason for the refusal.
func (commandError *CommandError) Kind() ErrorKind { return commandError.kind }

// Unwrap returns the cause, or nil.
func (commandError *CommandError) Unwrap() error { return commandError.cause }

// Error returns the detail with the cause, or with the remedy if there is none.
func (commandError *CommandError) Error() string {
	if commandError.cause != nil {
		return fmt.Sprintf("%s: %v", commandError.detail, commandError.cause)
	}
	return commandError.detail + "; " + remedies[commandError.kind]
}

var remedies = map[ErrorKind]string{
	NotMember:     "check --operator and --key; see the members with: show committee",
	NotChair:      "ask the chair to rule; see who it is with: show committee",
	NotAuthor:     "ask the author to withdraw it, or vote no",
	Closed:        "see the open proposals with: show proposals",
	NothingToRule: "let the committee vote; rule once it is tied or collides",
	BadChange:     "correct the change and propose it again",
	BadBase:       "look at the configuration in force and propose against its revision",
	Full:          "wait a few minutes, or withdraw proposals that nobody needs",
	BadTime:       "set the clock, and ask for the command's outcome with: outcome ID",
}
