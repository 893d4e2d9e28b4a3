package recorder

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestCausalOrderUnderClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ahead, behind Recorder
		ahead.SetProcess("ahead")
		behind.SetProcess("behind")
		ahead.Observe(NewStamp(time.Now().Add(time.Minute).UnixNano(), 0))
		ahead.Record(KindPeer, "behind", "cause")
		behind.Observe(ahead.Now())
		behind.Record(KindPeer, "ahead", "effect")
		merged := Merge(behind.Events(Stamp{}), ahead.Events(Stamp{}))
		if merged[0].Text() != "cause" || merged[1].Text() != "effect" {
			t.Fatalf("got %v", merged)
		}
	})
}

func TestKeepsNewestEvents(t *testing.T) {
	var recorder Recorder
	for index := range Capacity + 3 {
		recorder.Record(KindProcess, strconv.Itoa(index), "")
	}
	events := recorder.Events(Stamp{})
	if len(events) != Capacity || events[0].Object() != "3" {
		t.Fatalf("%d events, first %s", len(events), events[0].Object())
	}
	newest := events[len(events)-1]
	if newest.Object() != strconv.Itoa(Capacity+2) || len(recorder.Events(newest.Stamp())) != 0 {
		t.Fatalf("newest is %v", newest)
	}
}

// TestLongText checks that events are bounded in bytes: the text may hold a request id
// that is as long as a header.
func TestLongText(t *testing.T) {
	var recorder Recorder
	recorder.Record(KindRefusal, "ledger", strings.Repeat("x", 64<<10))
	if text := recorder.Events(Stamp{})[0].Text(); len(text) != maxTextBytes {
		t.Errorf("the text has %d bytes, want %d", len(text), maxTextBytes)
	}
}
