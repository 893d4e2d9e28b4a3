package acceptor

import (
	"sync"
	"sync/atomic"
)

// maxSpareWorkers is how many goroutines wait for the next request to handle.
const maxSpareWorkers = 16

// workers runs the tasks of requests. It reuses some of their goroutines: a new one
// has a small stack, and growing it takes a fifth of the processor time of a short
// request. Make one with newWorkers.
type workers struct {
	// spare passes requests to the goroutines that wait for one.
	spare chan *exchange
	// waiting counts these goroutines.
	waiting atomic.Int32
	running sync.WaitGroup
}

func newWorkers() *workers { return &workers{spare: make(chan *exchange)} }

// start starts the task of exchange.
func (workers *workers) start(exchange *exchange) {
	select {
	case workers.spare <- exchange:
	default:
		workers.running.Add(1)
		go workers.run(exchange)
	}
}

// run runs the task of exchange and of others after it.
func (workers *workers) run(exchange *exchange) {
	defer workers.running.Done()
	for ok := true; ok; workers.waiting.Add(-1) {
		exchange.run()
		if workers.waiting.Add(1) > maxSpareWorkers {
			workers.waiting.Add(-1)
			return
		}
		exchange, ok = <-workers.spare
	}
}

// Close waits for all tasks. No task may be started any more.
func (workers *workers) Close() error {
	close(workers.spare)
	workers.running.Wait()
	return nil
}
