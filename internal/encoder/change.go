package encoder

import (
	"crypto/ed25519"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

func serviceMessage(service definer.Service) *Service {
	return &Service{Name: service.Name(), Pool: service.Pool()}
}

func readService(message *Service) definer.Service {
	return definer.NewService(message.GetName(), message.GetPool())
}

func endpointMessage(endpoint definer.Endpoint) *Endpoint {
	return &Endpoint{
		Name: endpoint.Name(), Pool: endpoint.Pool(), Address: endpoint.Address(),
		Region: endpoint.Place().Region(), DataCentre: endpoint.Place().DataCentre(),
		Slots: uint32(endpoint.Slots()), Drained: endpoint.Drained(),
	}
}

func readEndpoint(message *Endpoint) definer.Endpoint {
	place := definer.NewPlace(message.GetRegion(), message.GetDataCentre())
	slots := int(message.GetSlots())
	endpoint := definer.NewEndpoint(message.GetName(), message.GetPool(), message.GetAddress(), place, slots)
	return endpoint.WithDrained(message.GetDrained())
}

func ruleMessage(rule definer.Rule) *Rule {
	return &Rule{
		Name: rule.Name(), Service: rule.Service(), Method: rule.Method(), Prefix: rule.Prefix(),
		Repeatable: rule.Repeatable(), Long: rule.Lane() == definer.Long,
		Priority: uint32(rule.Priority()), DeadlineNanoseconds: int64(rule.Deadline()),
	}
}

func readRule(message *Rule) definer.Rule {
	lane := definer.Short
	if message.GetLong() {
		lane = definer.Long
	}
	return definer.NewRule(message.GetName(), message.GetService(), message.GetMethod(), message.GetPrefix(),
		definer.Repeatable(message.GetRepeatable()), definer.InLane(lane),
		definer.WithPriority(int(message.GetPriority())),
		definer.WithDeadline(time.Duration(message.GetDeadlineNanoseconds())))
}

func memberMessage(member definer.Member) *CommitteeMember {
	return &CommitteeMember{Name: member.Name(), Key: member.Key()}
}

func readMember(message *CommitteeMember) definer.Member {
	return definer.NewMember(message.GetName(), ed25519.PublicKey(message.GetKey()))
}

func changeMessages(changes []definer.Change) []*Change {
	messages := make([]*Change, 0, len(changes))
	for _, change := range changes {
		messages = append(messages, changeMessage(change))
	}
	return messages
}

func changeMessage(change definer.Change) *Change {
	object := change.Object()
	message := &Change{Verb: Change_Verb(change.Verb()), Kind: string(object.Kind()), Name: object.Name()}
	if change.Verb() != definer.Set {
		return message
	}
	switch object.Kind() {
	case definer.KindService:
		message.Service = serviceMessage(change.Service())
	case definer.KindEndpoint:
		message.Endpoint = endpointMessage(change.Endpoint())
	case definer.KindRule:
		message.Rule = ruleMessage(change.Rule())
	case definer.KindMember:
		message.Member = memberMessage(change.Member())
	}
	return message
}

func readChanges(messages []*Change) ([]definer.Change, error) {
	changes := make([]definer.Change, 0, len(messages))
	for _, message := range messages {
		change, err := readChange(message)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func readChange(message *Change) (definer.Change, error) {
	object := definer.NewObject(definer.ObjectKind(message.GetKind()), message.GetName())
	switch message.GetVerb() {
	case Change_REMOVE:
		return definer.RemoveObject(object), nil
	case Change_DRAIN:
		return definer.DrainEndpoint(message.GetName()), nil
	case Change_RESTORE:
		return definer.RestoreEndpoint(message.GetName()), nil
	case Change_SET:
		return readSet(object, message)
	}
	return definer.Change{}, newDecodeError("change", "unknown verb %d", message.GetVerb())
}

func readSet(object definer.Object, message *Change) (definer.Change, error) {
	switch object.Kind() {
	case definer.KindService:
		return definer.SetService(readService(message.GetService())), nil
	case definer.KindPool:
		return definer.SetPool(object.Name()), nil
	case definer.KindEndpoint:
		return definer.SetEndpoint(readEndpoint(message.GetEndpoint())), nil
	case definer.KindRule:
		return definer.SetRule(readRule(message.GetRule())), nil
	case definer.KindMember:
		return definer.SetMember(readMember(message.GetMember())), nil
	case definer.KindChair:
		return definer.SetChair(object.Name()), nil
	}
	return definer.Change{}, newDecodeError("change", "unknown kind %q", object.Kind())
}
