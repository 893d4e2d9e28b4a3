package emulator

import (
	"testing"
	"testing/synctest"
	"time"
)

func write(keyspace *Keyspace, key string, lease uint64) (Outcome, uint64) {
	var change Change
	change.Write(key, []byte(key), lease)
	return keyspace.Commit(change)
}

// TestLeaseExpires checks that the keys of a lease are removed when it expires,
// but not while leases are paused, and that the removal is reported as a change.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var keyspace Keyspace
		lease := keyspace.Grant(time.Second)
		_, revision := write(&keyspace, "a", lease)
		time.Sleep(900 * time.Millisecond)
		if _, ok := keyspace.Renew(lease); !ok {
			t.Fatal("lease expired before its time to live was over")
		}
		keyspace.PauseLeases(true)
		time.Sleep(time.Minute)
		if pair, _ := keyspace.Pair("a"); pair.Revision() != revision {
			t.Error("lease expired while leases were paused")
		}
		keyspace.PauseLeases(false)
		time.Sleep(1100 * time.Millisecond)
		changes, now, _, ok := keyspace.Changes("", revision)
		if !ok || len(changes) != 1 || !changes[0].Removed() || changes[0].Revision() != now || now != revision+1 {
			t.Errorf("got changes %+v up to revision %d after the lease expired", changes, now)
		}
		if outcome, _ := write(&keyspace, "a", lease); outcome != LeaseEnded {
			t.Errorf("write with an expired lease: got outcome %v", outcome)
		}
	})
}

// TestRestore checks that a keyspace that is restored has lost the later writes and
// leases, reuses their numbers, and refuses a watch from a revision that it does not have.
func TestRestore(t *testing.T) {
	var keyspace Keyspace
	kept := keyspace.Grant(time.Minute)
	_, first := write(&keyspace, "a", kept)
	snapshot := keyspace.Snapshot()
	lost := keyspace.Grant(time.Minute)
	_, last := write(&keyspace, "a", lost)
	_, _, changed, _ := keyspace.Changes("", last)
	keyspace.Restore(snapshot)
	<-changed
	if _, _, _, ok := keyspace.Changes("", last); ok {
		t.Error("a watch from a lost revision was accepted")
	}
	if pair, revision := keyspace.Pair("a"); pair.Revision() != first || pair.Lease() != kept || revision != first {
		t.Errorf("restored %+v at %d, want the pair of %d", pair, revision, first)
	}
	_, renewed := keyspace.Renew(lost)
	_, revision := write(&keyspace, "b", 0)
	if again := keyspace.Grant(time.Minute); renewed || again != lost || revision != first+1 || keyspace.Era() != 1 {
		t.Errorf("renewed: %v, granted %d and wrote at %d in era %d; want lease %d and revision %d again", renewed, again, revision, keyspace.Era(), lost, first+1)
	}
}

// TestCommitIsAtomic checks that a commit changes nothing if one key is at
// another revision than expected.
func TestCommitIsAtomic(t *testing.T) {
	var keyspace Keyspace
	_, revision := write(&keyspace, "a", 0)
	var change Change
	change.Expect("a", revision)
	change.Expect("b", revision)
	change.Write("a", []byte("new"), 0)
	change.Remove("a")
	if outcome, at := keyspace.Commit(change); outcome != Conflicted || at != revision {
		t.Errorf("got outcome %v at revision %d", outcome, at)
	}
	var replacing Change
	replacing.Expect("a", revision)
	replacing.Expect("b", 0)
	replacing.Write("b", nil, 0)
	replacing.Remove("a")
	if outcome, at := keyspace.Commit(replacing); outcome != Committed || at != revision+1 {
		t.Errorf("got outcome %v at revision %d", outcome, at)
	}
	if pairs, more, _ := keyspace.Page("", "", 2); len(pairs) != 1 || more || pairs[0].Key() != "b" || pairs[0].Created() != revision+1 {
		t.Errorf("got pairs %+v", pairs)
	}
}
