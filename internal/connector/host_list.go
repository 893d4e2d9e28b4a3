package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/chivespool/chivespool/internal/definer"
)

// HostList is the client of the platform's list of hosts, which lags behind.
// It is safe for use by several goroutines.
type HostList struct {
	Caller
}

// NewHostList returns the client of the host list at baseURL.
func NewHostList(baseURL string, options ...Option) *HostList {
	return &HostList{Caller: NewCaller(baseURL, "host-list", options...)}
}

// Backend is an endpoint of a backend server as the host list shows it.
type Backend struct {
	name    string
	address string
	state   definer.HostState
}

// NewBackend returns an endpoint called name at address (IP:port) in state.
func NewBackend(name, address string, state definer.HostState) Backend {
	return Backend{name: name, address: address, state: state}
}

// Name returns the endpoint's name.
func (backend Backend) Name() string { return backend.name }

// Address returns the endpoint's IP address and port.
func (backend Backend) Address() string { return backend.address }

// State returns Live or Leaving.
func (backend Backend) State() definer.HostState { return backend.state }

// wireHost is an entry host as the host list sends and takes it.
type wireHost struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
	Region      string `json:"region"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// wireBackend is an endpoint as the host list sends it.
type wireBackend struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Hosts returns the entry hosts that the list shows.
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

// Backends returns the endpoints of backend servers that the list shows.
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

// Put enters host into the list or replaces its entry. Readers see it once the
// list's lag is over.
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

// Remove takes the host called name off the list.
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

// hostState reads a state of the list, which knows two; anything but leaving
// counts as live, since the list lags and never proves that a host is there.
func hostState(state string) definer.HostState {
	if state == definer.Leaving.String() {
		return definer.Leaving
	}
	return definer.Live
}
