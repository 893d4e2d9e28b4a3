package emulator

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// HostList emulates the platform's list of hosts. Changes become visible after
// its lag. The zero value is an empty list without lag. It is safe for
// concurrent use.
type HostList struct {
	// mu guards all fields below.
	mu  sync.Mutex
	lag time.Duration
	// hosts and backends hold, by name, each entry's latest visible change and
	// the pending ones, oldest first. Superseded changes are dropped on reads.
	hosts    map[string][]change[HostEntry]
	backends map[string][]change[BackendEntry]
}

// HostEntry is an entry host in the list.
type HostEntry struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
	Region      string `json:"region"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	// State is live or leaving.
	State string `json:"state"`
}

// BackendEntry is an endpoint of a backend server in the list.
type BackendEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// State is live or leaving.
	State string `json:"state"`
}

// change is one change of an entry, which becomes visible at a given time.
type change[E any] struct {
	visibleAt time.Time
	entry     E
	removed   bool
}

// lagSetting is the body of PUT /lag.
type lagSetting struct {
	LagMs int64 `json:"lag-ms"`
}

// SetLag sets the delay until changes made from now on become visible.
func (hostList *HostList) SetLag(lag time.Duration) {
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	hostList.lag = lag
}

// Handler returns the list's HTTP handler.
func (hostList *HostList) Handler() http.Handler {
	router := echo.New()
	router.GET("/hosts", hostList.serveHosts)
	router.PUT("/hosts/:name", hostList.servePutHost)
	router.DELETE("/hosts/:name", hostList.serveDeleteHost)
	router.GET("/backends", hostList.serveBackends)
	router.PUT("/backends/:name", hostList.servePutBackend)
	router.DELETE("/backends/:name", hostList.serveDeleteBackend)
	router.PUT("/lag", hostList.serveLag)
	return router
}

func (hostList *HostList) serveHosts(c echo.Context) error {
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	return c.JSON(http.StatusOK, map[string]any{"hosts": visibleEntries(hostList.hosts, time.Now())})
}

func (hostList *HostList) serveBackends(c echo.Context) error {
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	return c.JSON(http.StatusOK, map[string]any{"backends": visibleEntries(hostList.backends, time.Now())})
}

func (hostList *HostList) servePutHost(c echo.Context) error {
	var entry HostEntry
	if err := c.Bind(&entry); err != nil || entry.Address == "" {
		return refuse(c, http.StatusBadRequest, "send JSON with name, address, peer-address, region, data-centre, incarnation and state")
	}
	entry.Name = c.Param("name")
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	appendChange(&hostList.hosts, entry.Name, change[HostEntry]{visibleAt: hostList.visibleFrom(), entry: entry})
	return c.JSON(http.StatusOK, entry)
}

func (hostList *HostList) serveDeleteHost(c echo.Context) error {
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	appendChange(&hostList.hosts, c.Param("name"), change[HostEntry]{visibleAt: hostList.visibleFrom(), removed: true})
	return c.JSON(http.StatusOK, struct{}{})
}

func (hostList *HostList) servePutBackend(c echo.Context) error {
	var entry BackendEntry
	if err := c.Bind(&entry); err != nil || entry.Address == "" {
		return refuse(c, http.StatusBadRequest, "send JSON with name, address and state")
	}
	entry.Name = c.Param("name")
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	appendChange(&hostList.backends, entry.Name, change[BackendEntry]{visibleAt: hostList.visibleFrom(), entry: entry})
	return c.JSON(http.StatusOK, entry)
}

func (hostList *HostList) serveDeleteBackend(c echo.Context) error {
	hostList.mu.Lock()
	defer hostList.mu.Unlock()
	appendChange(&hostList.backends, c.Param("name"), change[BackendEntry]{visibleAt: hostList.visibleFrom(), removed: true})
	return c.JSON(http.StatusOK, struct{}{})
}

func (hostList *HostList) serveLag(c echo.Context) error {
	var setting lagSetting
	if err := c.Bind(&setting); err != nil {
		return refuse(c, http.StatusBadRequest, "send JSON with lag-ms")
	}
	hostList.SetLag(time.Duration(setting.LagMs) * time.Millisecond)
	return c.JSON(http.StatusOK, setting)
}

// visibleFrom returns when a change made now becomes visible. The caller holds mu.
func (hostList *HostList) visibleFrom() time.Time { return time.Now().Add(hostList.lag) }

func appendChange[E any](entries *map[string][]change[E], name string, latest change[E]) {
	if *entries == nil {
		*entries = make(map[string][]change[E])
	}
	(*entries)[name] = append((*entries)[name], latest)
}

// visibleEntries returns the entries visible at now, sorted by name, and drops
// changes superseded by newer visible ones.
func visibleEntries[E any](entries map[string][]change[E], now time.Time) []E {
	entriesNow := make([]E, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		changes := entries[name]
		for len(changes) > 1 && !changes[1].visibleAt.After(now) {
			changes = changes[1:]
		}
		entries[name] = changes
		if first := changes[0]; !first.visibleAt.After(now) && !first.removed {
			entriesNow = append(entriesNow, first.entry)
		}
	}
	return entriesNow
}
