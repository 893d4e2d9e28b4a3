// Package logger writes a process's log: structured lines by klog on one
// output. It never holds up who logs: lines go through a bounded queue, and
// those that don't fit are counted and left out. Lines that every request
// brings are sampled under a budget.
package logger

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// The bounds on a log.
const (
	// queueLines is how many lines may wait for the output.
	queueLines = 2048
	// flushTimeout bounds the writing of what is left at the end.
	flushTimeout = 200 * time.Millisecond
	// usualLines bounds the lines a second of what every request brings, and
	// notableLines those of what goes wrong.
	usualLines   = 100
	notableLines = 400
	// reportInterval is how often the lines that were left out are told of.
	reportInterval = 5 * time.Second
)

// Log is the log of a process. Make one with New.
type Log struct {
	output io.Writer
	queue  chan []byte
	// left counts the lines left out since the last report.
	left    atomic.Int64
	usual   budget
	notable budget
	// done is closed once Run has written the last line.
	done chan struct{}
}

// New returns a log that writes to output, and makes klog write to it.
func New(output io.Writer) *Log {
	log := &Log{
		output: output, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		usual: budget{rate: usualLines}, notable: budget{rate: notableLines},
	}
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
	} {
		if err := flags.Set(name, value); err != nil {
			panic(fmt.Sprintf("logger: klog has no flag %s: %v", name, err))
		}
	}
	klog.SetOutput(log)
	return log
}

// Write takes one line; it never waits and never fails.
func (log *Log) Write(line []byte) (int, error) {
	select {
	case log.queue <- append([]byte(nil), line...):
	default:
		log.left.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx is done, then what is left in the queue.
func (log *Log) Run(ctx context.Context) error {
	defer close(log.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-log.queue:
			if err := log.write(line); err != nil {
				return fmt.Errorf("write the log; check where the output goes: %w", err)
			}
		case <-ticker.C:
			log.report()
		case <-ctx.Done():
			log.flush()
			return nil
		}
	}
}

// write writes a line with those that wait behind it, in one call.
func (log *Log) write(line []byte) error {
	for range len(log.queue) {
		line = append(line, <-log.queue...)
	}
	_, err := log.output.Write(line)
	return err
}

func (log *Log) report() {
	if left := log.left.Swap(0); left > 0 {
		klog.InfoS("log lines left out", "count", left)
	}
}

// flush writes the lines that wait; new ones are no longer taken.
func (log *Log) flush() {
	log.report()
	if len(log.queue) > 0 {
		_ = log.write(nil) // Nobody is left to tell.
	}
}

// Close waits until Run has ended and writes what came after it. It gives up
// on an output that takes nothing.
func (log *Log) Close() error {
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-log.done:
		log.flush()
	case <-timer.C:
	}
	return nil
}

// Usual logs what every request brings, as far as the budget goes.
func (log *Log) Usual(what string, details ...any) { log.line(&log.usual, what, details) }

// Notable logs what goes wrong with a request, as far as the budget goes.
func (log *Log) Notable(what string, details ...any) { log.line(&log.notable, what, details) }

// Learned logs a change of what the process believes.
func (log *Log) Learned(what string, details ...any) { log.line(&log.notable, what, details) }

// Unreadable logs a value of the store that can't be decoded.
func (log *Log) Unreadable(key string, revision uint64, err error) {
	log.line(&log.notable, "value can't be read", []any{"key", key, "revision", revision, "error", err})
}

func (log *Log) line(budget *budget, what string, details []any) {
	if !budget.take(time.Now()) {
		log.left.Add(1)
		return
	}
	klog.InfoSDepth(2, what, details...)
}

// budget bounds lines a second; a second's worth may come at once.
type budget struct {
	rate float64
	// mu guards the fields below.
	mu    sync.Mutex
	spent float64
	at    time.Time
}

func (budget *budget) take(now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.spent = max(0, budget.spent-budget.rate*now.Sub(budget.at).Seconds())
	budget.at = now
	if budget.spent+1 > budget.rate {
		return false
	}
	budget.spent++
	return true
}
