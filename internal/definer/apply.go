package definer

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Upper bounds of an endpoint's slots and a rule's priority.
const (
	MaxSlots    = 1024
	MaxPriority = 9
)

// ErrorKind classifies a [ChangeError].
type ErrorKind int

const (
	// Invalid means that a value of the change is out of its bounds.
	Invalid ErrorKind = iota
	// Missing means that an object that the change needs does not exist.
	Missing
	// InUse means that an object to remove is needed by another.
	InUse
	// OutOfOrder means that a step does not apply to the current revision, or
	// that it belongs to another history with the same revision number.
	OutOfOrder
)

// String returns the kind in kebab case.
func (errorKind ErrorKind) String() string {
	return [...]string{"invalid", "missing", "in-use", "out-of-order"}[errorKind]
}

// ChangeError reports why a change cannot be applied.
type ChangeError struct {
	kind   ErrorKind
	object Object
	detail string
	remedy string
}

// Kind returns the class of the error.
func (changeError *ChangeError) Kind() ErrorKind { return changeError.kind }

// Object returns the object that the error is about.
func (changeError *ChangeError) Object() Object { return changeError.object }

// Error names the object, the problem and the remedy.
func (changeError *ChangeError) Error() string {
	return fmt.Sprintf("%s: %s; %s", changeError.object, changeError.detail, changeError.remedy)
}

// NewChangeError returns an error about object.
func NewChangeError(kind ErrorKind, object Object, detail, remedy string) *ChangeError {
	return &ChangeError{kind: kind, object: object, detail: detail, remedy: remedy}
}

