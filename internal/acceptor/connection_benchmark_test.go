package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
)

// delayedDispatcher answers each request after a delay.
type delayedDispatcher struct{ delay time.Duration }

// Repeatable returns true.
func (delayedDispatcher) Repeatable(*dispatcher.Request) bool { return true }

// Check refuses nothing.
func (delayedDispatcher) Check(*dispatcher.Request) error { return nil }

// Dispatch answers after the delay.
func (delayedDispatcher delayedDispatcher) Dispatch(context.Context, *dispatcher.Request) (*dispatcher.Answer, error) {
	time.Sleep(delayedDispatcher.delay)
	return newAnswer(2, strings.NewReader("ok")), nil
}

// startDelayed runs an acceptor and returns its address.
func startDelayed(b *testing.B, delay time.Duration) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	host := definer.NewHost("entry-1", listener.Addr().String(), "", definer.NewPlace("nairobi", "nairobi-a"), 1)
	acceptor := New(host, delayedDispatcher{delay}, noLocator{}, NewLimits(4096, 10*time.Second, time.Minute, time.Minute))
	acceptor.SetListener(listener)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- acceptor.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-stopped })
	return listener.Addr().String()
}

const plainRequest = "GET /s/ledger/x HTTP/1.1\r\nHost: a\r\n\r\n"

// exchangeAll sends count requests at once and reads their responses.
func exchangeAll(b *testing.B, conn net.Conn, reader *bufio.Reader, count int) {
	b.Helper()
	if _, err := io.WriteString(conn, strings.Repeat(plainRequest, count)); err != nil {
		b.Fatal(err)
	}
	for range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// BenchmarkKeepAlive measures requests one after the other on a connection.
func BenchmarkKeepAlive(b *testing.B) {
	conn, err := net.Dial("tcp", startDelayed(b, 0))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	before := processorTime()
	for b.Loop() {
		exchangeAll(b, conn, reader, 1)
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkPipelinedPair measures two requests of 100 ms that are sent together.
func BenchmarkPipelinedPair(b *testing.B) {
	conn, err := net.Dial("tcp", startDelayed(b, 100*time.Millisecond))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for b.Loop() {
		exchangeAll(b, conn, reader, 2)
	}
}

// BenchmarkIdleConnections measures the memory of connections that have been used and
// are idle.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 5000
	address := startDelayed(b, 0)
	for b.Loop() {
		before := memoryInUse()
		conns := make([]net.Conn, connections)
		reader := bufio.NewReader(nil)
		for index := range conns {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			conns[index] = conn
			reader.Reset(conn)
			exchangeAll(b, conn, reader, 1)
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// memoryInUse returns the bytes of the heap and of stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
