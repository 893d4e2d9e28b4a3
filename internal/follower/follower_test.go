package follower

import (
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// history returns the configurations of revisions 0 to count, each with one more
// pool than its predecessor, and the steps between them.
func history(t *testing.T, count int) ([]*definer.Configuration, []definer.Step) {
	t.Helper()
	configurations := []*definer.Configuration{new(definer.Configuration)}
	var steps []definer.Step
	for index := range count {
		name := string(rune('a' + index))
		origin := definer.NewOrigin(name, "anna", time.Unix(0, 0), nil, definer.ByMajority)
		step := configurations[index].Step([]definer.Change{definer.SetPool(name)}, origin)
		next, err := configurations[index].ApplyStep(step)
		if err != nil {
			t.Fatal(err)
		}
		configurations = append(configurations, next)
		steps = append(steps, step)
	}
	return configurations, steps
}

func TestRevisionNeverDecreases(t *testing.T) {
	configurations, steps := history(t, 5)
	var follower Follower
	for _, update := range []encoder.Update{
		encoder.NewUpdate(configurations[4], nil),
		encoder.NewUpdate(configurations[2], nil),
		encoder.NewUpdate(configurations[0], steps[:3]),
		encoder.NewUpdate(nil, steps[:2]),
		{},
	} {
		if err := follower.Adopt(update); err != nil {
			t.Fatal(err)
		}
		if got := follower.Current().Revision(); got != 4 {
			t.Fatalf("revision %d, want 4", got)
		}
	}
}

func TestUpdateSinceReachesCurrent(t *testing.T) {
	configurations, steps := history(t, 5)
	var ahead Follower
	if err := ahead.Adopt(encoder.NewUpdate(configurations[2], steps[2:])); err != nil {
		t.Fatal(err)
	}
	for since := range configurations {
		var behind Follower
		if err := behind.Adopt(encoder.NewUpdate(configurations[since], nil)); err != nil {
			t.Fatal(err)
		}
		behind.ApplyOffer(5, ahead.UpdateSince(uint64(since)))
		if !behind.Current().Equal(configurations[5]) {
			t.Fatalf("a peer at revision %d reached revision %d, want 5", since, behind.Current().Revision())
		}
	}
}

func TestDivergentStepsRejected(t *testing.T) {
	configurations, steps := history(t, 3)
	var follower Follower
	other := configurations[1].Step([]definer.Change{definer.SetPool("z")}, definer.Origin{})
	fork, err := configurations[1].ApplyStep(other)
	if err != nil {
		t.Fatal(err)
	}
	if err := follower.Adopt(encoder.NewUpdate(fork, nil)); err != nil {
		t.Fatal(err)
	}
	if err := follower.Adopt(encoder.NewUpdate(nil, steps[2:])); err == nil {
		t.Fatal("a step of another history was adopted")
	}
	if err := follower.Adopt(encoder.NewUpdate(configurations[3], nil)); err != nil || follower.Current().HasPool("z") {
		t.Fatalf("a snapshot of a higher revision was not adopted: %v", err)
	}
}
