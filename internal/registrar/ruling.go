package registrar

import "time"

// Act is what a request asks of a ledger.
type Act int

// The acts.
const (
	// ActClaim asks for the one right to run the operation.
	ActClaim Act = iota
	// ActFinish records the answer of an operation that ran.
	ActFinish
	// ActRelease gives the claim of an operation back that was not run.
	ActRelease
)

// Request is one request to a ledger.
type Request struct {
	act    Act
	key    Key
	digest Digest
	id     ClaimID
	// answer is for ActFinish.
	answer Answer
}

// NewRequest returns a request of the attempt id; answer is for ActFinish.
func NewRequest(act Act, key Key, digest Digest, id ClaimID, answer Answer) Request {
	return Request{act: act, key: key, digest: digest, id: id, answer: answer}
}

// Act returns what is asked.
func (request Request) Act() Act { return request.act }

// Key returns the operation's key.
func (request Request) Key() Key { return request.key }

// Digest returns the digest of the caller's request.
func (request Request) Digest() Digest { return request.digest }

// ID returns the attempt that asks.
func (request Request) ID() ClaimID { return request.id }

// Answer returns the answer to record.
func (request Request) Answer() Answer { return request.answer }

// Size bounds the bytes that the request adds to a ledger.
func (request Request) Size() int { return recordOverhead + request.answer.size() }

// Verdict is a ledger's reply to a request.
type Verdict int

// The verdicts.
const (
	// Granted means that the attempt holds the claim.
	Granted Verdict = iota
	// Unresolved means that another attempt holds it and has recorded nothing.
	Unresolved
	// Recorded means that the operation ran before; its answer is at hand.
	Recorded
	// Mismatch means that the key was used with another request.
	Mismatch
	// Full means that the shard holds as many records as it may.
	Full
	// Noted means that the outcome was recorded or the claim given back.
	Noted
	// Stale means that the attempt holds no claim to settle.
	Stale
)

// Ruling is a verdict with the answer that belongs to it.
type Ruling struct {
	verdict Verdict
	// answer is for Recorded.
	answer Answer
}

// NewRuling returns a ruling; answer is for Recorded.
func NewRuling(verdict Verdict, answer Answer) Ruling {
	return Ruling{verdict: verdict, answer: answer}
}

// Verdict returns the verdict.
func (ruling Ruling) Verdict() Verdict { return ruling.verdict }

// Answer returns the recorded answer.
func (ruling Ruling) Answer() Answer { return ruling.answer }

// Past finds records in the sealed segments of a shard, newest first.
type Past interface {
	Find(key Key) (Record, bool)
}

// Terms bound what a ledger holds.
type Terms struct {
	retention time.Duration
	// most is how many records a shard holds before it refuses new claims.
	most int
}

// NewTerms returns terms under which a record counts for retention and a shard
// holds at most most records.
func NewTerms(retention time.Duration, most int) Terms {
	return Terms{retention: retention, most: most}
}

// Rule decides on a request and reports whether the ledger changed. A change
// counts only once the ledger is written at the version it was read at.
func (ledger *Ledger) Rule(request Request, past Past, now time.Time, terms Terms) (Ruling, bool) {
	record, found := ledger.Find(request.key)
	if !found {
		record, found = past.Find(request.key)
	}
	if found && !now.Before(record.expires) {
		found = false
	}
	if request.act == ActClaim {
		return ledger.claim(request, record, found, now, terms)
	}
	held := found && record.id == request.id
	if !held || record.state != Claimed {
		return settled(record, held), false
	}
	if request.act == ActFinish {
		record.state = Done
		record.answer = request.answer
		ledger.put(record)
		return Ruling{verdict: Noted}, true
	}
	ledger.release(record)
	return Ruling{verdict: Noted}, true
}

// claim grants the key to the attempt, unless the record stands against it.
func (ledger *Ledger) claim(request Request, record Record, found bool, now time.Time, terms Terms) (Ruling, bool) {
	if found && record.state != Released {
		return record.against(request), false
	}
	if ledger.Count() >= terms.most || len(ledger.segments) >= maxSegments {
		return Ruling{verdict: Full}, false
	}
	expires := now.Add(terms.retention).Truncate(time.Second).Add(time.Second)
	ledger.put(NewRecord(request.key, request.digest, request.id, Claimed, Answer{}, expires))
	return Ruling{verdict: Granted}, true
}

// against returns the ruling on a claim of a key that has this record.
func (record Record) against(request Request) Ruling {
	switch {
	case record.digest != request.digest:
		return Ruling{verdict: Mismatch}
	case record.state == Done:
		return Ruling{verdict: Recorded, answer: record.answer}
	case record.id == request.id:
		return Ruling{verdict: Granted}
	}
	return Ruling{verdict: Unresolved}
}

// release lets the key be claimed again. While there are segments a mark stays
// behind, since one of them may hold an older record of the key.
func (ledger *Ledger) release(record Record) {
	if len(ledger.segments) == 0 {
		ledger.remove(record.key)
		return
	}
	record.state = Released
	ledger.put(record)
}

// settled rules on a settlement that finds no open claim of its own: one that
// was written before, its reply lost, is noted again.
func settled(record Record, held bool) Ruling {
	if held && record.state != Claimed {
		return Ruling{verdict: Noted}
	}
	return Ruling{verdict: Stale}
}
