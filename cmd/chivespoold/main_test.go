package main

import (
	"context"
	"syscall"
	"testing"
)

// TestSecondStop tells the process many times to stop, as a platform may: it
// must go on ending what runs, and not die of a later signal (seed 4 of the
// soak).
func TestSecondStop(t *testing.T) {
	ctx, stop := notifyStop(context.Background())
	_ = stop // The last signals may come after the test.
	for range 500 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-ctx.Done()
	}
}
