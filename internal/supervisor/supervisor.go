// Package supervisor runs a process as a tree of tasks. Packages runner, launcher
// and claimer build the trees of the daemon.
//
// A [Tree] starts its children in order, restarts those that fail, fails itself
// when a child fails too often, and stops the children in the reverse order of
// their start. A Tree is itself a [Task], so trees nest and a failure escalates
// one level at a time.
//
// Each child runs in its own goroutine. The clock is used for the delay and the
// rate of restarts. Each level is an oklog/run group, which interrupts all actors
// when one returns.
package supervisor

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"
)

// The restart intensity: a child that fails more than MaxRestarts times within
// RestartWindow makes its Tree fail.
const (
	MaxRestarts    = 5
	RestartWindow  = 10 * time.Second
	restartBackoff = 100 * time.Millisecond
)

// Task is a unit of work that a Tree supervises.
type Task interface {
	// Run works until ctx is done, then cleans up and returns nil or ctx's
	// error. An earlier return is a failure, even if the error is nil.
	Run(ctx context.Context) error
}

// RestartLimitError reports that a child exceeded the restart intensity.
type RestartLimitError struct {
	child string
	count int
	cause error
}

// Child returns the name of the child that failed.
func (restartLimitError *RestartLimitError) Child() string { return restartLimitError.child }

// Unwrap returns the child's last failure.
func (restartLimitError *RestartLimitError) Unwrap() error { return restartLimitError.cause }

// Error names the child, how often it failed, and the remedy.
func (restartLimitError *RestartLimitError) Error() string {
	return fmt.Sprintf("%s failed %d times within %v; fix the cause and restart the process: %v",
		restartLimitError.child, restartLimitError.count, RestartWindow, restartLimitError.cause)
}

// Tree supervises its children. The zero value is an empty tree that is ready
// for Add.
type Tree struct {
	// mu guards children and cancel.
	mu       sync.Mutex
	children []*child
	// cancel stops the latest Run; nil before the first.
	cancel context.CancelFunc
	// running counts the active Runs; Close waits for them.
	running sync.WaitGroup
}

// Add appends a child; children start in the order of Add. Adding to a running
// tree has no effect on that run.
func (tree *Tree) Add(name string, task Task) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	tree.children = append(tree.children, &child{name: name, task: task})
}

// Run starts the children in order and waits; it does not wait until a child is
// ready before it starts the next. When ctx is done, it stops the children in
// reverse order, one at a time, and returns nil. When a child fails too often,
// it stops the others and returns a [RestartLimitError].
func (tree *Tree) Run(ctx context.Context) error {
	tree.running.Add(1)
	defer tree.running.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tree.mu.Lock()
	children := tree.children
	tree.cancel = cancel
	tree.mu.Unlock()

	var group run.Group
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	// run.Group interrupts its actors in the order of Add, so the child that
	// starts last is added first; each interrupt waits until its actor returns.
	started := make(chan struct{})
	close(started)
	actors := make([]*actor, 0, len(children))
	for _, child := range children {
		actor := newActor(child, started)
		started = actor.started
		actors = append(actors, actor)
	}
	for index := len(actors) - 1; index >= 0; index-- {
		group.Add(actors[index].execute, actors[index].interrupt)
	}
	return group.Run()
}

// Close stops the active Run, if any, and waits until it returns.
func (tree *Tree) Close() error {
	tree.mu.Lock()
	cancel := tree.cancel
	tree.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	tree.running.Wait()
	return nil
}

// child is a task with its name.
type child struct {
	name string
	task Task
}

// actor is one child during one Run of a tree.
type actor struct {
	*child
	ctx    context.Context
	cancel context.CancelFunc
	// predecessorStarted is closed once the previous child has started.
	predecessorStarted <-chan struct{}
	// started is closed once this child has started.
	started chan struct{}
	// done is closed once this child has stopped and is not restarted.
	done chan struct{}
	// failures holds the times of failures within RestartWindow.
	failures []time.Time
}

func newActor(child *child, predecessorStarted <-chan struct{}) *actor {
	ctx, cancel := context.WithCancel(context.Background())
	return &actor{
		child: child, ctx: ctx, cancel: cancel, predecessorStarted: predecessorStarted,
		started: make(chan struct{}), done: make(chan struct{}),
	}
}

// execute runs the child and restarts it after each failure, until it is
// interrupted or has failed too often.
func (actor *actor) execute() error {
	defer close(actor.done)
	<-actor.predecessorStarted
	close(actor.started)
	for actor.ctx.Err() == nil {
		err := actor.run()
		if actor.ctx.Err() != nil {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("returned before it was stopped")
		}
		klog.ErrorS(err, "child failed", "child", actor.name)
		if count := actor.recordFailure(time.Now()); count > MaxRestarts {
			return &RestartLimitError{child: actor.name, count: count, cause: err}
		}
		actor.backOff()
	}
	return nil
}

// run runs the child once. A panic of its goroutine is a failure.
func (actor *actor) run() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "child failed with a panic; please report it", "child", actor.name,
				"cause", cause, "stack", string(debug.Stack()))
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return actor.task.Run(actor.ctx)
}

// interrupt stops the child and waits until it has stopped.
func (actor *actor) interrupt(error) {
	actor.cancel()
	<-actor.done
}

// recordFailure adds a failure at now and returns the number of failures within
// RestartWindow.
func (actor *actor) recordFailure(now time.Time) int {
	recent := actor.failures[:0]
	for _, failure := range actor.failures {
		if now.Sub(failure) < RestartWindow {
			recent = append(recent, failure)
		}
	}
	actor.failures = append(recent, now)
	return len(actor.failures)
}

func (actor *actor) backOff() {
	timer := time.NewTimer(restartBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-actor.ctx.Done():
	}
}
