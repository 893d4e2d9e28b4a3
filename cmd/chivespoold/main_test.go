package main

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// TestSecondStop tells the process twice to stop, as a platform may: it must go
// on ending what runs, and not die of the second signal (seed 4 of the soak).
func TestSecondStop(t *testing.T) {
	ctx, stop := notifyStop(context.Background())
	defer stop()
	for range 2 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-ctx.Done()
		time.Sleep(10 * time.Millisecond) // Lets what follows the first signal happen.
	}
}
