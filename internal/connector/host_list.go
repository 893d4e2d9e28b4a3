package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/chivespool/chivespool/internal/definer"
)

// HostList is the client of the platform's list of hosts, which is eventually
// consistent. It is safe for concurrent use.
type HostList struct {
	Caller
}

// NewHostList returns the client of the host list at baseURL.
func NewHostList(baseURL string, options ...Option) *HostList {
	return &HostList{Caller: NewCaller(baseURL, "host-list", options...)}
}

// Backend is an endpoint of a backend server in the host list.
type Backend struct {
	name    string
	address string
	state   definer.HostState
}

// NewBackend returns the endpoint called name at address (IP:port) in state.
func NewBackend(name, address string, state definer.HostState) Backend {
	return Backend{name: name, address: address, state: state}
}

// Name returns the endpoint's name.
func (backend Backend) Name() string { return backend.name }

// Address returns the endpoint's IP address and port.
func (backend Backend) Address() string { return backend.address }

// State returns Live or Leaving.
func (backend Backend) State() definer.HostState { return backend.state }

// wireHost is the JSON form of an entry host in the host list.
type wireHost struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
	Region      string `json:"region"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// wireBackend is the JSON form of an endpoint in the host list.
type wireBackend struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Hosts returns the entry hosts in the list.
func (hostList *HostList) Hosts(ctx context.Context) ([]definer.Host, error) {
	hostList.calls.reads.Inc(1)
	var answer struct {
		Hosts []wireHost `json:"hosts"`
	}
	err := hostList.do(ctx, Call{operation: "list hosts", method: http.MethodGet, path: "/hosts"}, &answer)
	hosts := make([]definer.Host, 0, len(answer.Hosts))
	for _, wireHost := range answer.Hosts {
		hosts = append(hosts, wireHost.host())
	}
	return hosts, err
}

// Backends returns the endpoints of backend servers in the list.
func (hostList *HostList) Backends(ctx context.Context) ([]Backend, error) {
	hostList.calls.reads.Inc(1)
	var answer struct {
		Backends []wireBackend `json:"backends"`
	}
	err := hostList.do(ctx, Call{operation: "list backends", method: http.MethodGet, path: "/backends"}, &answer)
	backends := make([]Backend, 0, len(answer.Backends))
	for _, backend := range answer.Backends {
		backends = append(backends, NewBackend(backend.Name, backend.Address, hostState(backend.State)))
	}
	return backends, err
}

// Put adds host to the list or replaces its entry. Readers see the change after
// the list's lag.
func (hostList *HostList) Put(ctx context.Context, host definer.Host) error {
	hostList.calls.writes.Inc(1)
	place := host.Place()
	body := wireHost{
		Name: host.Name(), Address: host.Address(), PeerAddress: host.PeerAddress(),
		Region: place.Region(), DataCentre: place.DataCentre(),
		Incarnation: host.Incarnation(), State: host.State().String(),
	}
	return hostList.do(ctx, Call{
		operation: "put host " + host.Name(), method: http.MethodPut,
		path: "/hosts/" + url.PathEscape(host.Name()), effect: true, body: body,
	}, &struct{}{})
}

// Remove removes the host called name from the list.
func (hostList *HostList) Remove(ctx context.Context, name string) error {
	hostList.calls.writes.Inc(1)
	return hostList.do(ctx, Call{
		operation: fmt.Sprintf("remove host %s", name), method: http.MethodDelete,
		path: "/hosts/" + url.PathEscape(name), effect: true,
	}, &struct{}{})
}

func (wireHost *wireHost) host() definer.Host {
	place := definer.NewPlace(wireHost.Region, wireHost.DataCentre)
	host := definer.NewHost(wireHost.Name, wireHost.Address, wireHost.PeerAddress, place, wireHost.Incarnation)
	return host.WithState(hostState(wireHost.State))
}

// hostState parses a state of the list. Anything but leaving counts as live: the
// list lags, so its states do not prove that a host is up.
func hostState(state string) definer.HostState {
	if state == definer.Leaving.String() {
		return definer.Leaving
	}
	return definer.Live
}
