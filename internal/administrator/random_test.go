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

// init sets the seed and the number of checks for CI. The flags -rapid.seed and
// -rapid.checks override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "50")
}

// randomStep is one step of a random session, drawn before the session runs.
type randomStep struct {
	host, operator, kind string
	// pick selects an open proposal or a sent request when the step is applied;
	// verb and pool are parts of a statement.
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

// maxDecided limits the open proposals that are voted on, so that some reach a
// majority.
const maxDecided = 3

func drawRandomStep(t *rapid.T) randomStep {
	return randomStep{
		host:     rapid.SampledFrom(hostNames).Draw(t, "host"),
		operator: rapid.SampledFrom(operators).Draw(t, "operator"),
		kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
		pick:     rapid.IntRange(0, 99).Draw(t, "pick"),
		pool:     rapid.IntRange(0, 7).Draw(t, "pool"),
		verb:     rapid.SampledFrom(verbs).Draw(t, "verb"),
		seconds:  rapid.IntRange(1, 40).Draw(t, "seconds"),
	}
}

// TestRandomSessions runs random operators' commands through several hosts, with
// store faults, network partitions and host replacements. It checks invariants
// after each step, and convergence of all hosts at the end.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		randomSteps := rapid.SliceOfN(rapid.Custom(drawRandomStep), 60, 80).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runSteps(t, randomSteps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runSteps(t *testing.T, randomSteps []randomStep) error {
	testFleet := newTestFleet(t)
	defer testFleet.close()
	testFleet.bootstrap(operators)
	checker := &checker{
		testFleet: testFleet, proposals: map[uint64]string{}, lineages: map[uint64]uint64{},
		revisions: map[string]uint64{}, accepted: map[string]bool{}, refused: map[string]bool{},
	}
	for _, randomStep := range randomSteps {
		if err := checker.apply(randomStep); err != nil {
			return err
		}
		synctest.Wait()
		if err := checker.checkState(); err != nil {
			return err
		}
	}
	return checker.checkConvergence()
}

// checker records the revisions seen in the store and on the hosts, and the
// answers to operators, and checks them for consistency.
type checker struct {
	testFleet *testFleet
	// proposals and lineages are keyed by revision, for all revisions seen.
	proposals map[uint64]string
	lineages  map[uint64]uint64
	// revisions is the last revision seen on each host.
	revisions map[string]uint64
	// accepted and refused are the ids of proposals that were answered as
	// accepted or not accepted.
	accepted     map[string]bool
	refused      map[string]bool
	sentRequests []sentRequest
}

// sentRequest is a request that may be repeated.
type sentRequest struct {
	id   string
	body []byte
	at   time.Time
}

// apply executes one step.
func (checker *checker) apply(randomStep randomStep) error {
	testFleet := checker.testFleet
	switch randomStep.kind {
	case "propose", "decide":
		return checker.send(randomStep)
	case "again":
		checker.sendAgain(randomStep)
	case "wait":
		time.Sleep(time.Duration(randomStep.seconds) * time.Second)
	case "lose-reply":
		testFleet.store.setFaults(func() { testFleet.store.loseReplies = 1 })
	case "late-write":
		testFleet.store.setFaults(func() { testFleet.store.lateWrites = 1 })
	case "outage", "up":
		testFleet.store.setOutage(randomStep.kind == "outage")
	case "outage-after-write":
		testFleet.store.setFaults(func() { testFleet.store.lateWrites, testFleet.store.outageAfterWrite = 1, true })
	case "cut", "join":
		testFleet.setIsolated(randomStep.host, randomStep.kind == "cut")
	case "replace":
		testFleet.stop(randomStep.host)
		testFleet.start(randomStep.host, randomStep.host == "a")
		checker.revisions[randomStep.host] = 0
	}
	return nil
}

// send sends a proposal, or a decision on an open proposal.
func (checker *checker) send(randomStep randomStep) error {
	openProposals, err := checker.testFleet.openProposals()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("create pool p%d", randomStep.pool)
	if len(openProposals) > 0 && randomStep.kind == "decide" {
		text = randomStep.verb + " " + openProposals[randomStep.pick%min(len(openProposals), maxDecided)]
	}
	request := checker.testFleet.request(statement{operator: randomStep.operator, text: text})
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	checker.sentRequests = append(checker.sentRequests, sentRequest{id: request.ID, body: body, at: request.Time})
	answer := checker.testFleet.post(randomStep.host, body)
	switch {
	case strings.Contains(answer, "503 not-accepted"):
		checker.refused[request.ID] = true
	case strings.Contains(answer, "accepted and in force") && strings.HasPrefix(text, "create"):
		checker.accepted[request.ID] = true
	}
	return nil
}

