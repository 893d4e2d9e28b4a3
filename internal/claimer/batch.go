package claimer

import "github.com/chivespool/chivespool/internal/registrar"

// job is a request that waits for a ruling.
type job struct {
	request registrar.Request
	// done takes the result; it has room, so that nobody waits to send. It is
	// nil where nobody waits for the result.
	done chan result
	// tries counts the commits of a job that nobody waits for.
	tries int
}

// result is the end of a job.
type result struct {
	ruling registrar.Ruling
	err    error
}

// batch is what one write to the store carries.
type batch struct {
	limits Limits
	jobs   []job
	// bytes bounds what the jobs add to the value.
	bytes int
	// urgent is true once the answer of a job's caller hangs on the write.
	urgent bool
}

func (batch *batch) add(job job) {
	batch.jobs = append(batch.jobs, job)
	batch.bytes += job.request.Size()
	if job.done != nil && job.request.Act() != registrar.ActFinish {
		batch.urgent = true
	}
}

// full reports whether there is no room for one more job.
func (batch *batch) full() bool {
	return len(batch.jobs) >= batch.limits.batch || batch.bytes >= batch.limits.batchBytes
}

// due reports whether the batch waits no longer.
func (batch *batch) due() bool { return batch.urgent || batch.full() }

func (batch *batch) requests() []registrar.Request {
	requests := make([]registrar.Request, len(batch.jobs))
	for index, job := range batch.jobs {
		requests[index] = job.request
	}
	return requests
}
