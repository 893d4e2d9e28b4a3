package supervisor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// journal records events in order.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (journal *journal) add(line string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.lines = append(journal.lines, line)
}

func (journal *journal) expect(t *testing.T, want ...string) {
	t.Helper()
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if !slices.Equal(journal.lines, want) {
		t.Fatalf("got %q, want %q", journal.lines, want)
	}
}

// task records its start and stop; it fails at once if err is set.
type task struct {
	journal *journal
	name    string
	err     error
}

func (task *task) Run(ctx context.Context) error {
	task.journal.add("start " + task.name)
	if task.err != nil {
		return task.err
	}
	<-ctx.Done()
	task.journal.add("stop " + task.name)
	return nil
}

func TestStopsInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var journal journal
		var tree Tree
		for _, name := range []string{"a", "b", "c"} {
			tree.Add(name, &task{journal: &journal, name: name})
		}
		result := make(chan error, 1)
		go func() { result <- tree.Run(t.Context()) }()
		synctest.Wait()
		if err := tree.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-result; err != nil {
			t.Fatalf("Run: %v", err)
		}
		// The first steps of the children's Runs are concurrent.
		slices.Sort(journal.lines[:3])
		journal.expect(t, "start a", "start b", "start c", "stop c", "stop b", "stop a")
	})
}

func TestTooManyRestartsFailParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var journal journal
		broken := errors.New("broken")
		var inner, outer Tree
		inner.Add("bad", &task{journal: &journal, name: "bad", err: broken})
		outer.Add("inner", &inner)
		err := outer.Run(t.Context())
		var restartLimitError *RestartLimitError
		if !errors.As(err, &restartLimitError) || restartLimitError.Child() != "inner" || !errors.Is(err, broken) {
			t.Fatalf("got %v, want a RestartLimitError of inner that wraps broken", err)
		}
		if got, want := len(journal.lines), (MaxRestarts+1)*(MaxRestarts+1); got != want {
			t.Fatalf("bad started %d times, want %d", got, want)
		}
	})
}

// flaky fails once per RestartWindow, which never exceeds the restart intensity.
type flaky struct{ failures int }

func (flaky *flaky) Run(ctx context.Context) error {
	timer := time.NewTimer(RestartWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
		flaky.failures++
		return errors.New("again")
	case <-ctx.Done():
		return nil
	}
}

func TestInfrequentFailuresAlwaysRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var flaky flaky
		var tree Tree
		tree.Add("flaky", &flaky)
		ctx, cancel := context.WithTimeout(t.Context(), 20*RestartWindow)
		defer cancel()
		if err := tree.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if flaky.failures < 2*MaxRestarts {
			t.Fatalf("restarted %d times, want at least %d", flaky.failures, 2*MaxRestarts)
		}
	})
}
