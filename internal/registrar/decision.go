package registrar

import "time"

// Act is the kind of a request to a ledger.
type Act int

// The acts.
const (
	// ActClaim requests the exclusive right to run the operation.
	ActClaim Act = iota
	// ActFinish records the answer of an operation that ran.
	ActFinish
	// ActRelease releases the claim of an operation that did not run.
	ActRelease
)

// Request is one request to a ledger.
type Request struct {
	act    Act
	key    Key
	digest Digest
	id     ClaimID
	// answer is set for ActFinish only.
	answer Answer
}

// NewRequest returns a request by the attempt id; answer is used by ActFinish.
func NewRequest(act Act, key Key, digest Digest, id ClaimID, answer Answer) Request {
	return Request{act: act, key: key, digest: digest, id: id, answer: answer}
}

// Act returns the kind of the request.
func (request Request) Act() Act { return request.act }

// Key returns the operation's key.
func (request Request) Key() Key { return request.key }

// Digest returns the digest of the caller's request.
func (request Request) Digest() Digest { return request.digest }

// ID returns the id of the requesting attempt.
func (request Request) ID() ClaimID { return request.id }

// Answer returns the answer to record.
func (request Request) Answer() Answer { return request.answer }

// Size returns an upper bound on the bytes that the request adds to a ledger.
func (request Request) Size() int { return recordOverhead + request.answer.size() }

// Verdict is the outcome of a request to a ledger.
type Verdict int

// The verdicts.
const (
	// Granted means that the attempt holds the claim.
	Granted Verdict = iota
	// Unresolved means that another attempt holds the claim and has recorded no
	// outcome.
	Unresolved
	// Recorded means that the operation ran before; its answer is in the ledger.
	Recorded
	// Mismatch means that the key was used with another request.
	Mismatch
	// Full means that the shard has reached its limit of records.
	Full
	// Noted means that the answer was recorded or the claim was released.
	Noted
	// Stale means that the attempt that settles does not hold the claim.
	Stale
)

// Decision is the verdict on a request with the recorded answer, if any.
type Decision struct {
	verdict Verdict
	// answer is set for Recorded only.
	answer Answer
}

// NewDecision returns a decision; answer is used with Recorded.
func NewDecision(verdict Verdict, answer Answer) Decision {
	return Decision{verdict: verdict, answer: answer}
}

// Verdict returns the verdict.
func (decision Decision) Verdict() Verdict { return decision.verdict }

// Answer returns the recorded answer.
func (decision Decision) Answer() Answer { return decision.answer }

// SealedRecords returns the newest record of a key from a shard's sealed segments.
type SealedRecords interface {
	Find(key Key) (Record, bool)
}

// Limits bound the number of records in a ledger and their age.
type Limits struct {
	retention time.Duration
	// maxRecords is the number of records at which a shard refuses new claims.
	maxRecords int
}

// NewLimits returns limits under which a record expires after retention and a
// shard holds at most maxRecords records.
func NewLimits(retention time.Duration, maxRecords int) Limits {
	return Limits{retention: retention, maxRecords: maxRecords}
}

// Apply applies a request and reports whether the ledger changed. A change takes
// effect only once the compare-and-swap from the version read succeeds.
func (ledger *Ledger) Apply(request Request, sealedRecords SealedRecords, now time.Time, limits Limits) (Decision, bool) {
	record, found := ledger.Find(request.key)
	if !found {
		record, found = sealedRecords.Find(request.key)
	}
	if found && !now.Before(record.expires) {
		found = false
	}
	if request.act == ActClaim {
		return ledger.claim(request, record, found, now, limits)
	}
	held := found && record.id == request.id
	if !held || record.state != Claimed {
		return decideClosed(record, held), false
	}
	if request.act == ActFinish {
		record.state = Done
		record.answer = request.answer
		ledger.put(record)
		return Decision{verdict: Noted}, true
	}
	ledger.release(record)
	return Decision{verdict: Noted}, true
}

// claim grants the key to the attempt, unless the key's record or a limit prevents
// it. found reports whether the key has a record.
func (ledger *Ledger) claim(request Request, record Record, found bool, now time.Time, limits Limits) (Decision, bool) {
	if found && record.state != Released {
		return record.decideClaim(request), false
	}
	if ledger.Count() >= limits.maxRecords || len(ledger.segments) >= maxSegments {
		return Decision{verdict: Full}, false
	}
	expires := now.Add(limits.retention).Truncate(time.Second).Add(time.Second)
	ledger.put(NewRecord(request.key, request.digest, request.id, Claimed, Answer{}, expires))
	return Decision{verdict: Granted}, true
}

// decideClaim returns the decision on a claim of a key that has this record.
func (record Record) decideClaim(request Request) Decision {
	switch {
	case record.digest != request.digest:
		return Decision{verdict: Mismatch}
	case record.state == Done:
		return Decision{verdict: Recorded, answer: record.answer}
	case record.id == request.id:
		return Decision{verdict: Granted}
	}
	return Decision{verdict: Unresolved}
}

// release allows the key of record to be claimed again. If there are sealed
// segments, it keeps a record in state Released, since a segment may hold an older
// record of the key.
func (ledger *Ledger) release(record Record) {
	if len(ledger.segments) == 0 {
		ledger.remove(record.key)
		return
	}
	record.state = Released
	ledger.put(record)
}

// decideClosed returns the decision on a settlement without an open claim: Noted
// if it repeats a settlement whose reply was lost, else Stale.
func decideClosed(record Record, held bool) Decision {
	if held && record.state != Claimed {
		return Decision{verdict: Noted}
	}
	return Decision{verdict: Stale}
}
