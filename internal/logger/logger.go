// Package logger writes a process's structured log with klog to one output, for
// package launcher.
//
// Logging never blocks: lines go through a bounded queue, which Run empties, and
// those that do not fit or can't be written are dropped and counted. The rates of
// routine lines and of lines about problems are limited.
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

// Limits of a log.
const (
	// queueLines and queueBytes are the capacity of the queue: a line holds text that
	// callers choose.
	queueLines = 2048
	queueBytes = 1 << 20
	// flushTimeout limits how long Close waits for Run to end.
	flushTimeout = 200 * time.Millisecond
	// routineLines is the maximum number per second of lines that every request
	// causes, and problemLines that of lines about problems and state changes.
	routineLines = 100
	problemLines = 400
	// droppedInterval is how often the count of dropped lines is logged.
	droppedInterval = 5 * time.Second
)

// Log is the log of a process. Make one with New.
type Log struct {
	output io.Writer
	queue  chan []byte
	// queued counts the bytes of the lines in queue; it is at most queueBytes.
	queued atomic.Int64
	// dropped counts the lines dropped since the count was last logged.
	dropped  atomic.Int64
	routine  budget
	problems budget
	// done is closed when Run returns.
	done chan struct{}
}

// New returns a log that writes to output, and directs klog to it.
func New(output io.Writer) *Log {
	log := &Log{
		output: output, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		routine: budget{rate: routineLines}, problems: budget{rate: problemLines},
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

// Write queues one line, or drops it if the queue is full. It never blocks or
// fails.
func (log *Log) Write(line []byte) (int, error) {
	size := int64(len(line))
	if log.queued.Add(size) <= queueBytes {
		select {
		case log.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	log.queued.Add(-size)
	log.dropped.Add(1)
	return len(line), nil
}

// Run writes lines until ctx is done, then the remaining lines of the queue.
func (log *Log) Run(ctx context.Context) error {
	defer close(log.done)
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-log.queue:
			log.write(line)
		case <-ticker.C:
			log.reportDropped()
		case <-ctx.Done():
			log.flush()
			return nil
		}
	}
}

// write writes line, which was taken from the queue, and all queued lines in one call.
// If the output fails, for example since its reader has ended, they count as dropped:
// there is no other output to report to.
func (log *Log) write(line []byte) {
	count := int64(1)
	for range len(log.queue) {
		line = append(line, <-log.queue...)
		count++
	}
	log.queued.Add(-int64(len(line)))
	if _, err := log.output.Write(line); err != nil {
		log.dropped.Add(count)
	}
}

func (log *Log) reportDropped() {
	if dropped := log.dropped.Swap(0); dropped > 0 {
		klog.InfoS("log lines dropped", "count", dropped)
	}
}

// flush writes the queued lines.
func (log *Log) flush() {
	log.reportDropped()
	select {
	case line := <-log.queue:
		log.write(line)
	default:
	}
}

// Close waits until Run has returned and writes the lines queued since. If the
// output blocks Run for longer than flushTimeout, Close returns without writing.
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

// Routine logs a message that every request causes, within the budget.
func (log *Log) Routine(message string, details ...any) { log.print(&log.routine, message, details) }

// Failure logs a problem with a request, within the budget.
func (log *Log) Failure(message string, details ...any) { log.print(&log.problems, message, details) }

// Change logs a change of the process's local view, within the budget.
func (log *Log) Change(message string, details ...any) { log.print(&log.problems, message, details) }

// Undecodable logs a value from the store that cannot be decoded.
func (log *Log) Undecodable(key string, revision uint64, err error) {
	log.print(&log.problems, "cannot decode value from the store", []any{"key", key, "revision", revision, "error", err})
}

func (log *Log) print(budget *budget, message string, details []any) {
	if !budget.take(time.Now()) {
		log.dropped.Add(1)
		return
	}
	klog.InfoSDepth(2, message, details...)
}

// budget limits the rate of lines; one second's worth may come in a burst.
type budget struct {
	rate float64
	// mu guards the fields below.
	mu sync.Mutex
	// spent is the number of lines logged, less rate for each second since; updatedAt
	// is when it was last computed.
	spent     float64
	updatedAt time.Time
}

func (budget *budget) take(now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.spent = max(0, budget.spent-budget.rate*now.Sub(budget.updatedAt).Seconds())
	budget.updatedAt = now
	if budget.spent+1 > budget.rate {
		return false
	}
	budget.spent++
	return true
}
