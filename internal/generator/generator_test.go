package generator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/pkg/client"
)

// entry is a stub entry host that damages selected answers deliberately. It
// derives the expected answers from the headers and bodies of the requests.
type entry struct {
	address string
	// damage holds the kind of damage by the number of the request.
	damage map[string]string
	runs   map[string]emulator.Runs
}

func (entry *entry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/where" {
		where := client.NewWhere(request.URL.Query().Get("service"), []string{entry.address}, time.Hour)
		_ = json.NewEncoder(writer).Encode(where)
		return
	}
	id := request.Header.Get("Work-Id")
	number := id[strings.LastIndex(id, "-")+1:]
	entry.answer(writer, request, id, entry.damage[number])
}

func (entry *entry) answer(writer http.ResponseWriter, request *http.Request, id, damage string) {
	var size int64
	_, _ = fmt.Sscan(request.Header.Get("Answer-Bytes"), &size)
	digest := xxhash.New()
	_, _ = io.Copy(digest, request.Body)
	answer := emulator.NewAnswer(id, size, digest.Sum64())
	runs := emulator.Runs{Started: 1}
	switch damage {
	case "cut":
		_, _ = io.CopyN(writer, answer, answer.Length()-1)
	case "double":
		_, _ = io.Copy(writer, answer)
		_, _ = io.Copy(writer, emulator.NewAnswer(id, size, digest.Sum64()))
	case "mix up":
		_, _ = io.Copy(writer, emulator.NewAnswer(id+"0", size, digest.Sum64()))
	case "break":
		panic(http.ErrAbortHandler)
	case "lie", "refuse":
		writer.Header().Set("Content-Type", client.ProblemType)
		writer.Header().Set("Proxy-Status", "test")
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(client.Problem{Kind: "overloaded", Ran: client.RanNo})
	case "run twice":
		runs.Started = 2
		_, _ = io.Copy(writer, answer)
	default:
		_, _ = io.Copy(writer, answer)
	}
	if damage != "refuse" {
		entry.runs[id] = runs
	}
}

// TestGeneratorDetectsDamage checks that each kind of damaged answer, of false
// refusal and of repeated run is counted as such.
func TestGeneratorDetectsDamage(t *testing.T) {
	entry := &entry{runs: make(map[string]emulator.Runs), damage: map[string]string{
		"3": "cut", "4": "double", "5": "mix up", "6": "break", "7": "lie", "8": "refuse", "9": "run twice",
	}}
	server := httptest.NewServer(entry)
	defer server.Close()
	entry.address = strings.TrimPrefix(server.URL, "http://")
	plan := Plan{
		Label: "t", Services: []string{"tile"}, Callers: 1, Rate: 1e6, DurationMs: 1e6,
		PostShare: 1, AnswerBytes: 100_000, TimeoutMs: 1e6, LongTimeoutMs: 1e6,
	}
	generator := New(plan, []string{entry.address})
	// Requests run one at a time, so that entry needs no lock.
	schedule := newSchedule(plan)
	for range 20 {
		work, _ := schedule.next()
		call := &call{generator: generator, caller: generator.callers[0], work: work, start: time.Now()}
		generator.launch(t.Context(), call)
		generator.inFlight.Wait()
	}
	report := generator.tally.report(time.Second)
	report.compareRuns(entry.runs)
	got := report.Counts
	want := Counts{
		Sent: 20, Answered: 14, Refused: 2, Broken: 1, Truncated: 1, Duplicated: 1, Mismatched: 1,
		RanTwice: 1, RefusedButRan: 1,
		Refusals: map[string]int{"overloaded (not run)": 2, "connection (unknown)": 1},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	violation := "1 broken connections, 1 cut, 1 doubled, 1 wrong, 1 ran twice, 1 refused as not run, but run; "
	if err := report.Violation(); err == nil || !strings.HasPrefix(err.Error(), violation) {
		t.Fatalf("got %v, want %s", err, violation)
	}
}

// TestScheduleFollowsPlan checks that the same seed gives the same requests, and
// that rates and shares are those of the plan.
func TestScheduleFollowsPlan(t *testing.T) {
	plan := Plan{
		Seed: 7, DurationMs: 20_000, Rate: 1000, SwingLow: 0.3, SwingHigh: 1.5, SwingMs: 4000,
		Services: []string{"a", "b"}, ShortMs: 5, LongMs: 150, LongShare: 0.01, KeyedShare: 0.2, PostShare: 0.1,
	}
	var classes [4]int
	var peaks, total int
	schedule, again := newSchedule(plan), newSchedule(plan)
	for {
		work, ok := schedule.next()
		if same, _ := again.next(); same != work {
			t.Fatalf("the same seed gave %v and %v", work, same)
		}
		if !ok {
			break
		}
		total++
		classes[work.class]++
		if plan.rateAt(work.at) > plan.Rate {
			peaks++
		}
	}
	// The mean rate is 0.9 times 1000 per second; the rate exceeds 1000 per
	// second for 0.447 of the time.
	for name, pair := range map[string][2]float64{
		"total": {float64(total), 18000},
		"crest": {float64(peaks), 11807},
		"long":  {float64(classes[classLong]), 180},
		"keyed": {float64(classes[classKeyed]), 3564},
		"post":  {float64(classes[classPost]), 1782},
	} {
		// The counts are Poisson distributed; four standard deviations are allowed.
		if math.Abs(pair[0]-pair[1]) > 4*math.Sqrt(pair[1]) {
			t.Errorf("%s: got %.0f, want about %.0f", name, pair[0], pair[1])
		}
	}
}
