package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// worker is a task that works until its context is done.
type worker interface {
	work(ctx context.Context)
}

// crew runs workers. The zero value is an empty one.
type crew struct {
	group sync.WaitGroup
}

// add starts a worker.
func (crew *crew) add(ctx context.Context, worker worker) {
	shift := &shift{crew: crew, ctx: ctx, worker: worker}
	crew.group.Add(1)
	go shift.run()
}

// wait returns once all workers have ended.
func (crew *crew) wait() { crew.group.Wait() }

// shift is one worker at work.
type shift struct {
	crew   *crew
	ctx    context.Context
	worker worker
}

func (shift *shift) run() {
	defer shift.crew.group.Done()
	shift.worker.work(shift.ctx)
}

const (
	// lookInterval is how often the watcher looks at the clock, and stallTime
	// what it takes for a stall: more than a machine with a free processor needs.
	lookInterval = 20 * time.Millisecond
	stallTime    = 150 * time.Millisecond
)

// watcher notes when this process was held up, and most likely the gateways as
// well: bounds on time don't hold then.
type watcher struct {
	journal *journal
}

func (watcher *watcher) work(ctx context.Context) {
	last := time.Now()
	for emulator.Pause(ctx, lookInterval) == nil {
		now := time.Now()
		if now.Sub(last) > stallTime {
			watcher.journal.disturbed(everywhere, last, now, true)
		}
		last = now
	}
}
