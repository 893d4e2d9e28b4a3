package definer

// HostState is what is believed of an entry host.
type HostState int

// The states of an entry host, in the order of a life.
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

// Host is an entry host as the members of the fleet see it.
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
}

// NewHost returns a live host.
func NewHost(name, address, peerAddress string, place Place, incarnation uint64) Host {
	return Host{name: name, address: address, peerAddress: peerAddress, place: place, incarnation: incarnation}
}

// Name returns the host's name, unique over the fleet.
func (host Host) Name() string { return host.name }

// Address returns where callers and operators connect, as IP:port.
func (host Host) Address() string { return host.address }

// PeerAddress returns where other entry hosts connect, as IP:port.
func (host Host) PeerAddress() string { return host.peerAddress }

// Place returns where the host stands.
func (host Host) Place() Place { return host.place }

// Incarnation returns a number that rises with each start of the daemon.
func (host Host) Incarnation() uint64 { return host.incarnation }

// State returns what is believed of the host.
func (host Host) State() HostState { return host.state }

// WithState returns a copy in state.
func (host Host) WithState(state HostState) Host {
	host.state = state
	return host
}
