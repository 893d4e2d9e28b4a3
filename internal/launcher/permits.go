package launcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/throttler"
)

// permitClient takes permits for the host's requests. Package throttler decides; the client
// asks the owners of shares and answers other hosts. It is a task of the supervisor tree.
type permitClient struct {
	throttler *throttler.Throttler
	caller    permitCaller
	accounts  accounts
	clock     clock
	meters    permitMeters

	// mu guards the fields below.
	mu sync.Mutex
	// ctx is the context of the current Run, or nil.
	ctx context.Context
	// askers holds the task of each host that was asked, by name.
	askers map[string]*permitAsker
	// tasks counts the tasks that call a host.
	tasks sync.WaitGroup
}

// permitCaller calls other hosts, as package messenger does.
type permitCaller interface {
	Call(ctx context.Context, host string, request *encoder.Request) (*encoder.Reply, error)
}

// clock tells the time, including that during which the machine was suspended.
type clock interface {
	Now() time.Time
}

// accounts provides the accounts in force.
type accounts interface {
	// AccountNamed returns the account called name.
	AccountNamed(name string) (*definer.Account, bool)
}

// permitMeters counts permits. Each field is a metric of the same name.
type permitMeters struct {
	granted, refused, fallback, asked, silent, served metrics.Counter
}

// newPermitMeters registers the metrics in registry.
func newPermitMeters(registry metrics.Registry) permitMeters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("throttler."+name, registry) }
	return permitMeters{
		granted: counter("granted"), refused: counter("refused"), fallback: counter("fallback"),
		asked: counter("asked"), silent: counter("silent"), served: counter("served"),
	}
}

// newPermitClient returns a client that reaches other hosts through caller.
func newPermitClient(decisions *throttler.Throttler, caller permitCaller, accounts accounts, clock clock, registry metrics.Registry) *permitClient {
	return &permitClient{
		throttler: decisions, caller: caller, accounts: accounts, clock: clock, meters: newPermitMeters(registry),
		askers: make(map[string]*permitAsker),
	}
}

// Run lets requests ask other hosts until ctx is done, then waits for the calls in progress.
func (permitClient *permitClient) Run(ctx context.Context) error {
	permitClient.setContext(ctx)
	<-ctx.Done()
	permitClient.setContext(nil)
	permitClient.tasks.Wait()
	return nil
}

func (permitClient *permitClient) setContext(ctx context.Context) {
	permitClient.mu.Lock()
	defer permitClient.mu.Unlock()
	permitClient.ctx = ctx
}

// Take takes a permit for one request of account. If there is none, it returns the time
// until the next and false.
func (permitClient *permitClient) Take(ctx context.Context, account *definer.Account) (time.Duration, bool) {
	search := permitClient.throttler.Begin(account)
	for {
		step := permitClient.throttler.Next(permitClient.clock.Now(), &search)
		switch step.Verdict() {
		case throttler.Granted:
			permitClient.meters.granted.Inc(1)
			return 0, true
		case throttler.Fallback:
			permitClient.meters.fallback.Inc(1)
			return 0, true
		case throttler.Refused:
			permitClient.meters.refused.Inc(1)
			return step.Wait(), false
		case throttler.AskOwner:
			if permitClient.askOwner(ctx, account, &search, step) {
				permitClient.meters.granted.Inc(1)
				return 0, true
			}
			if ctx.Err() != nil {
				return 0, false
			}
		}
	}
}

// askOwner asks the owner of step and reports whether it has granted a permit in time.
func (permitClient *permitClient) askOwner(ctx context.Context, account *definer.Account, search *throttler.Search, step throttler.Step) bool {
	ask := &permitAsk{account: account.Name(), step: step, answers: make(chan throttler.Answer, 1)}
	askedAt := permitClient.clock.Now()
	permitClient.enqueue(ask)
	timer := time.NewTimer(throttler.ReplyTimeout)
	defer timer.Stop()
	select {
	case answer, ok := <-ask.answers:
		now := permitClient.clock.Now()
		if ok && now.Sub(askedAt) <= throttler.ReplyTimeout {
			if answer.Granted() > 0 {
				return true
			}
			permitClient.throttler.Answered(now, search, step, answer)
			return false
		}
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	permitClient.meters.silent.Inc(1)
	permitClient.throttler.Silent(permitClient.clock.Now(), search, step)
	return false
}

// Charge counts a further attempt of a request that has a permit.
func (permitClient *permitClient) Charge(account *definer.Account) {
	permitClient.throttler.Charge(account)
}

// enqueue passes ask to the task of its owner, and starts it unless it runs.
func (permitClient *permitClient) enqueue(ask *permitAsk) {
	permitClient.mu.Lock()
	defer permitClient.mu.Unlock()
	if permitClient.ctx == nil {
		close(ask.answers)
		return
	}
	host := ask.step.Owner()
	asker, ok := permitClient.askers[host]
	if !ok {
		asker = &permitAsker{client: permitClient, host: host}
		permitClient.askers[host] = asker
	}
	asker.pending = append(asker.pending, ask)
	if !asker.running {
		asker.running = true
		permitClient.tasks.Add(1)
		go asker.run(permitClient.ctx)
	}
}

// maxPermitAsks bounds the shares in one message, and maxPermitCount the permits of one
// share, since a peer may send arbitrary data.
const (
	maxPermitAsks  = 4096
	maxPermitCount = 1 << 20
)

var errTooManyAsks = errors.New("the request asks for permits of too many shares")

// serve answers another host that asks for permits.
func (permitClient *permitClient) serve(fetch *encoder.PermitFetch) (*encoder.Reply, error) {
	if len(fetch.GetAsks()) > maxPermitAsks {
		return nil, messenger.NewError(messenger.Refused, "too-many-asks", errTooManyAsks)
	}
	grant := &encoder.PermitGrant{}
	now := permitClient.clock.Now()
	for _, ask := range fetch.GetAsks() {
		answer := throttler.Denial()
		if account, ok := permitClient.accounts.AccountNamed(ask.GetAccount()); ok && account.Rate() > 0 {
			count, debt := min(ask.GetCount(), maxPermitCount), min(ask.GetDebt(), maxPermitCount)
			asked := throttler.NewAsk(int(count), int(debt)).WithVouched(ask.GetVouched()).WithAssumed(ask.GetAssumed())
			answer = permitClient.throttler.Grant(now, account, int(ask.GetShare()), asked)
		}
		permitClient.meters.served.Inc(int64(answer.Granted()))
		grant.Answers = append(grant.Answers, &encoder.PermitAnswer{
			Granted: uint32(answer.Granted()), Wait: int64(answer.Wait()), NotOwner: answer.Denied(),
		})
	}
	return &encoder.Reply{Body: &encoder.Reply_PermitGrant{PermitGrant: grant}}, nil
}
