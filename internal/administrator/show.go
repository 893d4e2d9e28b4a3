package administrator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/parser"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/signer"
)

// maxLogRevisions is the maximum number of revisions in the answer to show log.
const maxLogRevisions = 50

// show answers a query for objects in force or open proposals.
func (administrator *Administrator) show(ctx context.Context, configuration *definer.Configuration, body parser.Show) (*presenter.Answer, error) {
	switch body.Subject() {
	case "configuration":
		return showConfiguration(configuration), nil
	case "services":
		return showServices(configuration), nil
	case "pools":
		return showPools(configuration), nil
	case "endpoints":
		return showEndpoints(configuration), nil
	case "rules":
		return showRules(configuration), nil
	case "committee":
		return showCommittee(configuration), nil
	case "log":
		return showLog(configuration), nil
	case "proposals", "collisions", "proposal":
		return administrator.showProposals(ctx, body)
	}
	return showObject(configuration, definer.NewObject(definer.ObjectKind(body.Subject()), body.Name()))
}

func showConfiguration(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("name", "value")
	answer.Add("revision", fmt.Sprint(configuration.Revision()))
	if log := revisionLog(configuration); len(log) > 0 {
		addOrigin(answer, log[0].mark)
	}
	answer.Add("chair", configuration.Committee().Chair())
	answer.Add("members", fmt.Sprint(configuration.Committee().Size()))
	answer.Add("services", fmt.Sprint(len(configuration.Services())))
	answer.Add("pools", fmt.Sprint(len(configuration.Pools())))
	answer.Add("endpoints", fmt.Sprint(len(configuration.Endpoints())))
	answer.Add("rules", fmt.Sprint(len(configuration.Rules())))
	return answer
}

// addOrigin adds the revision that set mark, with its proposal and votes.
func addOrigin(answer *presenter.Answer, mark definer.Mark) {
	origin := mark.Origin()
	answer.Add("since", timeText(origin.At()))
	answer.Add("by-revision", fmt.Sprint(mark.Revision()))
	answer.Add("proposal", origin.Proposal())
	answer.Add("author", origin.Author())
	answer.Add("votes-for", strings.Join(origin.Voters(), " "))
	answer.Add("decision", origin.Decision().String())
}

func timeText(at time.Time) string { return at.UTC().Format(time.RFC3339) }

func showServices(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("service", "pool", "endpoints", "rules")
	for _, service := range configuration.Services() {
		endpoints := len(configuration.EndpointsOf(service.Pool()))
		answer.Add(service.Name(), service.Pool(), fmt.Sprint(endpoints), fmt.Sprint(len(rulesOfService(configuration, service.Name()))))
	}
	return answer
}

func rulesOfService(configuration *definer.Configuration, service string) []definer.Rule {
	other := func(rule definer.Rule) bool { return rule.Service() != service }
	return slices.DeleteFunc(configuration.Rules(), other)
}

func showPools(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("pool", "endpoints", "drained", "slots")
	for _, pool := range configuration.Pools() {
		drained, slots := 0, 0
		endpoints := configuration.EndpointsOf(pool)
		for _, endpoint := range endpoints {
			if endpoint.Drained() {
				drained++
				continue
			}
			slots += endpoint.Slots()
		}
		answer.Add(pool, fmt.Sprint(len(endpoints)), fmt.Sprint(drained), fmt.Sprint(slots))
	}
	return answer
}

func showEndpoints(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("endpoint", "pool", "address", "region", "data-centre", "slots", "drained")
	for _, endpoint := range configuration.Endpoints() {
		answer.Add(endpoint.Name(), endpoint.Pool(), endpoint.Address(), endpoint.Place().Region(),
			endpoint.Place().DataCentre(), fmt.Sprint(endpoint.Slots()), yesNo(endpoint.Drained()))
	}
	return answer
}

func showRules(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("rule", "service", "method", "path", "repeatable", "lane", "priority", "deadline")
	for _, rule := range configuration.Rules() {
		answer.Add(rule.Name(), rule.Service(), cmp.Or(rule.Method(), "any"), cmp.Or(rule.Prefix(), "any"),
			yesNo(rule.Repeatable()), rule.Lane().String(), fmt.Sprint(rule.Priority()), deadlineText(rule.Deadline()))
	}
	return answer
}

