package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// task runs until its context is done.
type task interface {
	run(ctx context.Context)
}

// taskGroup runs tasks, each in a goroutine. The zero value is empty and ready
// to use.
type taskGroup struct {
	group sync.WaitGroup
}

// add starts a task.
func (taskGroup *taskGroup) add(ctx context.Context, task task) {
	taskRunner := &taskRunner{taskGroup: taskGroup, ctx: ctx, task: task}
	taskGroup.group.Add(1)
	go taskRunner.run()
}

// wait returns once all tasks have ended.
func (taskGroup *taskGroup) wait() { taskGroup.group.Wait() }

// taskRunner runs one task of a group.
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
	// stallCheckInterval is how often the stall detector reads the clock, and
	// stallThreshold the gap that counts as a stall: longer than scheduling
	// takes on a machine with an idle processor.
	stallCheckInterval = 20 * time.Millisecond
	stallThreshold     = 150 * time.Millisecond
)

// stallDetector records the periods in which this process, and most likely the
// gateways too, got no processor time. Time bounds are not checked in these
// periods.
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
