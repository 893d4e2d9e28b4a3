package soaker

import (
	"context"
	"fmt"
	"sync"
)

// Pool runs the soaks of several seeds, up to a number of them concurrently.
type Pool struct {
	options Options
	seeds   chan uint64
	jobs    int
	results chan Result
}

// Result is the outcome of one seed.
type Result struct {
	report *Report
	err    error
}

// Report returns the observations; nil if the soak could not be run.
func (result Result) Report() *Report { return result.report }

// Err returns why the soak could not be run.
func (result Result) Err() error { return result.err }

// NewPool returns a pool that soaks seeds with up to jobs fleets at once.
func NewPool(options Options, seeds []uint64, jobs int) *Pool {
	pool := &Pool{options: options, seeds: make(chan uint64, len(seeds)), jobs: max(jobs, 1), results: make(chan Result, len(seeds))}
	for _, seed := range seeds {
		pool.seeds <- seed
	}
	close(pool.seeds)
	return pool
}

// Run starts the soaks and returns a channel of their results, which is closed
// after the last.
func (pool *Pool) Run(ctx context.Context) <-chan Result {
	var group sync.WaitGroup
	for range pool.jobs {
		group.Add(1)
		job := &job{pool: pool, ctx: ctx, group: &group}
		go job.run()
	}
	closer := &closer{pool: pool, group: &group}
	go closer.run()
	return pool.results
}

// job runs the soaks of one seed after the other.
type job struct {
	pool  *Pool
	ctx   context.Context
	group *sync.WaitGroup
}

func (job *job) run() {
	defer job.group.Done()
	for seed := range job.pool.seeds {
		if job.ctx.Err() != nil {
			return
		}
		report, err := New(job.pool.options, seed).Run(job.ctx)
		if err != nil {
			err = fmt.Errorf("seed %d: %w", seed, err)
		}
		job.pool.results <- Result{report: report, err: err}
	}
}

// closer closes the channel of results after the last job.
type closer struct {
	pool  *Pool
	group *sync.WaitGroup
}

func (closer *closer) run() {
	closer.group.Wait()
	close(closer.pool.results)
}
