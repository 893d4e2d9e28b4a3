package launcher

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/throttler"
)

// permitAsk is a request that waits for a permit.
type permitAsk struct {
	account string
	step    throttler.Step
	// answers receives the answer, or is closed if there is none.
	answers chan throttler.Answer
}

// permitAsker is the task that asks one host. It runs while requests wait, and sends those
// that have come since its last message in one message.
type permitAsker struct {
	client *permitClient
	host   string
	// pending holds the requests for the next message, and running is true while run
	// runs; client.mu guards both.
	pending []*permitAsk
	running bool
}

// run sends messages until no request waits.
func (permitAsker *permitAsker) run(ctx context.Context) {
	defer permitAsker.client.tasks.Done()
	for {
		asks := permitAsker.next()
		if len(asks) == 0 {
			return
		}
		permitAsker.call(ctx, asks)
	}
}

// next returns the requests for the next message. If there are none, the task ends, and the
// host is forgotten.
func (permitAsker *permitAsker) next() []*permitAsk {
	client := permitAsker.client
	client.mu.Lock()
	defer client.mu.Unlock()
	asks := permitAsker.pending
	permitAsker.pending = nil
	if len(asks) == 0 {
		delete(client.askers, permitAsker.host)
	}
	return asks
}

// permitKey names a share of an account.
type permitKey struct {
	account string
	share   int
}

// call sends asks in one message and distributes the answers.
func (permitAsker *permitAsker) call(ctx context.Context, asks []*permitAsk) {
	client := permitAsker.client
	groups := make(map[permitKey][]*permitAsk, len(asks))
	var keys []permitKey
	for _, ask := range asks {
		key := permitKey{account: ask.account, share: ask.step.Share()}
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], ask)
	}
	fetch := &encoder.PermitFetch{}
	for _, key := range keys {
		fetch.Asks = append(fetch.Asks, encodePermitAsk(key, groups[key]))
	}
	client.meters.asked.Inc(1)
	bounded, cancel := context.WithTimeout(ctx, throttler.ReplyTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_PermitFetch{PermitFetch: fetch}}
	reply, err := client.caller.Call(bounded, permitAsker.host, request)
	answers := reply.GetPermitGrant().GetAnswers()
	if err != nil || len(answers) != len(keys) {
		for _, ask := range asks {
			close(ask.answers)
		}
		return
	}
	for index, key := range keys {
		distribute(groups[key], answers[index])
	}
}

// encodePermitAsk returns the message for the requests that wait for permits of one share.
func encodePermitAsk(key permitKey, asks []*permitAsk) *encoder.PermitAsk {
	var sum throttler.Ask
	for _, ask := range asks {
		sum = sum.Merge(ask.step.Ask())
	}
	return &encoder.PermitAsk{
		Account: key.account, Share: uint32(key.share), Count: uint32(sum.Count()), Debt: uint32(sum.Debt()),
		Vouched: sum.Vouched(), Assumed: sum.Assumed(),
	}
}

// distribute gives the permits of one share to the first of the requests that wait for them.
func distribute(asks []*permitAsk, answer *encoder.PermitAnswer) {
	granted := int(answer.GetGranted())
	for index, ask := range asks {
		switch {
		case answer.GetNotOwner():
			ask.answers <- throttler.Denial()
		case index < granted:
			ask.answers <- throttler.NewAnswer(1, 0)
		default:
			ask.answers <- throttler.NewAnswer(0, time.Duration(answer.GetWait()))
		}
	}
}
