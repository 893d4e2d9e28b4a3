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
	// queueLength is how many requests wait for the shard's write at most.
	queueLength = 8192
	// keptLength is how many settlements wait for the store to come back.
	keptLength = 8192
	// retryPause is how long kept settlements wait for the next try.
	retryPause = time.Second
	// releaseTries is how often a release is written that nobody waits for: its
	// claim may still stand in a late batch of another host.
	releaseTries = 4
	// flushTimeout bounds the last write when the host stops.
	flushTimeout = time.Second
)

// shard commits the requests for one shard of the keys. Its Run is one task,
// which has at most one write to the store in flight; requests that come
// meanwhile make the next batch.
type shard struct {
	name      string
	limits    Limits
	committer committer
	queue     chan job
	// mu guards kept.
	mu sync.Mutex
	// kept holds settlements that nobody waits for, oldest first; at
	// keptLength new ones are dropped, which leaves their claims unsettled.
	kept []job
}

func newShard(number int, store Store, limits Limits) *shard {
	name := fmt.Sprintf("chivespool/claims/%d", number)
	return &shard{
		name: name, limits: limits, queue: make(chan job, queueLength),
		committer: committer{store: store, name: name, limits: limits},
	}
}

// submit waits for the ruling on request.
func (shard *shard) submit(ctx context.Context, request registrar.Request) (registrar.Ruling, error) {
	job := job{request: request, done: make(chan result, 1)}
	select {
	case shard.queue <- job:
	default:
		return registrar.Ruling{}, refuser.New(refuser.KindOverloaded, refuser.NotRun,
			"too many claims wait for the store").WithRetryAfter(resendWait)
	}
	select {
	case result := <-job.done:
		return result.ruling, result.err
	case <-ctx.Done():
		return registrar.Ruling{}, fmt.Errorf("wait for a claim: %w", ctx.Err())
	}
}

// keep has request committed after all that was submitted before, with nobody
// waiting for it.
func (shard *shard) keep(request registrar.Request) {
	job := job{request: request}
	select {
	case shard.queue <- job:
	default:
		shard.postpone(job)
	}
}

// Run commits batches until ctx is done, then once more what is left.
func (shard *shard) Run(ctx context.Context) error {
	for {
		batch := shard.gather(ctx)
		if ctx.Err() != nil {
			return shard.flush(ctx, batch)
		}
		started := time.Now()
		shard.commit(ctx, batch)
		sleep(ctx, time.Until(started.Add(shard.limits.gap())))
	}
}

// gather waits for the next batch: it is due as soon as somebody's answer hangs
// on it, or else when an outcome has waited long enough.
func (shard *shard) gather(ctx context.Context) *batch {
	batch := &batch{limits: shard.limits}
	due := shard.retryDue()
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

// fill adds what is queued, then what was kept, as far as there is room.
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
	for len(shard.kept) > 0 && !batch.full() {
		batch.add(shard.kept[0])
		shard.kept = shard.kept[1:]
	}
}

// retryDue returns a channel that fires when kept settlements are due, or nil.
func (shard *shard) retryDue() <-chan time.Time {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.kept) == 0 {
		return nil
	}
	return time.After(retryPause)
}

// commit gets the rulings on batch and hands them out.
func (shard *shard) commit(ctx context.Context, batch *batch) {
	ctx, cancel := context.WithTimeout(ctx, shard.limits.timeout)
	defer cancel()
	rulings, err := shard.committer.commit(ctx, batch.requests())
	for index, job := range batch.jobs {
		switch {
		case job.done == nil && err != nil:
			shard.postpone(job)
		case job.done == nil:
			shard.releaseAgain(job)
		case err != nil:
			job.done <- result{err: err}
		default:
			job.done <- result{ruling: rulings[index]}
		}
	}
}

// releaseAgain keeps a release that was written, for one more time.
func (shard *shard) releaseAgain(job job) {
	job.tries++
	if job.request.Act() == registrar.ActRelease && job.tries < releaseTries {
		shard.postpone(job)
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

// postpone keeps a job that nobody waits for until the store answers again.
func (shard *shard) postpone(job job) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.kept) < keptLength {
		shard.kept = append(shard.kept, job)
	}
}

// sleep waits for wait or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
