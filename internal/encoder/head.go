package encoder

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
)

// MarshalHead encodes the committee's head value.
func MarshalHead(head arbiter.Head) ([]byte, error) {
	message := &ConfigurationHead{
		Base: head.Base(), Superseded: head.Superseded(), Steps: stepMessages(head.Steps()),
	}
	for _, proposal := range head.Proposals() {
		message.Proposals = append(message.Proposals, proposalMessage(proposal))
	}
	for _, outcome := range head.Outcomes() {
		message.Outcomes = append(message.Outcomes, outcomeMessage(outcome))
	}
	return marshal(message)
}

// UnmarshalHead decodes the output of [MarshalHead]. Empty data gives the zero
// Head.
func UnmarshalHead(data []byte) (arbiter.Head, error) {
	var message ConfigurationHead
	if err := unmarshal("configuration head", data, &message); err != nil {
		return arbiter.Head{}, err
	}
	steps, err := readSteps(message.GetBase(), message.GetSteps())
	if err != nil {
		return arbiter.Head{}, err
	}
	proposals := make([]arbiter.Proposal, 0, len(message.GetProposals()))
	for _, proposalMessage := range message.GetProposals() {
		proposal, err := readProposal(proposalMessage)
		if err != nil {
			return arbiter.Head{}, err
		}
		proposals = append(proposals, proposal)
	}
	outcomes := make([]arbiter.Outcome, 0, len(message.GetOutcomes()))
	for _, outcomeMessage := range message.GetOutcomes() {
		outcome, err := readOutcome(outcomeMessage)
		if err != nil {
			return arbiter.Head{}, err
		}
		outcomes = append(outcomes, outcome)
	}
	return arbiter.NewHead(message.GetBase(), message.GetSuperseded(), steps, proposals, outcomes), nil
}

// StepsSize returns the encoded size of the steps of head in bytes.
func StepsSize(head arbiter.Head) int {
	size := 0
	for _, message := range stepMessages(head.Steps()) {
		size += proto.Size(message)
	}
	return size
}

func stepMessages(steps []definer.Step) []*RevisionStep {
	messages := make([]*RevisionStep, 0, len(steps))
	for _, step := range steps {
		messages = append(messages, &RevisionStep{
			Revision: step.Revision(),
			Lineage:  step.Lineage(),
			Changes:  changeMessages(step.Changes()),
			Origin:   originMessage(step.Origin()),
		})
	}
	return messages
}

// readSteps decodes steps, whose revisions must follow base without a gap.
func readSteps(base uint64, messages []*RevisionStep) ([]definer.Step, error) {
	steps := make([]definer.Step, 0, len(messages))
	for _, message := range messages {
		base++
		if message.GetRevision() != base {
			return nil, newDecodeError("steps", "revision %d where %d should follow", message.GetRevision(), base)
		}
		changes, err := readChanges(message.GetChanges())
		if err != nil {
			return nil, err
		}
		steps = append(steps, definer.NewStep(base, message.GetLineage(), changes, readOrigin(message.GetOrigin())))
	}
	return steps, nil
}

func originMessage(origin definer.Origin) *RevisionOrigin {
	return &RevisionOrigin{
		Proposal: origin.Proposal(), Author: origin.Author(), UnixMilliseconds: origin.At().UnixMilli(),
		Voters: origin.Voters(), Decision: uint32(origin.Decision()),
	}
}

func readOrigin(message *RevisionOrigin) definer.Origin {
	decision := definer.Decision(min(message.GetDecision(), uint32(definer.ByBootstrap)))
	at := time.UnixMilli(message.GetUnixMilliseconds())
	return definer.NewOrigin(message.GetProposal(), message.GetAuthor(), at, message.GetVoters(), decision)
}

func proposalMessage(proposal arbiter.Proposal) *Proposal {
	message := &Proposal{
		Id: proposal.ID(), Author: proposal.Author(), Base: proposal.Base(),
		Changes: changeMessages(proposal.Changes()), UnixMilliseconds: proposal.At().UnixMilli(),
		Prevails: proposal.Ruling().Prevails(), Yields: proposal.Ruling().Yields(),
	}
	for _, vote := range proposal.Votes() {
		message.Votes = append(message.Votes, &ProposalVote{Member: vote.Member(), InFavour: vote.InFavour()})
	}
	return message
}

func readProposal(message *Proposal) (arbiter.Proposal, error) {
	changes, err := readChanges(message.GetChanges())
	if err != nil {
		return arbiter.Proposal{}, err
	}
	votes := make([]arbiter.Vote, 0, len(message.GetVotes()))
	for _, vote := range message.GetVotes() {
		votes = append(votes, arbiter.NewVote(vote.GetMember(), vote.GetInFavour()))
	}
	at := time.UnixMilli(message.GetUnixMilliseconds())
	return arbiter.NewProposal(message.GetId(), message.GetAuthor(), message.GetBase(),
		changes, at, votes, arbiter.NewRuling(message.GetPrevails(), message.GetYields())), nil
}

func outcomeMessage(outcome arbiter.Outcome) *CommandOutcome {
	message := &CommandOutcome{
		Id: outcome.ID(), Result: uint32(outcome.Result()),
		Revision: outcome.Revision(), UnixMilliseconds: outcome.At().UnixMilli(),
	}
	if outcome.Proposal() != outcome.ID() {
		message.Proposal = outcome.Proposal()
	}
	return message
}

func readOutcome(message *CommandOutcome) (arbiter.Outcome, error) {
	if message.GetResult() > uint32(arbiter.Unfit) {
		return arbiter.Outcome{}, newDecodeError("outcome", "unknown result %d", message.GetResult())
	}
	proposal := message.GetProposal()
	if proposal == "" {
		proposal = message.GetId()
	}
	return arbiter.NewOutcome(message.GetId(), arbiter.Result(message.GetResult()), proposal,
		message.GetRevision(), time.UnixMilli(message.GetUnixMilliseconds())), nil
}

// HeadKey is the store key of the head value.
const HeadKey = "chivespool/configuration"

// SnapshotKey returns the store key of the base snapshot at revision.
func SnapshotKey(revision uint64) string {
	return "chivespool/configuration-base/" + strconv.FormatUint(revision, 10)
}
