package definer

import (
	"strings"
	"time"
)

// Lane is the class of a request by its expected duration.
type Lane int

// The lanes. The zero value is Short.
const (
	Short Lane = iota
	Long
)

// String returns short or long.
func (lane Lane) String() string {
	if lane == Long {
		return "long"
	}
	return "short"
}

// DefaultPriority applies to requests without a matching rule.
const DefaultPriority = 5

// Rule defines the handling of the requests of a service that it matches. The
// rule with the longest matching path prefix takes precedence; at equal length a
// rule with a method does, then the first by name.
type Rule struct {
	name    string
	service string
	// method is an HTTP method, or empty for any.
	method string
	// prefix is a path prefix; empty matches every path.
	prefix string
	// repeatable is true where a matching request may run more than once.
	repeatable bool
	lane       Lane
	// priority is 0 (shed first) to 9 (shed last).
	priority int
	// deadline applies to requests that have none of their own; 0 for none.
	deadline time.Duration
}

// RuleOption sets one property of a new rule.
type RuleOption func(*Rule)

// Repeatable sets whether matching requests may run more than once.
func Repeatable(repeatable bool) RuleOption {
	return func(rule *Rule) { rule.repeatable = repeatable }
}

// InLane sets the lane of matching requests.
func InLane(lane Lane) RuleOption { return func(rule *Rule) { rule.lane = lane } }

// WithPriority sets the priority of matching requests, from 0 (shed first) to
// 9.
func WithPriority(priority int) RuleOption { return func(rule *Rule) { rule.priority = priority } }

// WithDeadline sets the deadline of matching requests that have none of their
// own.
func WithDeadline(deadline time.Duration) RuleOption {
	return func(rule *Rule) { rule.deadline = deadline }
}

// NewRule returns a rule for requests of service with method (empty for any)
// and a path that begins with prefix. Without options the requests are not
// repeatable, in the short lane, and of DefaultPriority.
func NewRule(name, service, method, prefix string, options ...RuleOption) Rule {
	rule := Rule{name: name, service: service, method: method, prefix: prefix, priority: DefaultPriority}
	for _, option := range options {
		option(&rule)
	}
	return rule
}

// Name returns the rule's name, unique in the configuration.
func (rule Rule) Name() string { return rule.name }

// Service returns the name of the service that the rule belongs to.
func (rule Rule) Service() string { return rule.service }

// Method returns the HTTP method that the rule matches, or empty for any.
func (rule Rule) Method() string { return rule.method }

// Prefix returns the path prefix that the rule matches.
func (rule Rule) Prefix() string { return rule.prefix }

// Repeatable reports whether matching requests may run more than once.
func (rule Rule) Repeatable() bool { return rule.repeatable }

// Lane returns the lane of matching requests.
func (rule Rule) Lane() Lane { return rule.lane }

// Priority returns the priority, from 0 (shed first) to 9 (shed last).
func (rule Rule) Priority() int { return rule.priority }

// Deadline returns the deadline of requests that have none of their own, or 0.
func (rule Rule) Deadline() time.Duration { return rule.deadline }

// matches reports whether the rule applies to the request.
func (rule Rule) matches(service, method, path string) bool {
	if rule.service != service {
		return false
	}
	if rule.method != "" && rule.method != method {
		return false
	}
	return strings.HasPrefix(path, rule.prefix)
}

// precedes reports whether rule takes precedence over other where both match.
func (rule Rule) precedes(other Rule) bool {
	if len(rule.prefix) != len(other.prefix) {
		return len(rule.prefix) > len(other.prefix)
	}
	if (rule.method != "") != (other.method != "") {
		return rule.method != ""
	}
	return rule.name < other.name
}
