package messenger

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/monitor"
)

// member is a host with its messenger and its monitor.
type member struct {
	*testHost
	monitor monitor.Monitor
	hosts   *[]definer.Host
	// exchanges counts the exchanges that this host initiated.
	exchanges atomic.Int64
}

func (member *member) Exchange(ctx context.Context, host string, digest monitor.Digest) (monitor.Digest, error) {
	member.exchanges.Add(1)
	return member.Messenger.Exchange(ctx, host, digest)
}

func (member *member) Hosts(context.Context) ([]definer.Host, error) { return *member.hosts, nil }

func (member *member) Backends(context.Context) ([]connector.Backend, error) { return nil, nil }

// members starts count hosts, distributed over regions of four data centres.
func members(network *pipes, count, regions int) []*member {
	hosts := make([]definer.Host, count)
	all := make([]*member, count)
	for index := range all {
		region := fmt.Sprintf("region-%d", index%regions)
		place := definer.NewPlace(region, fmt.Sprintf("%s-%d", region, index/regions%4))
		name := fmt.Sprintf("entry-%03d", index)
		testHost := newTestHost(network, name, 1)
		testHost.host = definer.NewHost(name, "127.0.0.1:"+name, "127.0.0.1:"+name, place, 1)
		testHost.SetSelf(testHost.host)
		hosts[index] = testHost.host
		all[index] = &member{testHost: testHost, hosts: &hosts}
	}
	for _, member := range all {
		member.join()
	}
	return all
}

func (member *member) join() {
	member.SetDigestHandler(&member.monitor)
	member.OnDown(member.monitor.ReportFailure)
	member.monitor.SetSelf(member.host)
	member.monitor.SetExchanger(member)
	member.monitor.SetHostList(member)
	ctx, cancel := context.WithCancel(context.Background())
	member.cancel = cancel
	go member.run(ctx)
	go member.monitor.Run(ctx)
}

// Limits per host and second, independent of the size of the fleet.
const (
	maxBytesPerSecond     = 500
	maxExchangesPerSecond = 3
)

// exchangesInitiated returns the number of exchanges that all hosts initiated.
func exchangesInitiated(all []*member) int {
	count := 0
	for _, member := range all {
		count += int(member.exchanges.Load())
	}
	return count
}

// TestCostOfMembership measures the membership traffic of an idle fleet, and of
// one in which a host stops, over real links. The requirement is at most 5 KB of
// control traffic per node and second. The count excludes TCP, IP and TLS,
// which add about 62 bytes to each write.
func TestCostOfMembership(t *testing.T) {
	for _, size := range []struct{ hosts, regions int }{{20, 3}, {100, 4}, {400, 4}} {
		t.Run(fmt.Sprintf("%d hosts", size.hosts), func(t *testing.T) {
			if size.hosts > 100 && os.Getenv("CHIVESPOOL_LARGE") == "" {
				t.Skip("takes most of a minute; set CHIVESPOOL_LARGE to run it")
			}
			bubble(t, func(t *testing.T) {
				var network pipes
				all := members(&network, size.hosts, size.regions)
				time.Sleep(time.Minute)
				synctest.Wait()
				const span = time.Minute
				bytes, writes := network.sent()
				exchanges := exchangesInitiated(all)
				time.Sleep(span)
				idleBytes, idleWrites := network.sent()
				perHost := func(count int) float64 { return float64(count) / span.Seconds() / float64(size.hosts) }
				t.Logf("idle, per host and second: %.2f exchanges initiated, %.1f writes, %.0f bytes; %.1f links per host",
					perHost(exchangesInitiated(all)-exchanges), perHost(idleWrites-writes), perHost(idleBytes-bytes),
					2*float64(network.open())/float64(size.hosts))
				if got := perHost(idleBytes - bytes); got > maxBytesPerSecond {
					t.Errorf("%.0f bytes per host and second, want at most %d", got, maxBytesPerSecond)
				}
				if got := perHost(exchangesInitiated(all) - exchanges); got > maxExchangesPerSecond {
					t.Errorf("%.2f exchanges per host and second, want at most %d", got, maxExchangesPerSecond)
				}
				all[3].cancel()
				time.Sleep(span)
				deadBytes, _ := network.sent()
				t.Logf("a minute in which a host stops: %.0f bytes per host and second", perHost(deadBytes-idleBytes))
				for _, member := range all {
					member.cancel()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

func (pipes *pipes) sent() (bytes, writes int) {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	return pipes.bytes, pipes.writes
}

// open returns the number of open connections.
func (pipes *pipes) open() int {
	pipes.mu.Lock()
	defer pipes.mu.Unlock()
	count := 0
	for _, end := range pipes.ends {
		select {
		case <-end.done:
		default:
			count++
		}
	}
	return count / 2
}
