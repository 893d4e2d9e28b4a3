package claimer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/registrar"
)

const (
	// queueLength is the maximum number of requests that wait for the shard's
	// write.
	queueLength = 8192
	// deferredLength is the maximum number of settlements that wait for the store
	// to recover.
	deferredLength = 8192
	// deferredRetryInterval is the time between attempts to commit deferred
	// settlements.
	deferredRetryInterval = time.Second
	// releaseCommits is the number of times that a release without a waiting caller
	// is committed: a delayed batch of another host may write its claim after the
	// first.
	releaseCommits = 4
	// flushTimeout bounds the last commit when the host stops.
	flushTimeout = time.Second
)

// shard commits the requests for one shard of the keys. Its Run has at most one
// commit in flight; requests that arrive meanwhile form the next batch.
type shard struct {
	name      string
	limits    Limits
	committer committer
	queue     chan job
	// mu guards deferred.
	mu sync.Mutex
	// deferred holds settlements without a waiting caller, oldest first. At
	// deferredLength new ones are dropped, which leaves their claims unsettled.
	deferred []job
}

func newShard(number int, store Store, limits Limits) *shard {
	name := fmt.Sprintf("chivespool/claims/%d", number)
	return &shard{
		name: name, limits: limits, queue: make(chan job, queueLength),
		committer: committer{store: store, name: name, limits: limits},
	}
}

// submit queues request and waits for the decision on it.
func (shard *shard) submit(ctx context.Context, request registrar.Request) (registrar.Decision, error) {
	job := job{request: request, done: make(chan result, 1)}
	select {
	case shard.queue <- job:
	default:
		return registrar.Decision{}, refuser.New(refuser.KindOverloaded, refuser.NotRun,
			"too many claims wait for the store").WithRetryAfter(retryAfter)
	}
	select {
	case result := <-job.done:
		return result.decision, result.err
	case <-ctx.Done():
		return registrar.Decision{}, fmt.Errorf("wait for a claim: %w", ctx.Err())
	}
}

// submitAsync queues request after all earlier ones, without waiting for the
// decision. If the queue is full, it defers the request.
func (shard *shard) submitAsync(request registrar.Request) {
	job := job{request: request}
	select {
	case shard.queue <- job:
	default:
		shard.deferJob(job)
	}
}

// Run commits batches until ctx is done, then the remaining batch.
func (shard *shard) Run(ctx context.Context) error {
	for {
		batch := shard.nextBatch(ctx)
		if ctx.Err() != nil {
			return shard.flush(ctx, batch)
		}
		started := time.Now()
		shard.commit(ctx, batch)
		sleep(ctx, time.Until(started.Add(shard.limits.writeInterval())))
	}
}

// nextBatch waits for the next batch. A batch is due once it is full or a caller's
// answer depends on it, or else when its first job has waited for settleWait.
func (shard *shard) nextBatch(ctx context.Context) *batch {
	batch := &batch{limits: shard.limits}
	due := shard.retryTimer()
	for !batch.due() {
		select {
		case job := <-shard.queue:
			if len(batch.jobs) == 0 {
				due = time.After(shard.limits.settleWait)
			}
			batch.add(job)
			continue
		case <-due:
		case <-ctx.Done():
		}
		break
	}
	shard.fill(batch)
	return batch
}

// fill adds queued jobs, then deferred ones, until batch is full.
func (shard *shard) fill(batch *batch) {
	for !batch.full() {
		select {
		case job := <-shard.queue:
			batch.add(job)
			continue
		default:
		}
		break
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for len(shard.deferred) > 0 && !batch.full() {
		batch.add(shard.deferred[0])
		shard.deferred = shard.deferred[1:]
	}
}

// retryTimer returns a channel that fires when deferred settlements are due, or nil
// if there are none.
func (shard *shard) retryTimer() <-chan time.Time {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.deferred) == 0 {
		return nil
	}
	return time.After(deferredRetryInterval)
}

// commit commits batch and sends the result of each job to its caller.
func (shard *shard) commit(ctx context.Context, batch *batch) {
	ctx, cancel := context.WithTimeout(ctx, shard.limits.timeout)
	defer cancel()
	decisions, err := shard.committer.commit(ctx, batch.requests())
	for index, job := range batch.jobs {
		switch {
		case job.done == nil && err != nil:
			shard.deferJob(job)
		case job.done == nil:
			shard.releaseAgain(job)
		case err != nil:
			job.done <- result{err: err}
		default:
			job.done <- result{decision: decisions[index]}
		}
	}
}

// releaseAgain defers a release that was committed, unless it has been committed
// releaseCommits times.
func (shard *shard) releaseAgain(job job) {
	job.commits++
	if job.request.Act() == registrar.ActRelease && job.commits < releaseCommits {
		shard.deferJob(job)
	}
}

// flush commits batch when the host stops.
func (shard *shard) flush(ctx context.Context, batch *batch) error {
	if len(batch.jobs) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	shard.commit(ctx, batch)
	return nil
}

// deferJob defers a job without a waiting caller to a later batch.
func (shard *shard) deferJob(job job) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.deferred) < deferredLength {
		shard.deferred = append(shard.deferred, job)
	}
}

// sleep pauses for wait or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
