package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
)

// members is the membership as the platform's host list tells it.
type members struct {
	self     definer.Host
	hostList *connector.HostList
	// mu guards the fields below.
	mu      sync.Mutex
	hosts   []definer.Host
	changed chan struct{}
}

func newMembers(self definer.Host, hostList *connector.HostList) *members {
	return &members{self: self, hostList: hostList, hosts: []definer.Host{self}, changed: make(chan struct{})}
}

// Run reads the list each second.
func (members *members) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if hosts, err := members.hostList.Hosts(ctx); err == nil {
			members.set(hosts)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (members *members) set(hosts []definer.Host) {
	hosts = slices.DeleteFunc(hosts, func(host definer.Host) bool { return host.Name() == members.self.Name() })
	members.mu.Lock()
	defer members.mu.Unlock()
	hosts = append(hosts, members.self)
	if slices.Equal(hosts, members.hosts) {
		return
	}
	members.hosts = hosts
	close(members.changed)
	members.changed = make(chan struct{})
}

// Hosts returns the entry hosts, this one among them.
func (members *members) Hosts() []definer.Host {
	members.mu.Lock()
	defer members.mu.Unlock()
	return members.hosts
}

// Changed returns a channel that is closed at the next change.
func (members *members) Changed() <-chan struct{} {
	members.mu.Lock()
	defer members.mu.Unlock()
	return members.changed
}

// Draining returns the endpoints that leave.
func (members *members) Draining() []string { return nil }

// Watcher reports whether this host watches the store for its data centre.
func (members *members) Watcher() bool { return true }

// Leave says that this host leaves.
func (members *members) Leave() {}
