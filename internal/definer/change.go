package definer

import "fmt"

// ObjectKind is the kind of an object that operators define, in kebab case.
type ObjectKind string

// The kinds of object. Changes of members and of the chair all touch the
// committee.
const (
	KindService   ObjectKind = "service"
	KindPool      ObjectKind = "pool"
	KindEndpoint  ObjectKind = "endpoint"
	KindRule      ObjectKind = "rule"
	KindMember    ObjectKind = "member"
	KindChair     ObjectKind = "chair"
	KindCommittee ObjectKind = "committee"
)

// Object identifies one object that a change touches.
type Object struct {
	kind ObjectKind
	// name is empty for the committee, which exists once.
	name string
}

// NewObject returns the object of kind called name.
func NewObject(kind ObjectKind, name string) Object { return Object{kind: kind, name: name} }

// Kind returns the kind of object.
func (object Object) Kind() ObjectKind { return object.kind }

// Name returns the object's name within its kind.
func (object Object) Name() string { return object.name }

// String returns the kind and the name.
func (object Object) String() string {
	if object.name == "" {
		return string(object.kind)
	}
	return string(object.kind) + " " + object.name
}

// Verb is the operation that a change performs on its object.
type Verb int

// The verbs. Set creates the object or replaces it as a whole.
const (
	Set Verb = iota
	Remove
	Drain
	Restore
)

// String returns the verb in lower case.
func (verb Verb) String() string {
	return [...]string{"set", "remove", "drain", "restore"}[verb]
}

// Change is one operation on one object of a configuration. It is immutable.
type Change struct {
	verb   Verb
	object Object
	// Of the four values below, a Set fills the one that matches the kind of its
	// object.
	service  Service
	endpoint Endpoint
	rule     Rule
	member   Member
}

// SetService creates service or replaces the service of the same name.
func SetService(service Service) Change {
	return Change{object: NewObject(KindService, service.name), service: service}
}

// SetPool creates the pool called name.
func SetPool(name string) Change { return Change{object: NewObject(KindPool, name)} }

// SetEndpoint creates endpoint or replaces the endpoint of the same name.
func SetEndpoint(endpoint Endpoint) Change {
	return Change{object: NewObject(KindEndpoint, endpoint.name), endpoint: endpoint}
}

// SetRule creates rule or replaces the rule of the same name.
func SetRule(rule Rule) Change {
	return Change{object: NewObject(KindRule, rule.name), rule: rule}
}

// SetMember adds member to the committee, or replaces its key.
func SetMember(member Member) Change {
	return Change{object: NewObject(KindMember, member.name), member: member}
}

// SetChair makes the member called name the chair.
func SetChair(name string) Change { return Change{object: NewObject(KindChair, name)} }

// RemoveObject removes a service, pool, endpoint, rule or member.
func RemoveObject(object Object) Change { return Change{verb: Remove, object: object} }

// DrainEndpoint drains the endpoint called name, so that it receives no new work.
func DrainEndpoint(name string) Change {
	return Change{verb: Drain, object: NewObject(KindEndpoint, name)}
}

// RestoreEndpoint undoes [DrainEndpoint].
func RestoreEndpoint(name string) Change {
	return Change{verb: Restore, object: NewObject(KindEndpoint, name)}
}

// Verb returns the operation.
func (change Change) Verb() Verb { return change.verb }

// Object returns the object that the change names.
func (change Change) Object() Object { return change.object }

// Service returns the new value where the change sets a service.
func (change Change) Service() Service { return change.service }

// Endpoint returns the new value where the change sets an endpoint.
func (change Change) Endpoint() Endpoint { return change.endpoint }

// Rule returns the new value where the change sets a rule.
func (change Change) Rule() Rule { return change.rule }

// Member returns the new value where the change sets a member.
func (change Change) Member() Member { return change.member }

// ConflictObject returns the object that two changes must share to conflict: the
// committee for members and the chair, else the object itself.
func (change Change) ConflictObject() Object {
	if change.object.kind == KindMember || change.object.kind == KindChair {
		return NewObject(KindCommittee, "")
	}
	return change.object
}

// requirement returns the object that must exist for a Set to be valid, if any.
func (change Change) requirement() (Object, bool) {
	if change.verb != Set {
		return Object{}, false
	}
	switch change.object.kind {
	case KindService:
		return NewObject(KindPool, change.service.pool), true
	case KindEndpoint:
		return NewObject(KindPool, change.endpoint.pool), true
	case KindRule:
		return NewObject(KindService, change.rule.service), true
	}
	return Object{}, false
}

// ConflictsWith reports whether both changes touch the same object, or one
// removes an object that the other refers to.
func (change Change) ConflictsWith(other Change) bool {
	return change.ConflictObject() == other.ConflictObject() || change.removesRequirementOf(other) || other.removesRequirementOf(change)
}

// removesRequirementOf reports whether change removes the object that other
// refers to.
func (change Change) removesRequirementOf(other Change) bool {
	required, ok := other.requirement()
	return ok && change.verb == Remove && change.object == required
}

// String returns the verb and the object, as shown on the timeline.
func (change Change) String() string {
	return fmt.Sprintf("%s %s", change.verb, change.object)
}
