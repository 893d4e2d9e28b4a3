package pacer

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Ticket is a probe under way.
type Ticket struct {
	name string
	// starts is the number of requests assigned to the endpoint before the probe.
	starts uint64
}

// Begin records that a probe of the endpoint called name is sent.
func (pacer *Pacer) Begin(now time.Time, name string) Ticket {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	pacer.refill(now)
	pacer.saved--
	record := pacer.record(name)
	record.underWay++
	record.beganAt = now
	return Ticket{name: name, starts: record.started}
}

// End records the report that answered a probe, or that none did.
func (pacer *Pacer) End(now time.Time, ticket Ticket, report definer.Report, answered bool) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	record := pacer.record(ticket.name)
	record.underWay = max(record.underWay-1, 0)
	if !answered {
		record.receivedAt = time.Time{} // The last report holds no longer.
		return
	}
	record.report, record.receivedAt, record.starts = report, now, min(ticket.starts, record.started)
	record.healthy, record.checkedAt = report.Healthy(), now
}

// Record records the report in the head of an answer of endpoint. A report without the
// load is of no use.
func (pacer *Pacer) Record(now time.Time, endpoint definer.Endpoint, report definer.Report) {
	if report.Slots() == 0 || report.Slowdown() == 0 {
		return
	}
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	record := pacer.record(endpoint.Name())
	if now.Sub(record.checkedAt) <= healthTime && !record.healthy {
		report = report.WithHealth(false)
	}
	record.report, record.receivedAt, record.starts = report, now, record.started
}

// usable reports whether the last report is recent enough to be used at all.
func (record *record) usable(now time.Time) bool {
	return !record.receivedAt.IsZero() && now.Sub(record.receivedAt) <= maxAge
}

// Reading is the last report of an endpoint as a selection uses it.
type Reading struct {
	name   string
	report definer.Report
	// starts is the number of this host's requests that the report covers.
	starts uint64
}

// Name returns the name of the endpoint.
func (reading Reading) Name() string { return reading.name }

// Read returns the last report of the endpoint called name; false if there is none.
func (pacer *Pacer) Read(now time.Time, name string) (Reading, bool) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	record, ok := pacer.records[name]
	if !ok || !record.usable(now) {
		return Reading{}, false
	}
	return record.reading(name), true
}

// reading returns the last report of the endpoint called name.
func (record *record) reading(name string) Reading {
	return Reading{name: name, report: record.report, starts: record.starts}
}

// NewReading returns the reading of a report that answered the probe of ticket.
func NewReading(ticket Ticket, report definer.Report) Reading {
	return Reading{name: ticket.name, report: report, starts: ticket.starts}
}

// Current returns a reading's report with this host's requests that were assigned since,
// and the count of assignments that it includes, for Start. They fill the free slots and
// then the queue.
func (pacer *Pacer) Current(reading Reading) (definer.Report, uint64) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	record, ok := pacer.records[reading.name]
	if !ok || record.started <= reading.starts {
		return reading.report, reading.starts
	}
	report := reading.report
	if report.Slots() == 0 {
		return report, record.started // The load is unknown.
	}
	running := report.Running() + int(record.started-reading.starts)
	queued := max(running-max(report.Slots(), report.Running()), 0)
	return report.WithLoad(running-queued, report.Waiting()+queued), record.started
}

// Start records that a request is assigned to the endpoint called name, on the ground of
// a report that includes the first seen assignments. It returns false if there were more
// since: two requests that see the same free slot must not both get it.
func (pacer *Pacer) Start(name string, seen uint64) bool {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	record := pacer.record(name)
	if record.started > seen {
		return false
	}
	record.started = seen + 1
	return true
}

// Cancel takes back a Start whose request was not sent.
func (pacer *Pacer) Cancel(name string) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	if record, ok := pacer.records[name]; ok && record.started > 0 {
		record.started--
	}
}
