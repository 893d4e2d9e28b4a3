package administrator_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// init fixes the seed and the count for CI; -rapid.seed and -rapid.checks on the
// command line go before it.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "50")
}

// draw is one step of a random session, drawn before the session runs.
type draw struct {
	host, operator, kind string
	// pick chooses among what there is then; verb and pool are of a statement.
	verb                string
	pick, pool, seconds int
}

var (
	operators = []string{"anna", "ben", "cleo"}
	hostNames = []string{"a", "b", "c"}
	kinds     = []string{
		"decide", "propose", "decide", "again", "decide", "wait", "decide", "lose-reply", "late-write",
		"outage", "up", "up", "outage-after-write", "up", "cut", "join", "replace",
	}
	verbs = []string{"vote yes on", "vote yes on", "vote yes on", "vote no on", "withdraw", "rule for", "rule for", "rule against"}
)

// votedOn is how many of the open proposals are decided on, so that some come
// to a majority.
const votedOn = 3

func drawStep(t *rapid.T) draw {
	return draw{
		host:     rapid.SampledFrom(hostNames).Draw(t, "host"),
		operator: rapid.SampledFrom(operators).Draw(t, "operator"),
		kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
		pick:     rapid.IntRange(0, 99).Draw(t, "pick"),
		pool:     rapid.IntRange(0, 7).Draw(t, "pool"),
		verb:     rapid.SampledFrom(verbs).Draw(t, "verb"),
		seconds:  rapid.IntRange(1, 40).Draw(t, "seconds"),
	}
}

// TestRandomSessions draws operators' commands over several hosts with faults
// of the store, cuts and replacements of hosts, and checks after each what
// must always hold, and at the end that all hosts agree.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.Custom(drawStep), 60, 80).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runDraws(t, draws) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runDraws(t *testing.T, draws []draw) error {
	world := newWorld(t)
	defer world.close()
	world.fleet(operators)
	history := &history{
		world: world, proposals: map[uint64]string{}, lineages: map[uint64]uint64{},
		revisions: map[string]uint64{}, accepted: map[string]bool{}, refused: map[string]bool{},
	}
	for _, draw := range draws {
		if err := history.take(draw); err != nil {
			return err
		}
		synctest.Wait()
		if err := history.observe(); err != nil {
			return err
		}
	}
	return history.agree()
}

// history watches what the store and the hosts hold, and what was answered.
type history struct {
	world *world
	// proposals and lineages are of each revision that was ever written.
	proposals map[uint64]string
	lineages  map[uint64]uint64
	// revisions is the last one seen on each host.
	revisions map[string]uint64
	// accepted and refused are the ids of proposals answered as such.
	accepted map[string]bool
	refused  map[string]bool
	sent     []sent
}

// sent is a request that may be sent again.
type sent struct {
	id   string
	body []byte
	at   time.Time
}

// take does one step.
func (history *history) take(draw draw) error {
	world := history.world
	switch draw.kind {
	case "propose", "decide":
		return history.send(draw)
	case "again":
		history.sendAgain(draw)
	case "wait":
		time.Sleep(time.Duration(draw.seconds) * time.Second)
	case "lose-reply":
		world.store.set(func() { world.store.loseNext = 1 })
	case "late-write":
		world.store.set(func() { world.store.lateNext = 1 })
	case "outage", "up":
		world.store.setOutage(draw.kind == "outage")
	case "outage-after-write":
		world.store.set(func() { world.store.lateNext, world.store.outageAfterWrite = 1, true })
	case "cut", "join":
		world.setCut(draw.host, draw.kind == "cut")
	case "replace":
		world.stop(draw.host)
		world.start(draw.host, draw.host == "a")
		history.revisions[draw.host] = 0
	}
	return nil
}

