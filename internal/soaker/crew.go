package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// worker is a task that works until its context is done.
type task interface {
	run(ctx context.Context)
}

// crew runs workers. The zero value is an empty one.
type taskGroup struct {
	group sync.WaitGroup
}

// add starts a worker.
func (taskGroup *taskGroup) add(ctx context.Context, task task) {
	taskRunner := &taskRunner{taskGroup: taskGroup, ctx: ctx, task: task}
	taskGroup.group.Add(1)
	go taskRunner.run()
}

// wait returns once all workers have ended.
func (taskGroup *taskGroup) wait() { taskGroup.group.Wait() }

// shift is one worker at work.
type taskRunner struct {
	taskGroup *taskGroup
	ctx       context.Context
	task      task
}

func (taskRunner *taskRunner) run() {
	defer taskRunner.taskGroup.group.Done()
	taskRunner.task.run(taskRunner.ctx)
}

const (
	// lookInterval is how often the watcher looks at the clock, and stallTime
	// what it takes for a stall: more than a machine with a free processor needs.
	stallCheckInterval = 20 * time.Millisecond
	stallThreshold     = 150 * time.Millisecond
)

// watcher notes when this process was held up, and most likely the gateways as
// well: bounds on time don't hold then.
type stallDetector struct {
	journal *journal
}

func (stallDetector *stallDetector) run(ctx context.Context) {
	last := time.Now()
	for emulator.Pause(ctx, stallCheckInterval) == nil {
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			stallDetector.journal.addDisturbance(everywhere, last, now, true)
		}
		last = now
	}
}