// Apply returns a copy of the configuration with all changes made, at the same
// revision, or an error that joins a [ChangeError] for each problem. The result
// is consistent: every object that another one refers to exists, and the chair
// is a member.
func (configuration *Configuration) Apply(changes ...Change) (*Configuration, error) {
	clone := configuration.clone()
	var errs []error
	for _, change := range changes {
		if err := clone.change(change); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) == 0 {
		errs = clone.brokenReferences(changes)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return clone, nil
}

// ApplyStep returns the configuration at the revision that step leads to. A step
// that does not continue this configuration is refused, so that two histories
// never mix.
func (configuration *Configuration) ApplyStep(step Step) (*Configuration, error) {
	if step.revision != configuration.revision+1 || step.lineage != step.origin.nextLineage(configuration.lineage) {
		detail := fmt.Sprintf("step to revision %d does not follow on %d", step.revision, configuration.revision)
		return nil, NewChangeError(OutOfOrder, Object{kind: "configuration"}, detail, "fetch a whole snapshot")
	}
	next, err := configuration.Apply(step.changes...)
	if err != nil {
		return nil, err
	}
	next.revision = step.revision
	next.lineage = step.lineage
	for _, change := range step.changes {
		next.marks[change.ConflictObject()] = NewMark(step.revision, step.origin)
	}
	next.pruneMarks()
	return next, nil
}

// change makes one change in place; configuration must be a clone that is not
// shared yet.
func (configuration *Configuration) change(change Change) error {
	if err := change.validate(); err != nil {
		return err
	}
	switch change.verb {
	case Set:
		configuration.set(change)
		return nil
	case Remove:
		return configuration.remove(change.object)
	}
	endpoint, ok := configuration.endpoints[change.object.name]
	if !ok {
		return NewChangeError(Missing, change.object, "does not exist", "check the name with: show endpoints")
	}
	configuration.endpoints[endpoint.name] = endpoint.WithDrained(change.verb == Drain)
	return nil
}

func (configuration *Configuration) set(change Change) {
	name := change.object.name
	switch change.object.kind {
	case KindService:
		configuration.services[name] = change.service
	case KindPool:
		configuration.pools[name] = struct{}{}
	case KindEndpoint:
		configuration.endpoints[name] = change.endpoint
	case KindRule:
		configuration.rules[name] = change.rule
	case KindMember:
		configuration.committee = configuration.committee.withMember(change.member)
	case KindChair:
		configuration.committee.chair = name
	}
}

func (configuration *Configuration) remove(object Object) error {
	if !configuration.has(object) {
		return NewChangeError(Missing, object, "does not exist", "check the name with: show "+string(object.kind)+"s")
	}
	switch object.kind {
	case KindService:
		delete(configuration.services, object.name)
	case KindPool:
		delete(configuration.pools, object.name)
	case KindEndpoint:
		delete(configuration.endpoints, object.name)
	case KindRule:
		delete(configuration.rules, object.name)
	case KindMember:
		configuration.committee = configuration.committee.withoutMember(object.name)
	}
	return nil
}

// has reports whether object exists. It returns false for a chair, which is
// never removed on its own.
func (configuration *Configuration) has(object Object) bool {
	ok := false
	switch object.kind {
	case KindService:
		_, ok = configuration.services[object.name]
	case KindPool:
		_, ok = configuration.pools[object.name]
	case KindEndpoint:
		_, ok = configuration.endpoints[object.name]
	case KindRule:
		_, ok = configuration.rules[object.name]
	case KindMember:
		_, ok = configuration.committee.members[object.name]
	case KindCommittee:
		ok = true
	}
	return ok
}

// Has reports whether object exists.
func (configuration *Configuration) Has(object Object) bool { return configuration.has(object) }

// brokenReferences returns an error for each reference to a missing object that
// changes left behind.
func (configuration *Configuration) brokenReferences(changes []Change) []error {
	var errs []error
	for _, change := range changes {
		required, ok := change.requirement()
		if ok && configuration.has(change.object) && !configuration.has(required) {
			remedy := fmt.Sprintf("create %s first, or in the same proposal", required)
			errs = append(errs, NewChangeError(Missing, change.object, "needs "+required.String()+", which does not exist", remedy))
		}
		if dependent, ok := configuration.dependentOf(change); ok {
			remedy := fmt.Sprintf("remove %s first, or in the same proposal", dependent)
			errs = append(errs, NewChangeError(InUse, change.object, "is needed by "+dependent.String(), remedy))
		}
	}
	if slices.ContainsFunc(changes, Change.touchesCommittee) {
		errs = append(errs, configuration.chairErrors()...)
	}
	return errs
}

// dependentOf returns an object that still refers to the object that change
// removed.
func (configuration *Configuration) dependentOf(change Change) (Object, bool) {
	if change.verb != Remove || configuration.has(change.object) {
		return Object{}, false
	}
	name := change.object.name
	switch change.object.kind {
	case KindPool:
		for _, service := range configuration.Services() {
			if service.pool == name {
				return NewObject(KindService, service.name), true
			}
		}
		for _, endpoint := range configuration.EndpointsOf(name) {
			return NewObject(KindEndpoint, endpoint.name), true
		}
	case KindService:
		for _, rule := range configuration.Rules() {
			if rule.service == name {
				return NewObject(KindRule, rule.name), true
			}
		}
	}
	return Object{}, false
}

func (configuration *Configuration) chairErrors() []error {
	committee := configuration.committee
	if _, ok := committee.members[committee.chair]; ok {
		return nil
	}
	object := NewObject(KindCommittee, "")
	detail := fmt.Sprintf("the chair %q would not be a member", committee.chair)
	return []error{NewChangeError(Missing, object, detail, "name a member as the chair in the same proposal: chair NAME")}
}

func (change Change) touchesCommittee() bool { return change.ConflictObject().kind == KindCommittee }

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,63}$`)

// validate checks the values of the change, without the rest of the
// configuration.
func (change Change) validate() error {
	if !namePattern.MatchString(change.object.name) {
		return change.invalid(fmt.Sprintf("%q is not a name", change.object.name),
			"use up to 64 lower-case letters, digits, dots and dashes")
	}
	if change.verb != Set {
		return nil
	}
	switch change.object.kind {
	case KindEndpoint:
		return change.validateEndpoint()
	case KindRule:
		return change.validateRule()
	case KindMember:
		if len(change.member.key) != ed25519.PublicKeySize {
			return change.invalid("the key is not an ed25519 public key", "make one with: chivesctl keygen")
		}
	}
	return nil
}

func (change Change) validateEndpoint() error {
	endpoint := change.endpoint
	if _, err := netip.ParseAddrPort(endpoint.address); err != nil {
		return change.invalid(fmt.Sprintf("address %q is not an IP address and port", endpoint.address), "write it as 10.1.2.3:8080")
	}
	if endpoint.slots < 1 || endpoint.slots > MaxSlots {
		return change.invalid(fmt.Sprintf("slots %d is out of bounds", endpoint.slots), fmt.Sprintf("give 1 to %d slots", MaxSlots))
	}
	if !namePattern.MatchString(endpoint.place.region) || !namePattern.MatchString(endpoint.place.dataCentre) {
		return change.invalid(fmt.Sprintf("place %q is not whole", endpoint.place), "give region NAME and data-centre NAME")
	}
	return nil
}

func (change Change) validateRule() error {
	rule := change.rule
	if rule.priority < 0 || rule.priority > MaxPriority {
		return change.invalid(fmt.Sprintf("priority %d is out of bounds", rule.priority), "give a priority from 0 to 9")
	}
	if rule.prefix != "" && !strings.HasPrefix(rule.prefix, "/") {
		return change.invalid(fmt.Sprintf("path %q does not begin with /", rule.prefix), "write the path from its first /")
	}
	if rule.method != strings.ToUpper(rule.method) {
		return change.invalid(fmt.Sprintf("method %q is not in capitals", rule.method), "write it as GET or POST")
	}
	if rule.deadline < 0 {
		return change.invalid("the deadline is negative", "give a deadline such as 30s, or 0s for none")
	}
	return nil
}

func (change Change) invalid(detail, remedy string) error {
	return NewChangeError(Invalid, change.object, detail, remedy)
}
