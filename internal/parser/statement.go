package parser

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Statement is one query or command of an operator.
type Statement struct {
	text string
	body Body
}

// Text returns the statement as it was written; parsing it again gives an equal
// statement.
func (statement Statement) Text() string { return statement.text }

// Body returns the typed content of the statement.
func (statement Statement) Body() Body { return statement.body }

// Body is one of Status, Names, Help, Show, Where, Why, TimeLine, Outcome,
// Propose, Vote, Withdraw and Rule.
type Body interface{ body() }

// Status asks for the state of the entry host.
type Status struct{}

// Names asks for all names, for completion.
type Names struct{}

// Help asks for the syntax of statements.
type Help struct{ topic string }

// Topic returns the verb to describe, or empty for all.
func (help Help) Topic() string { return help.topic }

// Show asks for objects of the configuration in force or for open proposals.
type Show struct{ subject, name string }

// Subject returns the kind to show, such as services or endpoint.
func (show Show) Subject() string { return show.subject }

// Name returns the name of the object to show, or empty.
func (show Show) Name() string { return show.name }

// Where asks which endpoints receive a service's requests from a region.
type Where struct{ service, region string }

// Service returns the name of the service.
func (where Where) Service() string { return where.service }

// Region returns the name of the callers' region.
func (where Where) Region() string { return where.region }

// Why asks why an endpoint receives or does not receive requests.
type Why struct{ endpoint string }

// Endpoint returns the name of the endpoint.
func (why Why) Endpoint() string { return why.endpoint }

// TimeLine asks for the timeline of events of the entry hosts.
type TimeLine struct{ since time.Duration }

// Since returns the age of the oldest event wanted, or 0 for all events.
func (timeLine TimeLine) Since() time.Duration { return timeLine.since }

// Outcome asks for the result of a command or a proposal.
type Outcome struct{ id string }

// ID returns the id of the command or proposal.
func (outcome Outcome) ID() string { return outcome.id }

// Propose submits changes to the committee.
type Propose struct {
	edits []Edit
	// against is the base revision, or nil for the revision in force on the
	// host that receives the statement.
	against *uint64
}

// Edits returns the changes as written; callers must not modify the slice.
func (propose Propose) Edits() []Edit { return propose.edits }

// Against returns the base revision that the operator wrote, if any.
func (propose Propose) Against() (uint64, bool) {
	if propose.against == nil {
		return 0, false
	}
	return *propose.against, true
}

// Vote is a vote on an open proposal.
type Vote struct {
	proposal string
	inFavour bool
}

// Proposal returns the id of the proposal.
func (vote Vote) Proposal() string { return vote.proposal }

// InFavour reports whether the vote is for the proposal.
func (vote Vote) InFavour() bool { return vote.inFavour }

// Withdraw closes a proposal of the operator who sends it.
type Withdraw struct{ proposal string }

// Proposal returns the id of the proposal.
func (withdraw Withdraw) Proposal() string { return withdraw.proposal }

// Rule is the chair's decision on a tie or a collision.
type Rule struct {
	proposal string
	inFavour bool
}

// Proposal returns the id of the proposal.
func (rule Rule) Proposal() string { return rule.proposal }

// InFavour reports whether the ruling is for the proposal.
func (rule Rule) InFavour() bool { return rule.inFavour }

func (Status) body()   {}
func (Names) body()    {}
func (Help) body()     {}
func (Show) body()     {}
func (Where) body()    {}
func (Why) body()      {}
func (TimeLine) body() {}
func (Outcome) body()  {}
func (Propose) body()  {}
func (Vote) body()     {}
func (Withdraw) body() {}
func (Rule) body()     {}

// statement converts the node to a Statement. It validates values, because the
// nodes hold the position of each value for error messages.
func (statementNode *statementNode) statement(text string) (Statement, error) {
	source := strings.TrimSpace(text[statementNode.Pos.Offset:min(statementNode.EndPos.Offset, len(text))])
	body, err := statementNode.body(text)
	return Statement{text: source, body: body}, err
}

func (statementNode *statementNode) body(text string) (Body, error) {
	switch {
	case statementNode.Status:
		return Status{}, nil
	case statementNode.Names:
		return Names{}, nil
	case statementNode.Help != nil:
		return Help{topic: strings.Join(statementNode.Help.Words, " ")}, nil
	case statementNode.Show != nil:
		return statementNode.Show.show(text)
	case statementNode.Where != nil:
		return Where{service: statementNode.Where.Service.Text, region: statementNode.Where.Region.Text}, nil
	case statementNode.Why != nil:
		return Why{endpoint: statementNode.Why.Text}, nil
	case statementNode.TimeLine != nil:
		return statementNode.TimeLine.timeLine(text)
	case statementNode.Outcome != nil:
		return Outcome{id: statementNode.Outcome.Text}, nil
	case statementNode.Vote != nil:
		return Vote{proposal: statementNode.Vote.Proposal.Text, inFavour: statementNode.Vote.Vote == "yes"}, nil
	case statementNode.Withdraw != nil:
		return Withdraw{proposal: statementNode.Withdraw.Text}, nil
	case statementNode.Rule != nil:
		return Rule{proposal: statementNode.Rule.Proposal.Text, inFavour: statementNode.Rule.Ruling == "for"}, nil
	}
	return statementNode.Propose.propose(text)
}

func (showNode *showNode) show(text string) (Body, error) {
	name := ""
	if showNode.Name != nil {
		name = showNode.Name.Text
	}
	for _, form := range Forms("show") {
		if form.head[1] != showNode.Subject.Text {
			continue
		}
		if takesName := len(form.head) == 3; takesName == (name != "") {
			return Show{subject: showNode.Subject.Text, name: name}, nil
		}
		if name != "" {
			return nil, showNode.Name.syntaxError(text, "a name does not fit here", "end the statement here")
		}
		return nil, showNode.Subject.syntaxError(text, "a name must follow", fmt.Sprintf("write: show %s NAME, or: show %ss", showNode.Subject.Text, showNode.Subject.Text))
	}
	return nil, showNode.Subject.syntaxError(text, "this can't be shown", remedyFor("show ", showNode.Subject.Text))
}

func (timeLineNode *timeLineNode) timeLine(text string) (Body, error) {
	if timeLineNode.Since == nil {
		return TimeLine{}, nil
	}
	since, err := timeLineNode.Since.duration(text)
	return TimeLine{since: since}, err
}

func (proposeNode *proposeNode) propose(text string) (Body, error) {
	var propose Propose
	for _, editNode := range proposeNode.Edits {
		edit, err := editNode.edit(text)
		if err != nil {
			return nil, err
		}
		propose.edits = append(propose.edits, edit)
	}
	if proposeNode.Against != nil {
		against, err := strconv.ParseUint(proposeNode.Against.Text, 10, 64)
		if err != nil {
			return nil, proposeNode.Against.syntaxError(text, "this is not a revision", "write a whole number, as in: against 12")
		}
		propose.against = &against
	}
	return propose, nil
}

func (word *word) duration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(word.Text)
	if err != nil || duration < 0 {
		return 0, word.syntaxError(text, "this is not a duration", "write it as 30s, 5m or 1h30m")
	}
	return duration, nil
}

func (word *word) number(text string) (int, error) {
	number, err := strconv.Atoi(word.Text)
	if err != nil {
		return 0, word.syntaxError(text, "this is not a number", "write a whole number")
	}
	return number, nil
}

func (word *word) syntaxError(text, detail, remedy string) error {
	return newSyntaxError(text, word.Pos, word.Text, detail, remedy)
}