// sendAgain repeats an earlier request through the host of the step. A request
// that was not accepted the first time may be accepted now.
func (checker *checker) sendAgain(randomStep randomStep) {
	expired := func(sentRequest sentRequest) bool { return time.Since(sentRequest.at) > arbiter.MaxCommandAge }
	fresh := slices.DeleteFunc(slices.Clone(checker.sentRequests), expired)
	if len(fresh) == 0 {
		return
	}
	repeated := fresh[randomStep.pick%len(fresh)]
	delete(checker.refused, repeated.id)
	checker.testFleet.post(randomStep.host, repeated.body)
}

// openProposals returns the ids of the open proposals.
func (testFleet *testFleet) openProposals() ([]string, error) {
	head, err := encoder.UnmarshalHead(testFleet.store.current())
	var ids []string
	for _, proposal := range head.Proposals() {
		ids = append(ids, proposal.ID())
	}
	return ids, err
}

// checkState compares the state of the store and the hosts with the states seen
// before.
func (checker *checker) checkState() error {
	head, err := encoder.UnmarshalHead(checker.testFleet.store.current())
	if err != nil {
		return err
	}
	for _, step := range head.Steps() {
		if err := checker.checkStep(step); err != nil {
			return err
		}
	}
	for index, proposal := range head.Proposals() {
		same := func(other arbiter.Proposal) bool { return other.ID() == proposal.ID() }
		if slices.ContainsFunc(head.Proposals()[index+1:], same) {
			return fmt.Errorf("proposal %s is open twice", proposal.ID())
		}
	}
	for name, host := range checker.testFleet.hosts {
		current := host.follower.Current()
		if current.Revision() < checker.revisions[name] {
			return fmt.Errorf("%s reverted from revision %d to %d", name, checker.revisions[name], current.Revision())
		}
		if lineage, ok := checker.lineages[current.Revision()]; ok && lineage != current.Lineage() {
			return fmt.Errorf("%s has a different lineage at revision %d", name, current.Revision())
		}
		checker.revisions[name] = current.Revision()
	}
	return nil
}

// checkStep checks that a revision never changes, that no proposal is accepted
// as two revisions, and that no proposal answered as not accepted is accepted.
func (checker *checker) checkStep(step definer.Step) error {
	revision, proposal := step.Revision(), step.Origin().Proposal()
	if lineage, ok := checker.lineages[revision]; ok && lineage != step.Lineage() {
		return fmt.Errorf("revision %d changed from proposal %s to %s", revision, checker.proposals[revision], proposal)
	}
	for other, name := range checker.proposals {
		if name == proposal && other != revision {
			return fmt.Errorf("proposal %s was accepted as revisions %d and %d", proposal, other, revision)
		}
	}
	if checker.refused[proposal] {
		return fmt.Errorf("proposal %s was answered as not accepted but is revision %d", proposal, revision)
	}
	checker.proposals[revision] = proposal
	checker.lineages[revision] = step.Lineage()
	return nil
}

// checkConvergence ends all faults and waits for 15 s. Then all hosts must have
// the revision of the store, and each proposal answered as accepted must be a
// revision.
func (checker *checker) checkConvergence() error {
	testFleet := checker.testFleet
	testFleet.store.setOutage(false)
	for _, name := range hostNames {
		testFleet.setIsolated(name, false)
	}
	time.Sleep(15 * time.Second)
	synctest.Wait()
	if err := checker.checkState(); err != nil {
		return err
	}
	head, err := encoder.UnmarshalHead(testFleet.store.current())
	if err != nil {
		return err
	}
	for _, name := range hostNames {
		if got := testFleet.hosts[name].follower.Current().Revision(); got != head.Revision() {
			return fmt.Errorf("%s is at revision %d, the store at %d", name, got, head.Revision())
		}
	}
	known := slices.Collect(maps.Values(checker.proposals))
	for id := range checker.accepted {
		if !slices.Contains(known, id) {
			return fmt.Errorf("proposal %s was answered as accepted but is no revision", id)
		}
	}
	return nil
}

var stat int

func TestZ(t *testing.T) { t.Log("revisions", stat) }
