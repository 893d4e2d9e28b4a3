package offloader

import (
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

var (
	here = definer.NewPlace("k", "k-a")
	near = definer.NewPlace("k", "k-b")
	far  = definer.NewPlace("m", "m-a")
)

const normalRun = 400 * time.Millisecond

// journal counts changes.
type journal struct{ changes int }

func (journal *journal) Change(string, ...any) { journal.changes++ }

// play sends ten requests of bytes per second, which find the own data centre crowded if
// crowded says so, and returns the largest share at distance of the last second.
func play(offloader *Offloader, start time.Time, length time.Duration, bytes float64, crowded func(int) bool, away Sample) float64 {
	largest, request := 0.0, NewRequest("s", bytes, normalRun)
	for index := range int(length / (100 * time.Millisecond)) {
		now := start.Add(time.Duration(index) * 100 * time.Millisecond)
		offloader.Observe(now, request, []Sample{NewSample(here, normalRun, crowded(index)), away})
		if index >= int(length/(100*time.Millisecond))-10 {
			for percent := 0; percent < 100 && offloader.MayLeave(now, request, offloader.Distance(away.place), float64(percent)/100); percent++ {
				largest = max(largest, float64(percent+1)/100)
			}
		}
	}
	return largest
}

func always(int) bool { return true }
func never(int) bool  { return false }

// TestShare replays a data centre that is crowded: the share must rise within some seconds,
// but not at once, unless bytes cost more than is gained or the other place does not answer.
func TestShare(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		length      time.Duration
		bytes       float64
		crowded     func(int) bool
		away        Sample
		least, most float64
	}{
		"at once":         {600 * time.Millisecond, 400, always, NewUnknownSample(near), 0, 0.1},
		"after a time":    {6 * time.Second, 400, always, NewSample(near, normalRun, false), 0.9, 1},
		"other region":    {6 * time.Second, 400, always, NewSample(far, normalRun, false), 0.9, 1},
		"room":            {6 * time.Second, 400, never, NewUnknownSample(near), 0, 0},
		"short noise":     {3 * time.Second, 400, func(index int) bool { return index == 5 || index == 6 }, NewUnknownSample(near), 0, 0.1},
		"as crowded":      {6 * time.Second, 400, always, NewSample(near, normalRun, true), 0, 0},
		"cut off":         {6 * time.Second, 400, always, NewSample(far, 0, true), 0, 0},
		"large, far":      {6 * time.Second, 300_000, always, NewSample(far, normalRun, false), 0, 0},
		"large, near":     {6 * time.Second, 300_000, always, NewSample(near, normalRun, false), 0.9, 1},
		"crowded at half": {6 * time.Second, 400, func(index int) bool { return index%2 == 0 }, NewSample(near, normalRun, false), 0.5, 1},
	} {
		if share := play(New(here), start, test.length, test.bytes, test.crowded, test.away); share < test.least || share > test.most {
			t.Errorf("%s: the share is %.2f, want %.2f to %.2f", name, share, test.least, test.most)
		}
	}
}

// TestReturnAndHysteresis replays capacity that comes back, and a load at the edge, at which
// the share must not flap.
func TestReturnAndHysteresis(t *testing.T) {
	offloader, start, journal := New(here), time.Unix(1000, 0), &journal{}
	offloader.SetJournal(journal)
	away := NewSample(near, normalRun, false)
	play(offloader, start, 10*time.Second, 400, always, away)
	if !offloader.MayLeave(start.Add(10*time.Second), NewRequest("s", 400, normalRun), Near, 0.9) ||
		offloader.MayLeave(start.Add(10*time.Second+2*staleTime), NewRequest("s", 400, normalRun), Near, 0) {
		t.Error("the share does not last between requests, or lasts without them")
	}
	if share := play(offloader, start.Add(10*time.Second), 6*time.Second, 400, never, away); share > 0 {
		t.Errorf("the share is %.2f six seconds after capacity came back, want 0", share)
	}
	before := journal.changes
	play(offloader, start.Add(16*time.Second), time.Minute, 400, func(index int) bool { return index%8 == 0 }, away)
	if flaps := journal.changes - before; flaps > 6 {
		t.Errorf("the share changes %d times in a minute at the edge of the capacity", flaps)
	}
}

// TestRoundTrip guards against taking delays in a host for distance, and against keeping a
// round trip that has become longer.
func TestRoundTrip(t *testing.T) {
	offloader, now := New(here), time.Unix(1000, 0)
	record := func(place definer.Place, shortest, delay time.Duration, count int) {
		for index := range count {
			now = now.Add(500 * time.Millisecond)
			offloader.RecordRoundTrip(now, place, shortest+time.Duration(index%4)*delay)
		}
	}
	expect := func(want time.Duration) {
		t.Helper()
		if cost := offloader.NetworkCost(far, 1000) - time.Duration(1000*DefaultFarBytePrice); cost != want {
			t.Errorf("the extra round trip is %v, want %v", cost, want)
		}
	}
	expect(firstFarRoundTrip)
	record(far, 12*time.Millisecond, 30*time.Millisecond, 1)
	expect(firstFarRoundTrip)
	record(far, 12*time.Millisecond, 30*time.Millisecond, 8)
	expect(12 * time.Millisecond)
	record(here, time.Millisecond, 10*time.Millisecond, 8)
	expect(11 * time.Millisecond)
	record(far, 41*time.Millisecond, 0, 200)
	if cost := offloader.NetworkCost(far, 0); cost < 39*time.Millisecond {
		t.Errorf("the extra round trip is %v after it has become 40 ms", cost)
	}
}
