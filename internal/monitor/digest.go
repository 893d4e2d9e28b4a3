package monitor

import "github.com/chivespool/chivespool/internal/definer"

// Member is what is known of an entry host. Of two Members of one name, the
// later one holds: see [Member.After].
type Member struct {
	definer.Host
	// refutation rises each time the host contradicts what is said of it.
	refutation uint32
}

// NewMember returns what is known of host.
func NewMember(host definer.Host, refutation uint32) Member {
	return Member{Host: host, refutation: refutation}
}

// Refutation counts how often the host contradicted what was said of it.
func (member Member) Refutation() uint32 { return member.refutation }

// After reports whether member is later knowledge than other: a later start
// wins, then what the host said of itself last, then the worse state.
func (member Member) After(other Member) bool {
	if member.Incarnation() != other.Incarnation() {
		return member.Incarnation() > other.Incarnation()
	}
	if member.refutation != other.refutation {
		return member.refutation > other.refutation
	}
	return member.State() > other.State()
}

// withState returns a copy in state.
func (member Member) withState(state definer.HostState) Member {
	member.Host = member.WithState(state)
	return member
}

// Cut is the judgement of one region's relay on whether it reaches another
// region. It bears on routing only.
type Cut struct {
	from string
	to   string
	cut  bool
	// version rises with each judgement.
	version uint64
}

// NewCut returns the judgement that hosts of the region from reach no host of
// the region to (cut), or do.
func NewCut(from, to string, cut bool, version uint64) Cut {
	return Cut{from: from, to: to, cut: cut, version: version}
}

// From returns the region that judges.
func (cut Cut) From() string { return cut.from }

// To returns the region that is judged.
func (cut Cut) To() string { return cut.to }

// Cut reports whether no host of the other region is reached.
func (cut Cut) Cut() bool { return cut.cut }

// Version rises with each judgement.
func (cut Cut) Version() uint64 { return cut.version }

// Digest is what one host tells another: news, and a checksum of all it knows.
type Digest struct {
	sender   string
	checksum uint64
	members  []Member
	cuts     []Cut
	// endpoints holds changes of endpoints that leave.
	endpoints []EndpointState
	// levelling is true where members are there to mend a differing checksum.
	levelling bool
}

// NewDigest returns what sender tells.
func NewDigest(sender string, checksum uint64, members []Member, cuts []Cut, levelling bool) Digest {
	return Digest{sender: sender, checksum: checksum, members: members, cuts: cuts, levelling: levelling}
}

// WithEndpoints returns a copy that tells endpoints.
func (digest Digest) WithEndpoints(endpoints []EndpointState) Digest {
	digest.endpoints = endpoints
	return digest
}

// Endpoints returns changes of endpoints that leave; callers must not change it.
func (digest Digest) Endpoints() []EndpointState { return digest.endpoints }

// Sender returns the name of the host that tells.
func (digest Digest) Sender() string { return digest.sender }

// Checksum covers all that the sender knows of the fleet.
func (digest Digest) Checksum() uint64 { return digest.checksum }

// Members returns the news; callers must not change it.
func (digest Digest) Members() []Member { return digest.members }

// Cuts returns the judgements on regions; callers must not change it.
func (digest Digest) Cuts() []Cut { return digest.cuts }

// Levelling reports whether members are there to mend a differing checksum.
func (digest Digest) Levelling() bool { return digest.levelling }
