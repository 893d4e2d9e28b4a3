// Package sampler measures what processes of the bench cost: processor time
// and memory as the kernel counts them, and the metrics that entry hosts show
// over HTTP. It fits lines to the measurements, whose slopes go into
// docs/CAPACITY.md.
package sampler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// tick is the kernel's unit of processor time, 1/100 s on Linux.
	tick = 10 * time.Millisecond
	// The fields of /proc/PID/stat, counted from the one after the command.
	fieldUser   = 11
	fieldSystem = 12
	// residentPages is the field of /proc/PID/statm.
	residentPages = 1
	readTimeout   = 5 * time.Second
)

// Process is an entry host to measure.
type Process struct {
	id      int
	address string
}

// NewProcess returns the process with an id, which serves /metrics at address
// (IP:port).
func NewProcess(id int, address string) Process { return Process{id: id, address: address} }

// Sample is what the processes cost over a time, as means over all of them.
type Sample struct {
	// Scene and X say what was measured: X of a series called Scene.
	Scene string  `json:"scene"`
	X     float64 `json:"x"`
	// Processes is how many were measured, over Seconds.
	Processes int     `json:"processes"`
	Seconds   float64 `json:"seconds"`
	// Figures holds the processor time in milliseconds a second as cpu, the
	// resident memory in MB as memory, and the rise of each counter a second.
	Figures map[string]float64 `json:"figures"`
}

// reading is one look at one process.
type reading struct {
	cpu      time.Duration
	memory   float64
	counters map[string]float64
}

// Measure looks at the processes at the start and the end of an interval.
func Measure(ctx context.Context, processes []Process, interval time.Duration) (Sample, error) {
	start := time.Now()
	before, err := readAll(ctx, processes)
	if err != nil {
		return Sample{}, err
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return Sample{}, ctx.Err()
	}
	took := time.Since(start)
	after, err := readAll(ctx, processes)
	if err != nil {
		return Sample{}, err
	}
	return difference(before, after, took), nil
}

// difference returns the means of what changed.
func difference(before, after []reading, took time.Duration) Sample {
	sample := Sample{Processes: len(after), Seconds: took.Seconds(), Figures: make(map[string]float64)}
	each := 1 / float64(max(len(after), 1))
	for index, last := range after {
		first := before[index]
		sample.Figures["cpu"] += each * float64((last.cpu - first.cpu).Milliseconds()) / took.Seconds()
		sample.Figures["memory"] += each * last.memory
		for name, value := range last.counters {
			sample.Figures[name] += each * (value - first.counters[name]) / took.Seconds()
		}
	}
	return sample
}

func readAll(ctx context.Context, processes []Process) ([]reading, error) {
	readings := make([]reading, 0, len(processes))
	for _, process := range processes {
		reading, err := process.read(ctx)
		if err != nil {
			return nil, err
		}
		readings = append(readings, reading)
	}
	return readings, nil
}

func (process Process) read(ctx context.Context) (reading, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.id))
	if err != nil {
		return reading{}, fmt.Errorf("measure, check that the process runs: %w", err)
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.id))
	if err != nil {
		return reading{}, fmt.Errorf("measure, check that the process runs: %w", err)
	}
	counters, err := process.counters(ctx)
	if err != nil {
		return reading{}, err
	}
	// The command may hold spaces; the fields after it don't.
	_, rest, _ := strings.Cut(string(stat), ") ")
	pages := number(strings.Fields(string(statm)), residentPages)
	return reading{
		cpu:      time.Duration(number(strings.Fields(rest), fieldUser)+number(strings.Fields(rest), fieldSystem)) * tick,
		memory:   pages * float64(os.Getpagesize()) / 1e6,
		counters: counters,
	}, nil
}

func number(fields []string, index int) float64 {
	if index >= len(fields) {
		return 0
	}
	value, err := strconv.ParseFloat(fields[index], 64)
	if err != nil {
		return 0
	}
	return value
}

// counters returns the counts of all metrics that the process shows.
func (process Process) counters(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("write the address of an entry host as IP:port: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read metrics, check that the process runs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var metrics map[string]struct {
		Count *float64 `json:"count"`
	}
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return nil, fmt.Errorf("decode the metrics of %s: %w", process.address, err)
	}
	counters := make(map[string]float64)
	for name, metric := range metrics {
		if metric.Count != nil && !strings.HasPrefix(name, "runtime.") {
			counters[name] = *metric.Count
		}
	}
	return counters, nil
}
