package encoder

import (
	"cmp"
	"slices"

	"github.com/chivespool/chivespool/internal/definer"
)

// Update brings a follower to a higher revision: by steps from its current
// revision, or by a complete snapshot and the steps after it.
type Update struct {
	// snapshot is nil if the steps start at the follower's revision.
	snapshot *definer.Configuration
	// steps are consecutive, and follow snapshot if it is set.
	steps []definer.Step
}

// NewUpdate returns an update. snapshot may be nil.
func NewUpdate(snapshot *definer.Configuration, steps []definer.Step) Update {
	return Update{snapshot: snapshot, steps: steps}
}

// Snapshot returns the configuration that the steps apply to, or nil.
func (update Update) Snapshot() *definer.Configuration { return update.snapshot }

// Steps returns the steps. Callers must not modify the result.
func (update Update) Steps() []definer.Step { return update.steps }

// Revision returns the revision after the update; 0 for an empty update.
func (update Update) Revision() uint64 {
	if last := len(update.steps) - 1; last >= 0 {
		return update.steps[last].Revision()
	}
	if update.snapshot != nil {
		return update.snapshot.Revision()
	}
	return 0
}

// MarshalUpdate encodes an update.
func MarshalUpdate(update Update) ([]byte, error) {
	message := &ConfigurationUpdate{Steps: stepMessages(update.steps)}
	if update.snapshot != nil {
		message.Snapshot = snapshotMessage(update.snapshot)
	}
	return marshal(message)
}

// UnmarshalUpdate decodes the output of [MarshalUpdate].
func UnmarshalUpdate(data []byte) (Update, error) {
	var message ConfigurationUpdate
	if err := unmarshal("configuration update", data, &message); err != nil {
		return Update{}, err
	}
	var update Update
	base := uint64(0)
	if len(message.GetSteps()) > 0 {
		base = message.GetSteps()[0].GetRevision() - 1
	}
	if message.GetSnapshot() != nil {
		snapshot, err := readSnapshot(message.GetSnapshot())
		if err != nil {
			return Update{}, err
		}
		update.snapshot = snapshot
		base = snapshot.Revision()
	}
	steps, err := readSteps(base, message.GetSteps())
	if err != nil {
		return Update{}, err
	}
	update.steps = steps
	return update, nil
}

// MarshalSnapshot encodes a complete configuration. Equal configurations give
// equal bytes.
func MarshalSnapshot(configuration *definer.Configuration) ([]byte, error) {
	return marshal(snapshotMessage(configuration))
}

// UnmarshalSnapshot decodes the output of [MarshalSnapshot].
func UnmarshalSnapshot(data []byte) (*definer.Configuration, error) {
	var message ConfigurationSnapshot
	if err := unmarshal("configuration snapshot", data, &message); err != nil {
		return nil, err
	}
	return readSnapshot(&message)
}

func snapshotMessage(configuration *definer.Configuration) *ConfigurationSnapshot {
	message := &ConfigurationSnapshot{
		Revision: configuration.Revision(),
		Lineage:  configuration.Lineage(),
		Pools:    configuration.Pools(),
		Chair:    configuration.Committee().Chair(),
		Origins:  map[uint64]*RevisionOrigin{},
	}
	for _, service := range configuration.Services() {
		message.Services = append(message.Services, serviceMessage(service))
	}
	for _, endpoint := range configuration.Endpoints() {
		message.Endpoints = append(message.Endpoints, endpointMessage(endpoint))
	}
	for _, rule := range configuration.Rules() {
		message.Rules = append(message.Rules, ruleMessage(rule))
	}
	for _, member := range configuration.Committee().Members() {
		message.Members = append(message.Members, memberMessage(member))
	}
	for object, mark := range configuration.Marks {
		message.Origins[mark.Revision()] = originMessage(mark.Origin())
		message.Marks = append(message.Marks, &ObjectMark{
			Kind: string(object.Kind()), Name: object.Name(), Revision: mark.Revision(),
		})
	}
	slices.SortFunc(message.Marks, func(left, right *ObjectMark) int {
		return cmp.Or(cmp.Compare(left.Kind, right.Kind), cmp.Compare(left.Name, right.Name))
	})
	return message
}

func readSnapshot(message *ConfigurationSnapshot) (*definer.Configuration, error) {
	var changes []definer.Change
	for _, pool := range message.GetPools() {
		changes = append(changes, definer.SetPool(pool))
	}
	for _, service := range message.GetServices() {
		changes = append(changes, definer.SetService(readService(service)))
	}
	for _, endpoint := range message.GetEndpoints() {
		changes = append(changes, definer.SetEndpoint(readEndpoint(endpoint)))
	}
	for _, rule := range message.GetRules() {
		changes = append(changes, definer.SetRule(readRule(rule)))
	}
	for _, member := range message.GetMembers() {
		changes = append(changes, definer.SetMember(readMember(member)))
	}
	if message.GetChair() != "" {
		changes = append(changes, definer.SetChair(message.GetChair()))
	}
	configuration, err := new(definer.Configuration).Apply(changes...)
	if err != nil {
		return nil, &DecodeError{message: "configuration snapshot", detail: "not whole", cause: err}
	}
	marks, err := readMarks(message)
	if err != nil {
		return nil, err
	}
	return configuration.WithRevision(message.GetRevision()).WithLineage(message.GetLineage()).WithMarks(marks), nil
}

func readMarks(message *ConfigurationSnapshot) (map[definer.Object]definer.Mark, error) {
	marks := make(map[definer.Object]definer.Mark, len(message.GetMarks()))
	for _, mark := range message.GetMarks() {
		origin, ok := message.GetOrigins()[mark.GetRevision()]
		if !ok {
			return nil, newDecodeError("configuration snapshot", "revision %d has no origin", mark.GetRevision())
		}
		object := definer.NewObject(definer.ObjectKind(mark.GetKind()), mark.GetName())
		marks[object] = definer.NewMark(mark.GetRevision(), readOrigin(origin))
	}
	return marks, nil
}
