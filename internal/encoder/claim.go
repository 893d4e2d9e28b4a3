// Package encoder turns the values that packages decide on into the bytes that
// go to other hosts and to the platform's store, and back. It is the only
// package that knows protobuf messages.
package encoder

import (
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivespool/chivespool/internal/registrar"
)

// ClaimError says that bytes are not a claim, a ledger or a ruling as a host
// of this system writes it.
type ClaimError struct {
	what  string
	cause error
}

// Unwrap returns the cause, or nil.
func (claimError *ClaimError) Unwrap() error { return claimError.cause }

// Error names what could not be read and the remedy.
func (claimError *ClaimError) Error() string {
	text := fmt.Sprintf("claims: %s can't be read; run releases that understand each other on all hosts", claimError.what)
	if claimError.cause != nil {
		text += ": " + claimError.cause.Error()
	}
	return text
}

// EncodeLedger returns the value of a shard. A sealed segment is a ledger
// without segments.
func EncodeLedger(ledger *registrar.Ledger) ([]byte, error) {
	message := &ClaimLedger{}
	for _, segment := range ledger.Segments() {
		message.Segments = append(message.Segments, &ClaimSegment{
			Number:         segment.Number(),
			Count:          int64(segment.Count()),
			ExpiresSeconds: segment.Expires().Unix(),
		})
	}
	for _, record := range ledger.Records() {
		message.Records = append(message.Records, recordMessage(record))
	}
	return proto.Marshal(message)
}

// DecodeLedger reads what [EncodeLedger] wrote; no bytes are an empty ledger.
func DecodeLedger(data []byte) (*registrar.Ledger, error) {
	var message ClaimLedger
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, &ClaimError{what: "ledger", cause: err}
	}
	segments := make([]registrar.Segment, 0, len(message.Segments))
	for _, segment := range message.Segments {
		expires := time.Unix(segment.GetExpiresSeconds(), 0)
		segments = append(segments, registrar.NewSegment(segment.GetNumber(), int(segment.GetCount()), expires))
	}
	records := make([]registrar.Record, 0, len(message.Records))
	for _, record := range message.Records {
		decoded, err := decodeRecord(record)
		if err != nil {
			return nil, err
		}
		records = append(records, decoded)
	}
	return registrar.NewLedger(segments, records), nil
}

// EncodeClaimCall returns request as it is forwarded to another host.
func EncodeClaimCall(request registrar.Request) ([]byte, error) {
	key, digest, id := request.Key(), request.Digest(), request.ID()
	return proto.Marshal(&ClaimCall{
		Act:    ClaimAct(request.Act()),
		Key:    key[:],
		Digest: digest[:],
		Id:     id[:],
		Answer: answerMessage(request.Answer()),
	})
}

// DecodeClaimCall reads what [EncodeClaimCall] wrote.
func DecodeClaimCall(data []byte) (registrar.Request, error) {
	var message ClaimCall
	if err := proto.Unmarshal(data, &message); err != nil {
		return registrar.Request{}, &ClaimError{what: "call", cause: err}
	}
	key, digest, id := message.GetKey(), message.GetDigest(), message.GetId()
	if !sized(key, digest, id) || ClaimAct_name[int32(message.GetAct())] == "" {
		return registrar.Request{}, &ClaimError{what: "call"}
	}
	return registrar.NewRequest(registrar.Act(message.GetAct()), registrar.Key(key),
		registrar.Digest(digest), registrar.ClaimID(id), decodeAnswer(message.GetAnswer())), nil
}

// EncodeClaimReply returns the reply to a forwarded request.
func EncodeClaimReply(ruling registrar.Ruling) ([]byte, error) {
	return proto.Marshal(&ClaimReply{
		Verdict: verdictMessages[ruling.Verdict()],
		Answer:  answerMessage(ruling.Answer()),
	})
}

// EncodeClaimFailure returns the reply of a host that got no ruling.
func EncodeClaimFailure() ([]byte, error) { return proto.Marshal(&ClaimReply{}) }

// DecodeClaimReply reads what [EncodeClaimReply] wrote. A failure of the other
// host, as [EncodeClaimFailure] writes it, is an error.
func DecodeClaimReply(data []byte) (registrar.Ruling, error) {
	var message ClaimReply
	if err := proto.Unmarshal(data, &message); err != nil {
		return registrar.Ruling{}, &ClaimError{what: "reply", cause: err}
	}
	for verdict, encoded := range verdictMessages {
		if message.GetVerdict() == encoded {
			return registrar.NewRuling(verdict, decodeAnswer(message.GetAnswer())), nil
		}
	}
	return registrar.Ruling{}, &ClaimError{what: "reply"}
}

// verdictMessages has no verdict for the zero value, so that no lost or cut
// message is read as a grant.
var verdictMessages = map[registrar.Verdict]ClaimVerdict{
	registrar.Granted:    ClaimVerdict_CLAIM_VERDICT_GRANTED,
	registrar.Unresolved: ClaimVerdict_CLAIM_VERDICT_UNRESOLVED,
	registrar.Recorded:   ClaimVerdict_CLAIM_VERDICT_RECORDED,
	registrar.Mismatch:   ClaimVerdict_CLAIM_VERDICT_MISMATCH,
	registrar.Full:       ClaimVerdict_CLAIM_VERDICT_FULL,
	registrar.Noted:      ClaimVerdict_CLAIM_VERDICT_NOTED,
	registrar.Stale:      ClaimVerdict_CLAIM_VERDICT_STALE,
}

func recordMessage(record registrar.Record) *ClaimRecord {
	key, digest, id := record.Key(), record.Digest(), record.ID()
	return &ClaimRecord{
		Key:            key[:],
		Digest:         digest[:],
		Id:             id[:],
		State:          ClaimState(record.State()),
		Answer:         answerMessage(record.Answer()),
		ExpiresSeconds: record.Expires().Unix(),
	}
}

func decodeRecord(record *ClaimRecord) (registrar.Record, error) {
	key, digest, id := record.GetKey(), record.GetDigest(), record.GetId()
	if !sized(key, digest, id) || ClaimState_name[int32(record.GetState())] == "" {
		return registrar.Record{}, &ClaimError{what: "record"}
	}
	return registrar.NewRecord(registrar.Key(key), registrar.Digest(digest), registrar.ClaimID(id),
		registrar.State(record.GetState()), decodeAnswer(record.GetAnswer()),
		time.Unix(record.GetExpiresSeconds(), 0)), nil
}

// answerMessage returns nil for an answer that was not kept.
func answerMessage(answer registrar.Answer) *ClaimAnswer {
	if !answer.Kept() {
		return nil
	}
	message := &ClaimAnswer{Status: int32(answer.Status()), Body: answer.Body()}
	for name, values := range answer.Header() {
		for _, value := range values {
			message.Header = append(message.Header, &ClaimField{Name: name, Value: value})
		}
	}
	return message
}

func decodeAnswer(message *ClaimAnswer) registrar.Answer {
	if message == nil {
		return registrar.Answer{}
	}
	header := make(http.Header, len(message.Header))
	for _, field := range message.Header {
		header.Add(field.GetName(), field.GetValue())
	}
	return registrar.NewAnswer(int(message.GetStatus()), header, message.GetBody())
}

// sized reports whether each of the hashes and identifiers has 16 bytes.
func sized(values ...[]byte) bool {
	for _, value := range values {
		if len(value) != len(registrar.Key{}) {
			return false
		}
	}
	return true
}
