package encoder

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/detector"
	"github.com/chivespool/chivespool/internal/registrar"
)

// seedLedger returns a ledger with a segment, a finished claim and an open one.
func seedLedger() *registrar.Ledger {
	expires := time.Unix(1_800_000_000, 0)
	answer := registrar.NewAnswer(201, http.Header{"Location": {"/swaps/7"}}, []byte("landed"))
	return registrar.NewLedger(
		[]registrar.Segment{registrar.NewSegment(4, 9, expires)},
		[]registrar.Record{
			registrar.NewRecord(registrar.Key{1}, registrar.Digest{2}, registrar.ClaimID{3}, registrar.Done, answer, expires),
			registrar.NewRecord(registrar.Key{4}, registrar.Digest{5}, registrar.ClaimID{6}, registrar.Claimed, registrar.Answer{}, expires),
		})
}

func must(t testing.TB, data []byte, err error) []byte {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// FuzzLedger decodes arbitrary bytes. A ledger that decodes must be equal after
// being encoded and decoded again.
func FuzzLedger(f *testing.F) {
	data, err := EncodeLedger(seedLedger())
	f.Add(must(f, data, err))
	f.Add([]byte{})
	f.Add([]byte{0x12, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		ledger, err := DecodeLedger(data)
		if err != nil {
			return
		}
		first, err := EncodeLedger(ledger)
		first = must(t, first, err)
		again, err := DecodeLedger(first)
		if err != nil {
			t.Fatal(err)
		}
		if !ledger.SameRecords(again) || len(ledger.Segments()) != len(again.Segments()) {
			t.Fatalf("%x became %x", data, first)
		}
	})
}

// FuzzClaimMessages decodes arbitrary bytes as calls and replies of peers.
func FuzzClaimMessages(f *testing.F) {
	request := registrar.NewRequest(registrar.ActFinish, registrar.Key{1}, registrar.Digest{2},
		registrar.ClaimID{3}, registrar.NewAnswer(200, nil, []byte("body")))
	data, err := EncodeClaimCall(request)
	f.Add(must(f, data, err))
	data, err = EncodeClaimReply(registrar.NewDecision(registrar.Recorded, request.Answer()))
	f.Add(must(f, data, err))
	data, err = EncodeClaimFailure()
	f.Add(must(f, data, err))
	f.Fuzz(func(t *testing.T, data []byte) {
		if request, err := DecodeClaimCall(data); err == nil {
			first, err := EncodeClaimCall(request)
			again, err2 := DecodeClaimCall(must(t, first, err))
			if err2 != nil || again.Key() != request.Key() || !bytes.Equal(again.Answer().Body(), request.Answer().Body()) {
				t.Fatalf("%x became %x: %v", data, first, err2)
			}
		}
		if decision, err := DecodeClaimReply(data); err == nil && decision.Verdict() > registrar.Stale {
			t.Fatalf("%x became a decision of %d", data, decision.Verdict())
		}
	})
}

func TestFailureIsNoDecision(t *testing.T) {
	data, err := EncodeClaimFailure()
	if decision, err := DecodeClaimReply(must(t, data, err)); err == nil {
		t.Fatalf("failure decoded as decision %d", decision.Verdict())
	}
	// An empty message must not be decoded as a grant.
	if decision, err := DecodeClaimReply(nil); err == nil {
		t.Fatalf("empty message decoded as decision %d", decision.Verdict())
	}
}

// FuzzSuspects decodes arbitrary bytes as a list of suspects. A list that
// decodes must keep its length after being encoded and decoded again.
func FuzzSuspects(f *testing.F) {
	list := &detector.List{}
	limits := detector.NewLimits(time.Hour, 10)
	list.RecordCrash(detector.Fingerprint{1}, detector.ID{2}, time.Unix(1_800_000_000, 0), limits)
	list.AcquireTrial(detector.Fingerprint{1}, detector.ID{3}, time.Unix(1_800_000_000, 0))
	data, err := EncodeSuspects(list, 7)
	f.Add(must(f, data, err))
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		list, version, err := DecodeSuspects(data)
		if err != nil {
			return
		}
		first, err := EncodeSuspects(list, version)
		again, _, err2 := DecodeSuspects(must(t, first, err))
		if err2 != nil || len(again.Suspects()) != len(list.Suspects()) {
			t.Fatalf("%x became %x: %v", data, first, err2)
		}
	})
}
