package claimer

import "github.com/chivespool/chivespool/internal/registrar"

// job is a request that waits to be committed.
type job struct {
	request registrar.Request
	// done receives the result; it is buffered, so that sending does not block.
	// It is nil if no caller waits for the result.
	done chan result
	// commits counts the commits of a job without a waiting caller.
	commits int
}

// result is the result of a job.
type result struct {
	decision registrar.Decision
	err      error
}

// batch is the set of jobs committed by one write to the store.
type batch struct {
	limits Limits
	jobs   []job
	// bytes is an upper bound on the bytes that the jobs add to the value.
	bytes int
	// urgent is true once a job's caller can't be answered before the write.
	urgent bool
}

func (batch *batch) add(job job) {
	batch.jobs = append(batch.jobs, job)
	batch.bytes += job.request.Size()
	if job.done != nil && job.request.Act() != registrar.ActFinish {
		batch.urgent = true
	}
}

// full reports whether the batch has reached its limit of jobs or bytes.
func (batch *batch) full() bool {
	return len(batch.jobs) >= batch.limits.batch || batch.bytes >= batch.limits.batchBytes
}

// due reports whether the batch must be committed without further delay.
func (batch *batch) due() bool { return batch.urgent || batch.full() }

func (batch *batch) requests() []registrar.Request {
	requests := make([]registrar.Request, len(batch.jobs))
	for index, job := range batch.jobs {
		requests[index] = job.request
	}
	return requests
}
