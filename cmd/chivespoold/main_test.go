package main

import (
	"context"
	"syscall"
	"testing"
)

// TestSecondStop sends the process many SIGTERMs, as a platform may. A second
// SIGTERM must not kill the process while requests are in flight (seed 4 of the
// soak).
func TestSecondStop(t *testing.T) {
	ctx, stop := notifyStop(context.Background())
	_ = stop // The last signals may be delivered after the test ends.
	for range 500 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-ctx.Done()
	}
}
