package pacer

import (
	"slices"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const testRate = 100

// newTestPacer returns a pacer of the only host of an endpoint that has saved the probes of
// a time.
func newTestPacer(now time.Time, saved time.Duration) *Pacer {
	pacer := &Pacer{}
	pacer.SetRate(now, testRate/usedShare, 1, 1)
	pacer.saved = testRate * saved.Seconds()
	return pacer
}

func plan(pacer *Pacer, now time.Time, phase Phase, purpose Purpose) Action {
	return pacer.Plan(now, phase, purpose, []Target{NewTarget("e", true)}, 1)[0]
}

// TestOrderOfReduction checks that probes for waiting requests end first as the budget is
// used up, then additional ones, then those at further distances, and that a selection
// without any report always sends one.
func TestOrderOfReduction(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		saved                                 time.Duration
		nearest, distant, additional, waiting bool
	}{
		{scarceTime, true, true, true, true},
		{scarceTime * 7 / 10, true, true, true, false},
		{scarceTime * 5 / 10, true, true, false, false},
		{scarceTime * 3 / 10, true, false, false, false},
		{-scarceTime, true, false, false, false},
	} {
		pacer := newTestPacer(now, test.saved)
		got := []bool{
			plan(pacer, now, Arriving, Nearest) == Probe, plan(pacer, now, Arriving, Distant) == Probe,
			plan(pacer, now, Arriving, Additional) == Probe, plan(pacer, now, Leading, Nearest) == Probe,
		}
		if want := []bool{test.nearest, test.distant, test.additional, test.waiting}; !slices.Equal(got, want) {
			t.Errorf("with %v saved, probes are sent for %v, want %v", test.saved, got, want)
		}
		if first := pacer.Plan(now, Following, Additional, []Target{NewTarget("e", false)}, 0); first[0] != Probe {
			t.Errorf("with %v saved, a selection without any report gets action %v", test.saved, first[0])
		}
	}
}

// TestReports checks when a report is used again, and when a probe under way is joined.
func TestReports(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		saved, age time.Duration
		want       Action
	}{
		{savedTime, 4 * time.Millisecond, Reuse},
		{savedTime, 8 * time.Millisecond, Probe},
		{0, 40 * time.Millisecond, Reuse},
		{0, maxAge + 1, Probe},
	} {
		pacer := newTestPacer(now, test.saved)
		pacer.End(now.Add(-test.age), pacer.Begin(now.Add(-test.age), "e"), definer.NewReport(true, 1, 0, 4, 1), true)
		pacer.saved = testRate * test.saved.Seconds()
		if got := plan(pacer, now, Arriving, Nearest); got != test.want {
			t.Errorf("a report of %v ago with %v saved gets action %v, want %v", test.age, test.saved, got, test.want)
		}
	}
	pacer := newTestPacer(now, savedTime)
	pacer.Begin(now, "e")
	if got := plan(pacer, now.Add(joinTime), Arriving, Nearest); got != Join {
		t.Errorf("a probe under way gets action %v, want to be joined", got)
	}
	if got := plan(pacer, now.Add(joinTime+1), Arriving, Nearest); got != Probe {
		t.Errorf("a silent probe gets action %v, want another probe", got)
	}
}

// TestOneSlotOnce guards against two requests of a host that get the same free slot since
// both know it from the same report.
func TestOneSlotOnce(t *testing.T) {
	pacer, now := &Pacer{}, time.Now()
	ticket := pacer.Begin(now, "e")
	reading := NewReading(ticket, definer.NewReport(true, 3, 0, 4, 1))
	pacer.End(now, ticket, definer.NewReport(true, 3, 0, 4, 1), true)
	_, seen := pacer.Current(reading)
	if !pacer.Start("e", seen) || pacer.Start("e", seen) {
		t.Error("two requests are assigned on the ground of the same report")
	}
	report, seen := pacer.Current(reading)
	if report.Running() != 4 || report.Waiting() != 0 || !pacer.Start("e", seen) {
		t.Errorf("after one request the report is %d+%d", report.Running(), report.Waiting())
	}
	if report, _ := pacer.Current(reading); report.Running() != 4 || report.Waiting() != 1 {
		t.Errorf("after two requests the report is %d+%d", report.Running(), report.Waiting())
	}
}

// TestBound checks that the probes over a day stay under the bound although selections
// want ten times as many, also when the host restarts, and that unused ones are saved up
// for a bounded time.
func TestBound(t *testing.T) {
	const day = 30 * time.Second
	start := time.Now()
	pacer, sent := newTestPacer(start, initialTime), 0
	for elapsed := time.Duration(0); elapsed < day; elapsed += time.Millisecond {
		if elapsed == day/2 {
			pacer = newTestPacer(start.Add(elapsed), initialTime)
		}
		if plan(pacer, start.Add(elapsed), Phase(elapsed.Milliseconds()%2), Additional) == Probe {
			pacer.Begin(start.Add(elapsed), "e")
			pacer.End(start.Add(elapsed), Ticket{name: "e"}, definer.Report{}, false)
			sent++
		}
	}
	if most := testRate / usedShare * day.Seconds(); float64(sent) > most || float64(sent) < 0.8*most {
		t.Errorf("%d probes in %v, want less than %.0f and not much less", sent, day, most)
	}
	if pacer.Price(start.Add(time.Hour)); pacer.saved > testRate*savedTime.Seconds() {
		t.Errorf("%.0f probes are saved up", pacer.saved)
	}
}
