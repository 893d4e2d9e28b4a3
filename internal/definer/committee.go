package definer

import (
	"bytes"
	"crypto/ed25519"
	"maps"
	"slices"
)

// Member is an operator who votes in the committee.
type Member struct {
	name string
	// key verifies the member's signatures; ed25519.PublicKeySize bytes.
	key ed25519.PublicKey
}

// NewMember returns a member whose signatures are verified with key.
func NewMember(name string, key ed25519.PublicKey) Member {
	return Member{name: name, key: bytes.Clone(key)}
}

// Name returns the member's name, unique in the committee.
func (member Member) Name() string { return member.name }

// Key returns the public key of the member; callers must not change it.
func (member Member) Key() ed25519.PublicKey { return member.key }

// Committee is the group of operators who vote on changes, one of them as the
// chair. The zero value has no members.
type Committee struct {
	members map[string]Member
	// chair is the name of a member; empty while there are none.
	chair string
}

// Member returns the member called name.
func (committee Committee) Member(name string) (Member, bool) {
	member, ok := committee.members[name]
	return member, ok
}

// Members returns all members by name.
func (committee Committee) Members() []Member { return sortedByName(committee.members) }

// Size returns the number of members.
func (committee Committee) Size() int { return len(committee.members) }

// Chair returns the name of the member whose casting vote settles ties and
// conflicting proposals.
func (committee Committee) Chair() string { return committee.chair }

// IsMajority reports whether votes are more than half of the committee.
func (committee Committee) IsMajority(votes int) bool { return 2*votes > len(committee.members) }

func (committee Committee) withMember(member Member) Committee {
	committee.members = cloneMap(committee.members)
	committee.members[member.name] = member
	return committee
}

func (committee Committee) withoutMember(name string) Committee {
	committee.members = cloneMap(committee.members)
	delete(committee.members, name)
	return committee
}

// Committee returns the operators who vote on changes.
func (configuration *Configuration) Committee() Committee { return configuration.committee }

// WithMember returns a copy whose committee contains member. The first member
// becomes the chair.
func (configuration *Configuration) WithMember(member Member) *Configuration {
	clone := configuration.clone()
	clone.committee = clone.committee.withMember(member)
	if clone.committee.chair == "" {
		clone.committee.chair = member.name
	}
	return clone
}

// WithoutMember returns a copy whose committee does not contain the member
// called name.
func (configuration *Configuration) WithoutMember(name string) *Configuration {
	clone := configuration.clone()
	clone.committee = clone.committee.withoutMember(name)
	return clone
}

// WithChair returns a copy whose committee is chaired by name.
func (configuration *Configuration) WithChair(name string) *Configuration {
	clone := configuration.clone()
	clone.committee.chair = name
	return clone
}

// WithoutService returns a copy without the service called name.
func (configuration *Configuration) WithoutService(name string) *Configuration {
	clone := configuration.clone()
	delete(clone.services, name)
	return clone
}

// WithoutPool returns a copy without the pool called name.
func (configuration *Configuration) WithoutPool(name string) *Configuration {
	clone := configuration.clone()
	delete(clone.pools, name)
	return clone
}

// WithoutEndpoint returns a copy without the endpoint called name.
func (configuration *Configuration) WithoutEndpoint(name string) *Configuration {
	clone := configuration.clone()
	delete(clone.endpoints, name)
	return clone
}

// WithoutRule returns a copy without the rule called name.
func (configuration *Configuration) WithoutRule(name string) *Configuration {
	clone := configuration.clone()
	delete(clone.rules, name)
	return clone
}

// Equal reports whether both configurations have the same objects, committee,
// revision and lineage.
func (configuration *Configuration) Equal(other *Configuration) bool {
	return configuration.revision == other.revision && configuration.lineage == other.lineage &&
		maps.Equal(configuration.services, other.services) &&
		maps.Equal(configuration.pools, other.pools) &&
		maps.Equal(configuration.endpoints, other.endpoints) &&
		maps.Equal(configuration.rules, other.rules) &&
		configuration.committee.chair == other.committee.chair &&
		slices.EqualFunc(configuration.committee.Members(), other.committee.Members(), Member.equal)
}

func (member Member) equal(other Member) bool {
	return member.name == other.name && bytes.Equal(member.key, other.key)
}
