package definer

// HostState is the membership state of an entry host.
type HostState int

// The states of an entry host, in the order of its life cycle.
const (
	Live HostState = iota
	Suspect
	Leaving
	Gone
)

// String returns the state in lower case.
func (hostState HostState) String() string {
	return [...]string{"live", "suspect", "leaving", "gone"}[hostState]
}

// Host is an entry host as another member of the fleet sees it.
type Host struct {
	name string
	// address is where callers and operators connect, as IP:port.
	address string
	// peerAddress is where other entry hosts connect, as IP:port.
	peerAddress string
	place       Place
	// incarnation rises with each start of the host's daemon.
	incarnation uint64
	state       HostState
	// linkRate is the rate of the host's network link in bits per second; 0 if it is
	// unknown.
	linkRate uint64
}

// NewHost returns a live host.
func NewHost(name, address, peerAddress string, place Place, incarnation uint64) Host {
	return Host{name: name, address: address, peerAddress: peerAddress, place: place, incarnation: incarnation}
}

// Name returns the host's name, unique in the fleet.
func (host Host) Name() string { return host.name }

// Address returns where callers and operators connect, as IP:port.
func (host Host) Address() string { return host.address }

// PeerAddress returns where other entry hosts connect, as IP:port.
func (host Host) PeerAddress() string { return host.peerAddress }

// Place returns the location of the host.
func (host Host) Place() Place { return host.place }

// Incarnation returns a number that rises with each start of the daemon.
func (host Host) Incarnation() uint64 { return host.incarnation }

// LinkRate returns the rate of the host's network link in bits per second, or 0 if it
// is unknown.
func (host Host) LinkRate() uint64 { return host.linkRate }

// WithLinkRate returns a copy whose network link has a rate of bitsPerSecond.
func (host Host) WithLinkRate(bitsPerSecond uint64) Host {
	host.linkRate = bitsPerSecond
	return host
}

// State returns the membership state.
func (host Host) State() HostState { return host.state }

// WithState returns a copy in state.
func (host Host) WithState(state HostState) Host {
	host.state = state
	return host
}