func deadlineText(deadline time.Duration) string {
	if deadline == 0 {
		return "none"
	}
	return deadline.String()
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func showCommittee(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("member", "chair", "key")
	committee := configuration.Committee()
	for _, member := range committee.Members() {
		answer.Add(member.Name(), yesNo(member.Name() == committee.Chair()), signer.FormatPublicKey(member.Key()))
	}
	if mark, ok := configuration.Mark(definer.NewObject(definer.KindCommittee, "")); ok {
		answer.Note = fmt.Sprintf("since revision %d of %s", mark.Revision(), timeText(mark.Origin().At()))
	}
	return answer
}

// revisionEntry is one revision with the objects that no later revision changed.
type revisionEntry struct {
	mark    definer.Mark
	objects []string
}

// revisionLog returns the revisions that were the last to change some object,
// newest first.
func revisionLog(configuration *definer.Configuration) []revisionEntry {
	byRevision := map[uint64]revisionEntry{}
	for object, mark := range configuration.Marks {
		revisionEntry := byRevision[mark.Revision()]
		revisionEntry.mark = mark
		revisionEntry.objects = append(revisionEntry.objects, object.String())
		byRevision[mark.Revision()] = revisionEntry
	}
	log := make([]revisionEntry, 0, len(byRevision))
	for _, revisionEntry := range byRevision {
		slices.Sort(revisionEntry.objects)
		log = append(log, revisionEntry)
	}
	slices.SortFunc(log, func(left, right revisionEntry) int {
		return cmp.Compare(right.mark.Revision(), left.mark.Revision())
	})
	return log
}

func showLog(configuration *definer.Configuration) *presenter.Answer {
	answer := presenter.New("revision", "since", "proposal", "author", "votes-for", "decision", "objects")
	log := revisionLog(configuration)
	for _, revisionEntry := range log[:min(len(log), maxLogRevisions)] {
		origin := revisionEntry.mark.Origin()
		answer.Add(fmt.Sprint(revisionEntry.mark.Revision()), timeText(origin.At()), origin.Proposal(), origin.Author(),
			strings.Join(origin.Voters(), " "), origin.Decision().String(), strings.Join(revisionEntry.objects, ", "))
	}
	answer.Note = "revisions whose objects all changed again since are left out"
	return answer
}

// showObject shows one object and the revision that last changed it.
func showObject(configuration *definer.Configuration, object definer.Object) (*presenter.Answer, error) {
	if !configuration.Has(object) {
		return nil, definer.NewChangeError(definer.Missing, object, "does not exist",
			fmt.Sprintf("see the names with: show %ss", object.Kind()))
	}
	answer := presenter.New("name", "value")
	table := tableOf(configuration, object.Kind())
	for _, row := range table.Rows {
		if row[0] != object.Name() {
			continue
		}
		for index, value := range row {
			answer.Add(table.Columns[index], value)
		}
	}
	if mark, ok := configuration.Mark(object); ok {
		addOrigin(answer, mark)
	}
	return answer, nil
}

func tableOf(configuration *definer.Configuration, kind definer.ObjectKind) *presenter.Answer {
	switch kind {
	case definer.KindService:
		return showServices(configuration)
	case definer.KindPool:
		return showPools(configuration)
	case definer.KindEndpoint:
		return showEndpoints(configuration)
	}
	return showRules(configuration)
}

// showProposals shows open proposals. It reads the committee's state, so it
// fails if the store is unavailable.
func (administrator *Administrator) showProposals(ctx context.Context, body parser.Show) (*presenter.Answer, error) {
	state, err := administrator.committee.State(ctx)
	if err != nil {
		return nil, err
	}
	answer := presenter.New("proposal", "author", "against", "changes", "votes-for", "votes-against", "waits-for")
	for _, proposal := range state.Proposals() {
		if body.Subject() == "collisions" && !state.Disputed(proposal) && !state.Tied(proposal) {
			continue
		}
		if body.Subject() == "proposal" && proposal.ID() != body.Name() {
			continue
		}
		answer.Add(proposal.ID(), proposal.Author(), fmt.Sprint(proposal.Base()), changesText(proposal.Changes()),
			votesText(proposal, true), votesText(proposal, false), waitReason(state, proposal))
	}
	if body.Subject() == "proposal" && len(answer.Rows) == 0 {
		return nil, fmt.Errorf("no open proposal %s; see what became of it with: outcome %s", body.Name(), body.Name())
	}
	return answer, nil
}

func changesText(changes []definer.Change) string {
	texts := make([]string, 0, len(changes))
	for _, change := range changes {
		texts = append(texts, change.String())
	}
	return strings.Join(texts, ", ")
}

func votesText(proposal arbiter.Proposal, inFavour bool) string {
	var names []string
	for _, vote := range proposal.Votes() {
		if vote.InFavour() == inFavour {
			names = append(names, vote.Member())
		}
	}
	return cmp.Or(strings.Join(names, " "), "-")
}

// waitReason describes what an open proposal waits for.
func waitReason(state arbiter.State, proposal arbiter.Proposal) string {
	var causes []string
	for _, rival := range state.ConflictingProposals(proposal) {
		causes = append(causes, "collides with "+rival.ID())
	}
	for _, mark := range state.ConflictingMarks(proposal) {
		causes = append(causes, fmt.Sprintf("overtaken by revision %d", mark.Revision()))
	}
	switch {
	case proposal.Ruling().Prevails():
		return "votes; the chair ruled for it"
	case proposal.Ruling().Yields() != "":
		return "proposal " + proposal.Ruling().Yields() + ", for which the chair ruled"
	case len(causes) > 0:
		return "the chair: " + strings.Join(slices.Compact(causes), ", ")
	case state.Tied(proposal):
		return "the chair: the votes are tied"
	}
	return "votes"
}
