package sampler

import (
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

func TestFitLine(t *testing.T) {
	var samples []Sample
	// y = 3 + 0.5x with one point off by 1; the expected error is the textbook formula.
	for _, point := range [][2]float64{{0, 3}, {2, 4}, {4, 6}, {6, 6}, {8, 7}} {
		samples = append(samples, Sample{Scene: "s", X: point[0], Figures: map[string]float64{"cpu": point[1]}})
	}
	linearFits := LinearFits(samples)
	if len(linearFits) != 1 {
		t.Fatalf("got lines %v, want one", linearFits)
	}
	linearFit := linearFits[0]
	near := func(got, want float64) bool { return math.Abs(got-want) < 1e-9 }
	if !near(linearFit.Slope, 0.5) || !near(linearFit.Base, 3.2) || !near(linearFit.SlopeError, math.Sqrt(0.8/3/40)) {
		t.Fatalf("got %+v", linearFit)
	}
}

func TestAverageRates(t *testing.T) {
	before := []reading{{cpu: time.Second, counters: map[string]float64{"calls": 10}}, {}}
	after := []reading{
		{cpu: 3 * time.Second, memory: 20, counters: map[string]float64{"calls": 30}},
		{cpu: time.Second, memory: 40, counters: map[string]float64{"calls": 40}},
	}
	sample := averageRates(before, after, 2*time.Second)
	for name, want := range map[string]float64{"cpu": 750, "memory": 30, "calls": 15} {
		if got := sample.Figures[name]; got != want {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
}

func TestReadProcess(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"a.calls":{"count":7},"gauge":{"value":3},"runtime.x":{"count":1}}`))
	}))
	defer server.Close()
	reading, err := NewProcess(os.Getpid(), strings.TrimPrefix(server.URL, "http://")).read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if reading.memory < 1 || len(reading.counters) != 1 || reading.counters["a.calls"] != 7 {
		t.Fatalf("got %+v", reading)
	}
}
