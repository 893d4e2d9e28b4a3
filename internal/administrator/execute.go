package administrator

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/parser"
	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/signer"
)

// execute answers the statement of request, whose signature was verified with
// key.
func (administrator *Administrator) execute(ctx context.Context, request signer.Request, key ed25519.PublicKey) (*presenter.Answer, error) {
	statement, err := parser.ParseOne(request.Command)
	if err != nil {
		return nil, err
	}
	configuration := administrator.configurationSource.Current()
	switch body := statement.Body().(type) {
	case parser.Help:
		return help(body)
	case parser.Show:
		return administrator.show(ctx, configuration, body)
	case parser.Names:
		return administrator.names(ctx, configuration), nil
	case parser.Status:
		return administrator.status(configuration), nil
	case parser.Where:
		return administrator.where(configuration, body)
	case parser.Why:
		return administrator.why(configuration, body)
	case parser.TimeLine:
		return administrator.events(body), nil
	case parser.Outcome:
		return administrator.outcome(ctx, configuration, body)
	}
	action, err := actionOf(statement.Body(), configuration)
	if err != nil {
		return administrator.answerRepeat(ctx, configuration, request.ID, err)
	}
	command := arbiter.NewCommand(request.ID, request.Operator, key, request.Time, action)
	outcome, err := administrator.committee.Submit(ctx, command)
	if err != nil {
		return nil, err
	}
	return outcomeAnswer(outcome), nil
}

// actionOf converts a parsed command to an action of the committee. Values that
// the operator omitted come from configuration, which is also the default base.
func actionOf(body parser.Body, configuration *definer.Configuration) (arbiter.Action, error) {
	switch body := body.(type) {
	case parser.Vote:
		return arbiter.NewCastVote(body.Proposal(), body.InFavour()), nil
	case parser.Withdraw:
		return arbiter.NewWithdraw(body.Proposal()), nil
	case parser.Rule:
		return arbiter.NewRule(body.Proposal(), body.InFavour()), nil
	case parser.Propose:
		return propose(body, configuration)
	}
	return nil, fmt.Errorf("a %T can't be executed; report this fault of chivespool", body)
}

func propose(body parser.Propose, configuration *definer.Configuration) (arbiter.Action, error) {
	var changes []definer.Change
	var errs []error
	for _, edit := range body.Edits() {
		change, err := edit.Change(configuration)
		errs = append(errs, err)
		changes = append(changes, change)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	base := configuration.Revision()
	if against, ok := body.Against(); ok {
		base = against
	}
	return arbiter.NewPropose(base, changes), nil
}

func outcomeAnswer(outcome arbiter.Outcome) *presenter.Answer {
	answer := presenter.New("id", "result", "proposal", "revision")
	answer.Add(outcome.ID(), outcome.Result().String(), outcome.Proposal(), fmt.Sprint(outcome.Revision()))
	answer.Note = outcome.String()
	return answer
}

// answerRepeat answers a command that does not apply to the configuration in
// force. A repeated command may fail to apply because its first copy was already
// accepted; it gets the outcome of that copy. Otherwise failure is returned.
func (administrator *Administrator) answerRepeat(ctx context.Context, configuration *definer.Configuration, id string, failure error) (*presenter.Answer, error) {
	if mark, ok := markOfProposal(configuration, id); ok {
		return outcomeAnswer(acceptedOutcome(mark)), nil
	}
	if state, err := administrator.committee.State(ctx); err == nil {
		if outcome, ok := state.Outcome(id); ok {
			return outcomeAnswer(outcome), nil
		}
	}
	return nil, failure
}

// acceptedOutcome returns the outcome of the accepted proposal that set mark.
func acceptedOutcome(mark definer.Mark) arbiter.Outcome {
	origin := mark.Origin()
	return arbiter.NewOutcome(origin.Proposal(), arbiter.Accepted, origin.Proposal(), mark.Revision(), origin.At())
}

// outcome answers with the outcome of a command. While the store is unavailable,
// only the outcome of an accepted proposal is known, from the configuration.
func (administrator *Administrator) outcome(ctx context.Context, configuration *definer.Configuration, body parser.Outcome) (*presenter.Answer, error) {
	if mark, ok := markOfProposal(configuration, body.ID()); ok {
		return outcomeAnswer(acceptedOutcome(mark)), nil
	}
	state, err := administrator.committee.State(ctx)
	if err != nil {
		return nil, fmt.Errorf("not known yet, ask again: %w", err)
	}
	if outcome, ok := state.Outcome(body.ID()); ok {
		return outcomeAnswer(outcome), nil
	}
	note := fmt.Sprintf("%s had no effect, or it is more than %v old and its objects changed since", body.ID(), arbiter.OutcomeRetention)
	return presenter.NewNote(note), nil
}

// markOfProposal returns a mark that the accepted proposal set.
func markOfProposal(configuration *definer.Configuration, proposal string) (definer.Mark, bool) {
	for _, mark := range configuration.Marks {
		if mark.Origin().Proposal() == proposal {
			return mark, true
		}
	}
	return definer.Mark{}, false
}

func help(body parser.Help) (*presenter.Answer, error) {
	answer := presenter.New("statement", "what-it-does")
	for _, form := range parser.Forms(body.Topic()) {
		answer.Add(form.String(), form.Help())
	}
	if len(answer.Rows) == 0 {
		return nil, fmt.Errorf("there is no help on %q; see: help", body.Topic())
	}
	return answer, nil
}
