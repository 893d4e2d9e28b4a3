package definer

import "fmt"

// ObjectKind is a sort of object that operators define, in kebab case.
type ObjectKind string

// The kinds of object. All changes of members and chair touch the committee.
const (
	KindService   ObjectKind = "service"
	KindPool      ObjectKind = "pool"
	KindEndpoint  ObjectKind = "endpoint"
	KindRule      ObjectKind = "rule"
	KindMember    ObjectKind = "member"
	KindChair     ObjectKind = "chair"
	KindCommittee ObjectKind = "committee"
)

// Object names one thing that a change touches.
type Object struct {
	kind ObjectKind
	// name is empty for the committee, of which there is one.
	name string
}

// NewObject returns the name of an object.
func NewObject(kind ObjectKind, name string) Object { return Object{kind: kind, name: name} }

// Kind returns the sort of object.
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

// Verb is what a change does to its object.
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

// Change is one step from a configuration to the next. It is immutable.
type Change struct {
	verb   Verb
	object Object
	// Of the four values below, a Set fills the one of its object's kind.
	service  Service
	endpoint Endpoint
	rule     Rule
	member   Member
}

// SetService creates service or replaces the one of its name.
func SetService(service Service) Change {
	return Change{object: NewObject(KindService, service.name), service: service}
}

// SetPool creates the pool called name.
func SetPool(name string) Change { return Change{object: NewObject(KindPool, name)} }

// SetEndpoint creates endpoint or replaces the one of its name.
func SetEndpoint(endpoint Endpoint) Change {
	return Change{object: NewObject(KindEndpoint, endpoint.name), endpoint: endpoint}
}

// SetRule creates rule or replaces the one of its name.
func SetRule(rule Rule) Change {
	return Change{object: NewObject(KindRule, rule.name), rule: rule}
}

// SetMember gives member a seat in the committee, or a new key.
func SetMember(member Member) Change {
	return Change{object: NewObject(KindMember, member.name), member: member}
}

// SetChair makes the member called name the chair.
func SetChair(name string) Change { return Change{object: NewObject(KindChair, name)} }

// RemoveObject removes a service, pool, endpoint, rule or member.
func RemoveObject(object Object) Change { return Change{verb: Remove, object: object} }

// DrainEndpoint keeps new work from the endpoint called name.
func DrainEndpoint(name string) Change {
	return Change{verb: Drain, object: NewObject(KindEndpoint, name)}
}

// RestoreEndpoint lets new work go to the endpoint called name again.
func RestoreEndpoint(name string) Change {
	return Change{verb: Restore, object: NewObject(KindEndpoint, name)}
}

// Verb returns what the change does.
func (change Change) Verb() Verb { return change.verb }

// Object returns what the change names.
func (change Change) Object() Object { return change.object }

// Service returns the service that a Set of a service sets.
func (change Change) Service() Service { return change.service }

// Endpoint returns the endpoint that a Set of an endpoint sets.
func (change Change) Endpoint() Endpoint { return change.endpoint }

// Rule returns the rule that a Set of a rule sets.
func (change Change) Rule() Rule { return change.rule }

// Member returns the member that a Set of a member sets.
func (change Change) Member() Member { return change.member }

// Touches returns the object by which changes collide: the committee for
// members and chair, else the object itself.
func (change Change) Touches() Object {
	if change.object.kind == KindMember || change.object.kind == KindChair {
		return NewObject(KindCommittee, "")
	}
	return change.object
}

// refers returns the object that must exist for a Set to hold, if any.
func (change Change) refers() (Object, bool) {
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

// Collides reports whether both changes touch one object, or one removes what
// the other needs.
func (change Change) Collides(other Change) bool {
	return change.Touches() == other.Touches() || change.breaks(other) || other.breaks(change)
}

// breaks reports whether change removes what other needs.
func (change Change) breaks(other Change) bool {
	needed, ok := other.refers()
	return ok && change.verb == Remove && change.object == needed
}

// String returns the change in short, as on the time line.
func (change Change) String() string {
	return fmt.Sprintf("%s %s", change.verb, change.object)
}
