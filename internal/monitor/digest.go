package monitor

import "github.com/chivespool/chivespool/internal/definer"

// Member is the membership record of an entry host. Of two records with the
// same name, [Member.After] decides which one is newer.
type Member struct {
	definer.Host
	// refutation rises each time the host refutes a record about itself.
	refutation uint32
}

// NewMember returns the membership record of host.
func NewMember(host definer.Host, refutation uint32) Member {
	return Member{Host: host, refutation: refutation}
}

// Refutation returns how often the host refuted a record about itself.
func (member Member) Refutation() uint32 { return member.refutation }

// After reports whether member is newer than other: the later incarnation wins,
// then the higher refutation, then the worse state.
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

// Partition is a report on whether the relay of one region reaches another
// region. It affects routing only.
type Partition struct {
	from   string
	to     string
	active bool
	// version rises with each change.
	version uint64
}

// NewPartition returns a report of the region from that it reaches no host of the
// region to, or, if active is false, that it does.
func NewPartition(from, to string, active bool, version uint64) Partition {
	return Partition{from: from, to: to, active: active, version: version}
}

// From returns the reporting region.
func (partition Partition) From() string { return partition.from }

// To returns the region that the report is about.
func (partition Partition) To() string { return partition.to }

// Active reports whether no host of the other region is reachable.
func (partition Partition) Active() bool { return partition.active }

// Version returns a number that rises with each change.
func (partition Partition) Version() uint64 { return partition.version }

// Digest is the gossip message that one host sends to another: updates, and a
// checksum of its full table.
type Digest struct {
	sender     string
	checksum   uint64
	members    []Member
	partitions []Partition
	// endpoints holds updates on leaving endpoints.
	endpoints []EndpointState
	// antiEntropy is true if members is a page of the full table, sent because
	// the checksums of both hosts differ.
	antiEntropy bool
}

// NewDigest returns a digest from sender.
func NewDigest(sender string, checksum uint64, members []Member, partitions []Partition, antiEntropy bool) Digest {
	return Digest{sender: sender, checksum: checksum, members: members, partitions: partitions, antiEntropy: antiEntropy}
}

// WithEndpoints returns a copy with updates on endpoints.
func (digest Digest) WithEndpoints(endpoints []EndpointState) Digest {
	digest.endpoints = endpoints
	return digest
}

// Endpoints returns the updates on leaving endpoints; callers must not modify
// the slice.
func (digest Digest) Endpoints() []EndpointState { return digest.endpoints }

// Sender returns the name of the sending host.
func (digest Digest) Sender() string { return digest.sender }

// Checksum returns a checksum of the sender's full table.
func (digest Digest) Checksum() uint64 { return digest.checksum }

// Members returns the membership updates; callers must not modify the slice.
func (digest Digest) Members() []Member { return digest.members }

// Partitions returns the updates on regions; callers must not modify the slice.
func (digest Digest) Partitions() []Partition { return digest.partitions }

// AntiEntropy reports whether the members are a page of the full table, sent
// because the checksums differ.
func (digest Digest) AntiEntropy() bool { return digest.antiEntropy }