// send sends a proposal, or decides on an open one.
func (history *history) send(draw draw) error {
	open, err := history.world.open()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("create pool p%d", draw.pool)
	if len(open) > 0 && draw.kind == "decide" {
		text = draw.verb + " " + open[draw.pick%min(len(open), votedOn)]
	}
	request := history.world.request(statement{operator: draw.operator, text: text})
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	history.sent = append(history.sent, sent{id: request.ID, body: body, at: request.Time})
	answer := history.world.post(draw.host, body)
	switch {
	case strings.Contains(answer, "503 not-accepted"):
		history.refused[request.ID] = true
	case strings.Contains(answer, "accepted and in force") && strings.HasPrefix(text, "create"):
		history.accepted[request.ID] = true
	}
	return nil
}

// sendAgain repeats an earlier request over any host. What was not accepted
// the first time may be now.
func (history *history) sendAgain(draw draw) {
	old := func(sent sent) bool { return time.Since(sent.at) > arbiter.MaxCommandAge }
	fresh := slices.DeleteFunc(slices.Clone(history.sent), old)
	if len(fresh) == 0 {
		return
	}
	again := fresh[draw.pick%len(fresh)]
	delete(history.refused, again.id)
	history.world.post(draw.host, again.body)
}

// open returns the ids of the open proposals.
func (world *world) open() ([]string, error) {
	head, err := encoder.UnmarshalHead(world.store.current())
	var ids []string
	for _, proposal := range head.Proposals() {
		ids = append(ids, proposal.ID())
	}
	return ids, err
}

// observe checks what the store and the hosts hold against what they held.
func (history *history) observe() error {
	head, err := encoder.UnmarshalHead(history.world.store.current())
	if err != nil {
		return err
	}
	for _, step := range head.Steps() {
		if err := history.observeStep(step); err != nil {
			return err
		}
	}
	for index, proposal := range head.Proposals() {
		same := func(other arbiter.Proposal) bool { return other.ID() == proposal.ID() }
		if slices.ContainsFunc(head.Proposals()[index+1:], same) {
			return fmt.Errorf("proposal %s is open twice", proposal.ID())
		}
	}
	for name, host := range history.world.hosts {
		current := host.follower.Current()
		if current.Revision() < history.revisions[name] {
			return fmt.Errorf("%s went back from %d to %d", name, history.revisions[name], current.Revision())
		}
		if lineage, ok := history.lineages[current.Revision()]; ok && lineage != current.Lineage() {
			return fmt.Errorf("%s holds another revision %d", name, current.Revision())
		}
		history.revisions[name] = current.Revision()
	}
	return nil
}

// observeStep checks that a revision never changes, that no proposal becomes
// two, and that none was answered as not accepted.
func (history *history) observeStep(step definer.Step) error {
	revision, proposal := step.Revision(), step.Origin().Proposal()
	if lineage, ok := history.lineages[revision]; ok && lineage != step.Lineage() {
		return fmt.Errorf("revision %d was %s and became %s", revision, history.proposals[revision], proposal)
	}
	for other, name := range history.proposals {
		if name == proposal && other != revision {
			return fmt.Errorf("%s was accepted as revisions %d and %d", proposal, other, revision)
		}
	}
	if history.refused[proposal] {
		return fmt.Errorf("%s was answered as not accepted and became revision %d", proposal, revision)
	}
	history.proposals[revision] = proposal
	history.lineages[revision] = step.Lineage()
	return nil
}

// agree ends all faults and waits for 15 s: then all hosts hold the store's
// revision, and what was answered as accepted is in the history.
func (history *history) agree() error {
	world := history.world
	world.store.setOutage(false)
	for _, name := range hostNames {
		world.setCut(name, false)
	}
	time.Sleep(15 * time.Second)
	synctest.Wait()
	if err := history.observe(); err != nil {
		return err
	}
	head, err := encoder.UnmarshalHead(world.store.current())
	if err != nil {
		return err
	}
	for _, name := range hostNames {
		if got := world.hosts[name].follower.Current().Revision(); got != head.Revision() {
			return fmt.Errorf("%s is at %d, the store at %d", name, got, head.Revision())
		}
	}
	known := slices.Collect(maps.Values(history.proposals))
	for id := range history.accepted {
		if !slices.Contains(known, id) {
			return fmt.Errorf("%s was answered as accepted and is in no revision", id)
		}
	}
	return nil
}

var stat int

func TestZ(t *testing.T) { t.Log("revisions", stat) }
