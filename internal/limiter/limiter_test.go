package limiter

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestReserve(t *testing.T) {
	var bytes Bytes
	var reserved atomic.Int64
	var wait sync.WaitGroup
	for range 50 {
		wait.Go(func() {
			if bytes.Reserve(10, 100) {
				reserved.Add(1)
			}
		})
	}
	wait.Wait()
	// A reservation that fails may make another fail beside it.
	if got := reserved.Load(); got < 1 || got > 10 || bytes.Held() != 10*got {
		t.Errorf("%d reservations hold %d bytes, want at most 100", got, bytes.Held())
	}
	for range reserved.Load() {
		bytes.Release(10)
	}
	if !bytes.Reserve(100, 100) || bytes.Reserve(1, 100) {
		t.Error("want the whole limit and no more after the release")
	}
}
