package tracker

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// View is what a host believes at one moment. It is immutable.
type View struct {
	table *definer.RouteTable
	// endpoints holds those that take new work, by service.
	endpoints map[string][]definer.Endpoint
	// hosts holds the entry hosts that are known to run.
	hosts []definer.Host
	// revision is that of the store which the view is a copy of.
	revision uint64
	// proved is when the store was last known to be at revision.
	proved time.Time
}

var nothing = View{table: new(definer.RouteTable)}

// Table returns the routing in force; at version 0 where none is known.
func (view *View) Table() *definer.RouteTable { return view.table }

// Endpoints returns the endpoints of service that take new work; callers must
// not change it.
func (view *View) Endpoints(service string) []definer.Endpoint { return view.endpoints[service] }

// Hosts returns the entry hosts that are known to run; callers must not change
// it.
func (view *View) Hosts() []definer.Host { return view.hosts }

// Revision returns the revision of the store that the view is a copy of.
func (view *View) Revision() uint64 { return view.revision }

// Age returns how long ago the view was known to be current.
func (view *View) Age(now time.Time) time.Duration { return now.Sub(view.proved) }
