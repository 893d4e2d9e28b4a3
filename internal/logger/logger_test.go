package logger

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestNeverBlocks logs into a pipe that nobody reads.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		log := New(writer)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { _ = log.Run(ctx) })
		const lines = 3 * queueLines
		for range lines {
			if _, err := log.Write([]byte("a line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if left := log.left.Load(); left < lines-queueLines-queueLines {
			t.Errorf("%d lines were left out, want at least %d", left, lines-2*queueLines)
		}
		cancel()
		_ = reader.Close()
		wait.Wait()
		_ = log.Close()
	})
}

// TestBudget samples what every request brings, and counts the rest.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		log := New(&output)
		ctx, cancel := context.WithCancel(t.Context())
		for range 5 {
			for range usualLines {
				log.Usual("answered", "request", "r-1")
			}
			time.Sleep(time.Second / 5)
		}
		log.Notable("refused", "request", "r-2")
		cancel()
		_ = log.Run(ctx)
		text := output.String()
		if got := strings.Count(text, `"answered"`); got < usualLines || got > 2*usualLines+1 {
			t.Errorf("%d usual lines in a second, want %d and a second's worth more at most", got, usualLines)
		}
		if !strings.Contains(text, `"refused" request="r-2"`) || !strings.Contains(text, `"log lines left out"`) {
			t.Errorf("what goes wrong, or the count of what was left out, is missing:\n%s", text[len(text)-300:])
		}
	})
}
