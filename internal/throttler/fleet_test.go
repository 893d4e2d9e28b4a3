package throttler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	testBound = 3 * time.Second
	testLease = 6 * time.Second
	// stepTime is the resolution of the fleet's clock.
	stepTime = 5 * time.Millisecond
)

type discardJournal struct{}

func (discardJournal) Change(string, ...any) {}

// snapshot is the content of the store at a time.
type snapshot struct {
	at      time.Time
	members []Member
	account *definer.Account
}

// node is one host of a fleet.
type node struct {
	host      definer.Host
	throttler *Throttler
	view      snapshot
	// dead hosts have no process until startAt, and suspended ones do nothing until
	// resumeAt.
	dead              bool
	startAt, resumeAt time.Time
	startedAt         time.Time
	// known is true once the process has known the store.
	known     bool
	renewedAt time.Time
	nextTick  time.Time
}

// message is a request for a permit on its way to the owner, or the reply.
type message struct {
	at        time.Time
	from, to  *node
	startedAt time.Time
	askedAt   time.Time
	search    *Search
	step      Step
	answer    *Answer
}

// fleet is the throttlers of all hosts with a store and a network, driven by a clock of
// its own.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	nodes    []*node
	account  *definer.Account
	revision uint64
	// registered holds the registrations by name, and expires the ends of their leases.
	registered map[string]Member
	expires    map[string]time.Time
	// cut holds the links that carry nothing, with "" as the store's name.
	cut      map[[2]string]bool
	messages []message
	// loss, double and late are the shares of the messages that are lost, that come twice,
	// and that are delayed by up to 3 s; extra is that of the requests that are sent again.
	loss, double, late, extra float64
	// sent holds the times at which permits were used, and the others count requests without
	// a permit, messages to owners and permits of the fallback limit.
	sent                      []time.Time
	refused, asked, fallbacks int
	regions, centres          int
	// grants holds the time of the last permit that each host granted, by share and host,
	// and granter the host that granted the last one of each share.
	grants  map[string]time.Time
	granter [Shares]string
	// overlaps counts the permits that a host granted between those of another.
	overlaps int
}

func newFleet(seed uint64, hosts, regions, centres int, account *definer.Account) *fleet {
	fleet := &fleet{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), account: account,
		registered: make(map[string]Member), expires: make(map[string]time.Time), cut: make(map[[2]string]bool),
		regions: regions, centres: centres, grants: make(map[string]time.Time), extra: 0.05,
	}
	for range hosts {
		fleet.add(fleet.span(0, time.Second))
	}
	return fleet
}

// span returns a random time.
func (fleet *fleet) span(least, most time.Duration) time.Duration {
	return least + time.Duration(fleet.random.Int64N(int64(most-least)+1))
}

// add adds a host that starts after a time.
func (fleet *fleet) add(after time.Duration) {
	number := len(fleet.nodes)
	centre := number % fleet.centres
	place := definer.NewPlace(fmt.Sprintf("region-%d", centre%fleet.regions), fmt.Sprintf("dc-%d", centre))
	host := definer.NewHost(fmt.Sprintf("host-%03d", number), "", "", place, 0)
	fleet.nodes = append(fleet.nodes, &node{host: host, dead: true, startAt: fleet.now.Add(after)})
}

// connected reports whether messages between hosts, or a host and the store, arrive.
func (fleet *fleet) connected(from, to string) bool { return !fleet.cut[[2]string{from, to}] }

// start starts the process of a host.
func (fleet *fleet) start(node *node) {
	var regions []string
	for region := range fleet.regions {
		regions = append(regions, fmt.Sprintf("region-%d", region))
	}
	isFirst := node.startedAt.IsZero() && fleet.now.Sub(time.Unix(0, 0)) <= time.Second
	node.dead, node.startedAt, node.view, node.nextTick = false, fleet.now, snapshot{}, fleet.now
	node.known = false
	node.throttler = New(node.host, regions, testBound, fleet.now, discardJournal{})
	if isFirst {
		node.throttler.SetFirstStart()
	}
}

// read returns the content of the store.
func (fleet *fleet) read() snapshot {
	view := snapshot{at: fleet.now, account: fleet.account}
	for name, member := range fleet.registered {
		if !fleet.now.Before(fleet.expires[name]) {
			delete(fleet.registered, name)
			continue
		}
		view.members = append(view.members, member)
	}
	slices.SortFunc(view.members, func(left, right Member) int { return cmp.Compare(left.host.Name(), right.host.Name()) })
	return view
}

// tick updates the view of a host, from the store or else from a peer, and its
// registration.
func (fleet *fleet) tick(node *node) {
	name := node.host.Name()
	if fleet.connected(name, "") {
		node.view = fleet.read()
	} else if peer := fleet.nodes[fleet.random.IntN(len(fleet.nodes))]; fleet.connected(name, peer.host.Name()) &&
		fleet.running(peer) && peer.view.at.After(node.view.at) {
		node.view = peer.view
	}
	if !node.view.at.IsZero() && !node.known {
		node.known = true
		for _, member := range node.view.members {
			if member.host.Name() == name {
				node.throttler.Adopt(member.registration)
			}
		}
	}
	node.throttler.Update(fleet.now, node.view.at, node.view.members)
	_, isRegistered := fleet.registered[name]
	if !fleet.connected(name, "") || fleet.now.Sub(node.renewedAt) < 2500*time.Millisecond && isRegistered {
		return
	}
	node.renewedAt = fleet.now
	if !isRegistered {
		fleet.revision++
		fleet.registered[name] = NewMember(node.host, fleet.revision)
	}
	fleet.expires[name] = fleet.now.Add(testLease)
}

