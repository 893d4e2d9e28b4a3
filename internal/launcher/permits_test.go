package launcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/throttler"
	"github.com/chivespool/chivespool/internal/timekeeper"
)

// permitNetwork connects the permit clients of some hosts.
type permitNetwork struct {
	clients map[string]*permitClient
	// delay is the time of a call, and unreachable the host that cannot be reached.
	delay       time.Duration
	unreachable string
}

func (permitNetwork *permitNetwork) Call(ctx context.Context, host string, request *encoder.Request) (*encoder.Reply, error) {
	timer := time.NewTimer(permitNetwork.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if host == permitNetwork.unreachable {
		return nil, errors.New("the host cannot be reached")
	}
	return permitNetwork.clients[host].serve(request.GetPermitFetch())
}

// oneAccount is the only account of a table.
type oneAccount struct{ account *definer.Account }

func (oneAccount oneAccount) AccountNamed(name string) (*definer.Account, bool) {
	return oneAccount.account, name == oneAccount.account.Name()
}

// discardChanges drops what a throttler logs.
type discardChanges struct{}

func (discardChanges) Change(string, ...any) {}

// newPermitNetwork returns hosts that have known each other for a minute.
func newPermitNetwork(ctx context.Context, account *definer.Account, tasks *sync.WaitGroup) *permitNetwork {
	network := &permitNetwork{clients: make(map[string]*permitClient)}
	var members []throttler.Member
	for number := range 3 {
		name := fmt.Sprintf("host-%d", number)
		host := definer.NewHost(name, "", "", definer.NewPlace(fmt.Sprintf("region-%d", number), fmt.Sprintf("dc-%d", number)), 0)
		members = append(members, throttler.NewMember(host, uint64(number+1)))
		decisions := throttler.New(host, []string{"region-0", "region-1", "region-2"}, 3*time.Second, time.Now(), discardChanges{})
		decisions.SetFirstStart() // The buckets start full.
		network.clients[name] = newPermitClient(decisions, network, oneAccount{account}, timekeeper.System{}, metrics.NewRegistry())
	}
	for range 60 {
		for _, client := range network.clients {
			client.throttler.Update(time.Now(), time.Now(), members)
		}
		time.Sleep(time.Second)
	}
	for _, client := range network.clients {
		tasks.Go(func() { _ = client.Run(ctx) })
	}
	synctest.Wait()
	return network
}

// TestPermitCalls takes permits over a network with a delay. It guards against more permits
// than the quota has, a message for each of several requests that wait at the same time,
// late replies that count, and refusals while other owners have permits. How requests fall into
// batches depends on the scheduler, so that the messages have an upper bound only.
func TestPermitCalls(t *testing.T) {
	for _, test := range []struct {
		name        string
		delay       time.Duration
		unreachable string
		// requests come at the same time. Each share has ten permits; the fallback limit has
		// some more.
		requests                 int
		granted, fallback, asked int64
		maxTime                  time.Duration
	}{
		{"own share", 10 * time.Millisecond, "", 10, 10, 0, 0, 0},
		{"other shares in a batch", 10 * time.Millisecond, "", 25, 25, 0, 6, 40 * time.Millisecond},
		{"over the quota", 10 * time.Millisecond, "", 60, 30, 0, 6, 40 * time.Millisecond},
		{"owner lost", 10 * time.Millisecond, "host-1", 20, 20, 0, 2, 40 * time.Millisecond},
		{"late replies", 150 * time.Millisecond, "", 20, 10, 1, 4, 250 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			account := definer.NewAccount("a", 0).WithQuota(0.003, 24)
			ctx, cancel := context.WithCancel(t.Context())
			var tasks, requests sync.WaitGroup
			network := newPermitNetwork(ctx, account, &tasks)
			network.delay, network.unreachable = test.delay, test.unreachable
			client := network.clients["host-0"]
			start := time.Now()
			for range test.requests {
				requests.Go(func() {
					if wait, ok := client.Take(ctx, account); !ok && wait <= 0 {
						t.Errorf("%s: refused without a time", test.name)
					}
				})
			}
			requests.Wait()
			took := time.Since(start)
			meters := client.meters
			if meters.granted.Count() != test.granted || meters.fallback.Count() != test.fallback || meters.asked.Count() > test.asked || took > test.maxTime {
				t.Errorf("%s: %d granted, %d by the fallback limit, %d messages, %v; want %d, %d, at most %d, at most %v", test.name,
					meters.granted.Count(), meters.fallback.Count(), meters.asked.Count(), took, test.granted, test.fallback, test.asked, test.maxTime)
			}
			cancel()
			tasks.Wait()
		})
	}
}
