// Package sampler measures the resource usage of entry hosts for the command
// chivesbench: processor time and memory from /proc, and the counters that entry
// hosts serve over HTTP.
//
// It fits lines to the measurements, whose slopes go into docs/CAPACITY.md. It
// reads the system clock and starts no goroutines.
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
	// clockTick is the kernel's unit of processor time, 1/100 s on Linux.
	clockTick = 10 * time.Millisecond
	// Fields of /proc/PID/stat, counted from the one after the command.
	fieldUser   = 11
	fieldSystem = 12
	// fieldResident is the number of resident pages in /proc/PID/statm.
	fieldResident = 1
	readTimeout   = 5 * time.Second
)

// Process is an entry host to measure.
type Process struct {
	id      int
	address string
}

// NewProcess returns the process with the given process id, which serves /metrics
// at address (IP:port).
func NewProcess(id int, address string) Process { return Process{id: id, address: address} }

// Sample holds the resource usage of processes over an interval, as means over all
// of them.
type Sample struct {
	// Scene is the name of a series of measurements, and X the value of the
	// variable that differs between them, such as the number of entry hosts.
	Scene string  `json:"scene"`
	X     float64 `json:"x"`
	// Processes is the number of processes measured, over Seconds.
	Processes int     `json:"processes"`
	Seconds   float64 `json:"seconds"`
	// Figures holds the processor time in milliseconds per second as cpu, the resident
	// memory in MB as memory, and the increase per second of each counter.
	Figures map[string]float64 `json:"figures"`
}

// reading is one measurement of one process.
type reading struct {
	cpu      time.Duration
	memory   float64
	counters map[string]float64
}

// Measure reads the processes at the start and the end of an interval and returns
// the difference.
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
	elapsed := time.Since(start)
	after, err := readAll(ctx, processes)
	if err != nil {
		return Sample{}, err
	}
	return averageRates(before, after, elapsed), nil
}

// averageRates returns the mean rates of change, and the mean memory at the end.
func averageRates(before, after []reading, elapsed time.Duration) Sample {
	sample := Sample{Processes: len(after), Seconds: elapsed.Seconds(), Figures: make(map[string]float64)}
	weight := 1 / float64(max(len(after), 1))
	for index, last := range after {
		first := before[index]
		sample.Figures["cpu"] += weight * float64((last.cpu - first.cpu).Milliseconds()) / elapsed.Seconds()
		sample.Figures["memory"] += weight * last.memory
		for name, value := range last.counters {
			sample.Figures[name] += weight * (value - first.counters[name]) / elapsed.Seconds()
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
		return reading{}, fmt.Errorf("measure a process, check that it is running: %w", err)
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.id))
	if err != nil {
		return reading{}, fmt.Errorf("measure a process, check that it is running: %w", err)
	}
	counters, err := process.counters(ctx)
	if err != nil {
		return reading{}, err
	}
	// The command may contain spaces; the fields after it do not.
	_, rest, _ := strings.Cut(string(stat), ") ")
	pages := fieldValue(strings.Fields(string(statm)), fieldResident)
	return reading{
		cpu:      time.Duration(fieldValue(strings.Fields(rest), fieldUser)+fieldValue(strings.Fields(rest), fieldSystem)) * clockTick,
		memory:   pages * float64(os.Getpagesize()) / 1e6,
		counters: counters,
	}, nil
}

func fieldValue(fields []string, index int) float64 {
	if index >= len(fields) {
		return 0
	}
	value, err := strconv.ParseFloat(fields[index], 64)
	if err != nil {
		return 0
	}
	return value
}

// counters returns the counts of all metrics that the process serves.
func (process Process) counters(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("write the address of an entry host as IP:port: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read metrics, check that the process is running: %w", err)
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