func (fleet *fleet) running(node *node) bool {
	return !node.dead && !fleet.now.Before(node.resumeAt)
}

// step lets a short time pass, in which the hosts get requests of demand per second.
func (fleet *fleet) step(demand float64) {
	fleet.now = fleet.now.Add(stepTime)
	for _, node := range fleet.nodes {
		if node.dead && !fleet.now.Before(node.startAt) {
			fleet.start(node)
		}
		if fleet.running(node) && !fleet.now.Before(node.nextTick) {
			fleet.tick(node)
			node.nextTick = fleet.now.Add(fleet.span(200*time.Millisecond, 300*time.Millisecond))
		}
	}
	due := fleet.messages
	fleet.messages = nil
	for _, message := range due {
		switch {
		case message.at.After(fleet.now) || (!fleet.running(message.to) && !message.to.dead):
			fleet.messages = append(fleet.messages, message)
		case message.answer != nil:
			fleet.receive(message)
		case !message.to.dead && message.to.view.account != nil:
			answer := message.to.throttler.Grant(fleet.now, message.to.view.account, message.step.Share(), message.step.Ask())
			if answer.Granted() > 0 {
				fleet.granted(message.to, message.step.Share())
			}
			message.answer, message.from, message.to = &answer, message.to, message.from
			fleet.send(message)
		}
	}
	for count := demand * stepTime.Seconds(); fleet.random.Float64() < count; count-- {
		node := fleet.nodes[fleet.random.IntN(len(fleet.nodes))]
		if !fleet.running(node) || node.view.account == nil {
			continue
		}
		search := node.throttler.Begin(node.view.account)
		fleet.next(node, &search)
	}
}

// next takes the next step of a request for a permit.
func (fleet *fleet) next(node *node, search *Search) {
	switch step := node.throttler.Next(fleet.now, search); step.Verdict() {
	case Granted:
		fleet.granted(node, step.Share())
		fleet.use(node, search)
	case Fallback:
		fleet.fallbacks++
		fleet.use(node, search)
	case Refused:
		fleet.refused++
	case AskOwner:
		fleet.asked++
		ask := message{from: node, to: fleet.named(step.Owner()), startedAt: node.startedAt, askedAt: fleet.now, search: search, step: step}
		fleet.send(ask)
		// The asker's timer is a message from itself.
		ask.at, ask.to, ask.answer = fleet.now.Add(ReplyTimeout), node, &Answer{}
		fleet.messages = append(fleet.messages, ask)
	}
}

// granted records that a host has granted a permit of a share. The hosts that grant those
// of one share must not take turns faster than they take over.
func (fleet *fleet) granted(node *node, share int) {
	name := node.host.Name()
	key := fmt.Sprint(share, name)
	if last, ok := fleet.grants[key]; ok && fleet.granter[share] != name && fleet.now.Sub(last) < testBound {
		fleet.overlaps++
	}
	fleet.grants[key], fleet.granter[share] = fleet.now, name
}

// use sends a request that has a permit, some of them once more.
func (fleet *fleet) use(node *node, search *Search) {
	fleet.sent = append(fleet.sent, fleet.now)
	if fleet.random.Float64() < fleet.extra {
		fleet.sent = append(fleet.sent, fleet.now)
		node.throttler.Charge(search.account)
	}
}

// named returns the host called name.
func (fleet *fleet) named(name string) *node {
	index := slices.IndexFunc(fleet.nodes, func(node *node) bool { return node.host.Name() == name })
	return fleet.nodes[index]
}

// send puts a message on its way, if it is not lost.
func (fleet *fleet) send(message message) {
	for copies := 1; copies > 0; copies-- {
		if fleet.random.Float64() < fleet.double {
			copies++
		}
		message.at = fleet.now.Add(fleet.span(time.Millisecond, 12*time.Millisecond))
		if fleet.random.Float64() < fleet.late {
			message.at = fleet.now.Add(fleet.span(0, 3*time.Second))
		}
		if fleet.connected(message.from.host.Name(), message.to.host.Name()) && fleet.random.Float64() >= fleet.loss {
			fleet.messages = append(fleet.messages, message)
		}
	}
}

// receive handles a reply, or the end of the time for it, whichever is first.
func (fleet *fleet) receive(message message) {
	node, search := message.to, message.search
	if node.dead || !node.startedAt.Equal(message.startedAt) || search.account == nil {
		return
	}
	done := *search
	search.account = nil // Other copies have no effect.
	switch {
	case fleet.now.Sub(message.askedAt) >= ReplyTimeout:
		node.throttler.Silent(fleet.now, &done, message.step)
	case message.answer.Granted() == 1:
		fleet.use(node, &done)
		return
	default:
		node.throttler.Answered(fleet.now, &done, message.step, *message.answer)
	}
	fleet.next(node, &done)
}

// everywhere reports whether all running hosts know the account that is in the store.
func (fleet *fleet) everywhere() bool {
	return !slices.ContainsFunc(fleet.nodes, func(node *node) bool {
		return !node.dead && node.view.account != nil && node.view.account != fleet.account
	})
}

// most returns the largest number of requests in a window that begins at from or later and
// ends by to.
func most(sent []time.Time, from, to time.Time) int {
	largest, first := 0, 0
	for last, at := range sent {
		if at.After(to) {
			break
		}
		for sent[first].Before(from) && first < last || at.Sub(sent[first]) >= window {
			first++
		}
		if !sent[first].Before(from) {
			largest = max(largest, last-first+1)
		}
	}
	return largest
}
