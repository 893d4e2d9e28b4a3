package encoder

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/definer"
)

// changesFor returns the changes that create a committee, a number of services
// with a pool and a rule each, and a number of endpoints. After the committee,
// each element creates one object.
func changesFor(services, endpoints int) [][]definer.Change {
	key := make(ed25519.PublicKey, ed25519.PublicKeySize)
	all := [][]definer.Change{{definer.SetMember(definer.NewMember("anna", key)), definer.SetChair("anna")}}
	for index := range services {
		pool, service := fmt.Sprintf("pool-%d", index), fmt.Sprintf("service-%d", index)
		rule := definer.NewRule(fmt.Sprintf("rule-%d", index), service, "GET", "/exports",
			definer.Repeatable(true), definer.InLane(definer.Long), definer.WithDeadline(time.Minute))
		all = append(all, []definer.Change{definer.SetPool(pool)},
			[]definer.Change{definer.SetService(definer.NewService(service, pool))}, []definer.Change{definer.SetRule(rule)})
	}
	for index := range endpoints {
		place := definer.NewPlace("coast", fmt.Sprintf("coast-%d", index%4))
		address := fmt.Sprintf("10.0.%d.%d:8080", index/200, index%200+1)
		endpoint := definer.NewEndpoint(fmt.Sprintf("endpoint-%d", index), fmt.Sprintf("pool-%d", index%services), address, place, 4)
		all = append(all, []definer.Change{definer.SetEndpoint(endpoint)})
	}
	return all
}

func originOf(revision int) definer.Origin {
	voters := []string{"anna", "ben", "cleo"}
	return definer.NewOrigin(fmt.Sprintf("%016x", revision), "anna", time.UnixMilli(1_000_000), voters, definer.ByMajority)
}

// applyInSteps applies each element of all as a separate step.
func applyInSteps(t testing.TB, all [][]definer.Change) (*definer.Configuration, []definer.Step) {
	t.Helper()
	configuration := new(definer.Configuration)
	var steps []definer.Step
	for index, changes := range all {
		step := configuration.Step(changes, originOf(index))
		next, err := configuration.ApplyStep(step)
		if err != nil {
			t.Fatal(err)
		}
		configuration, steps = next, append(steps, step)
	}
	return configuration, steps
}

// smallConfiguration returns a configuration of a few objects and its steps,
// which use every verb.
func smallConfiguration(t testing.TB) (*definer.Configuration, []definer.Step) {
	t.Helper()
	return applyInSteps(t, append(changesFor(2, 6),
		[]definer.Change{definer.DrainEndpoint("endpoint-0")},
		[]definer.Change{definer.RestoreEndpoint("endpoint-0"), definer.DrainEndpoint("endpoint-2")},
		[]definer.Change{definer.RemoveObject(definer.NewObject(definer.KindEndpoint, "endpoint-1"))}))
}

func TestConfigurationRoundTrip(t *testing.T) {
	configuration, steps := smallConfiguration(t)
	data, err := MarshalUpdate(NewUpdate(configuration, nil))
	if err != nil {
		t.Fatal(err)
	}
	update, err := UnmarshalUpdate(data)
	if err != nil || !update.Snapshot().Equal(configuration) {
		t.Fatalf("snapshot changed in round trip: %v", err)
	}
	for object, mark := range configuration.Marks {
		if decoded, ok := update.Snapshot().Mark(object); !ok || decoded.Revision() != mark.Revision() || decoded.Origin().Author() != mark.Origin().Author() {
			t.Fatalf("mark of %s decoded as %v", object, decoded)
		}
	}
	head := arbiter.NewHead(0, nil, steps, []arbiter.Proposal{arbiter.NewProposal("id", "anna", 3,
		steps[1].Changes(), time.UnixMilli(5), []arbiter.Vote{arbiter.NewVote("ben", false)}, arbiter.NewRuling(false, "other"))},
		[]arbiter.Outcome{arbiter.NewOutcome("vote", arbiter.Voted, "id", 7, time.UnixMilli(6))})
	if data, err = MarshalHead(head); err != nil {
		t.Fatal(err)
	}
	decoded, err := UnmarshalHead(data)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprintf("%+v", decoded.Proposals()) != fmt.Sprintf("%+v", head.Proposals()) || fmt.Sprint(decoded.Outcomes()) != fmt.Sprint(head.Outcomes()) {
		t.Fatalf("got %+v, want %+v", decoded, head)
	}
	followed := new(definer.Configuration)
	for _, step := range decoded.Steps() {
		if followed, err = followed.ApplyStep(step); err != nil {
			t.Fatal(err)
		}
	}
	if !followed.Equal(configuration) {
		t.Fatal("steps do not lead to the same configuration")
	}
}

// TestTargetSnapshotFitsStore checks that the largest supported configuration
// stays well below the store's limit of 1 MB per value. It has 2,100 endpoints
// in 170 services, and each object was last changed in a different revision.
func TestTargetSnapshotFitsStore(t *testing.T) {
	all := changesFor(170, 2100)
	configuration, err := new(definer.Configuration).Apply(slices.Concat(all...)...)
	if err != nil {
		t.Fatal(err)
	}
	marks := map[definer.Object]definer.Mark{}
	steps := 0
	for index, changes := range all {
		marks[changes[0].ConflictObject()] = definer.NewMark(uint64(index+1), originOf(index))
		step := definer.NewStep(uint64(index+1), 1<<60, changes, originOf(index))
		steps += StepsSize(arbiter.NewHead(0, nil, []definer.Step{step}, nil, nil))
	}
	data, err := MarshalSnapshot(configuration.WithMarks(marks))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot of the target: %d bytes; a step: %d bytes on average", len(data), steps/len(all))
	if len(data) > 1<<20/2 {
		t.Fatalf("snapshot has %d bytes, want at most half of 1 MB", len(data))
	}
}

// FuzzConfiguration decodes arbitrary bytes as updates and heads. A value that
// decodes must encode without an error.
func FuzzConfiguration(f *testing.F) {
	configuration, steps := smallConfiguration(f)
	for _, update := range []Update{NewUpdate(configuration, nil), NewUpdate(nil, steps), {}} {
		data, err := MarshalUpdate(update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	head, err := MarshalHead(arbiter.NewHead(0, []uint64{1}, steps, nil, nil))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(head)
	f.Fuzz(func(t *testing.T, data []byte) {
		if update, err := UnmarshalUpdate(data); err == nil {
			if _, err := MarshalUpdate(update); err != nil {
				t.Fatal(err)
			}
			_, _ = new(definer.Configuration).Apply(changesOf(update)...)
		}
		if head, err := UnmarshalHead(data); err == nil {
			if _, err := MarshalHead(head); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func changesOf(update Update) []definer.Change {
	var changes []definer.Change
	for _, step := range update.Steps() {
		changes = append(changes, step.Changes()...)
	}
	return changes
}
