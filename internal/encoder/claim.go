package encoder

import (
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivespool/chivespool/internal/registrar"
)

// ClaimError reports bytes that are not a valid claim, ledger or decision.
type ClaimError struct {
	message string
	cause   error
}

// Unwrap returns the cause, or nil.
func (claimError *ClaimError) Unwrap() error { return claimError.cause }

// Error returns the message's name and the remedy.
func (claimError *ClaimError) Error() string {
	text := fmt.Sprintf("claims: %s can't be read; run releases that understand each other on all hosts", claimError.message)
	if claimError.cause != nil {
		text += ": " + claimError.cause.Error()
	}
	return text
}

// EncodeLedger encodes the value of a shard. A sealed segment is encoded as a
// ledger without segments.
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

// DecodeLedger decodes the output of [EncodeLedger]. Empty data gives an empty
// ledger.
func DecodeLedger(data []byte) (*registrar.Ledger, error) {
	var message ClaimLedger
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, &ClaimError{message: "ledger", cause: err}
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

// EncodeClaimCall encodes a request to forward it to another host.
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

// DecodeClaimCall decodes the output of [EncodeClaimCall].
func DecodeClaimCall(data []byte) (registrar.Request, error) {
	var message ClaimCall
	if err := proto.Unmarshal(data, &message); err != nil {
		return registrar.Request{}, &ClaimError{message: "call", cause: err}
	}
	key, digest, id := message.GetKey(), message.GetDigest(), message.GetId()
	if !haveIDLength(key, digest, id) || ClaimAct_name[int32(message.GetAct())] == "" {
		return registrar.Request{}, &ClaimError{message: "call"}
	}
	return registrar.NewRequest(registrar.Act(message.GetAct()), registrar.Key(key),
		registrar.Digest(digest), registrar.ClaimID(id), decodeAnswer(message.GetAnswer())), nil
}

// EncodeClaimReply encodes the reply to a forwarded request.
func EncodeClaimReply(decision registrar.Decision) ([]byte, error) {
	return proto.Marshal(&ClaimReply{
		Verdict: verdictMessages[decision.Verdict()],
		Answer:  answerMessage(decision.Answer()),
	})
}

// EncodeClaimFailure encodes the reply of a host that obtained no decision.
func EncodeClaimFailure() ([]byte, error) { return proto.Marshal(&ClaimReply{}) }

// DecodeClaimReply decodes the output of [EncodeClaimReply]. It returns an error
// for the output of [EncodeClaimFailure].
func DecodeClaimReply(data []byte) (registrar.Decision, error) {
	var message ClaimReply
	if err := proto.Unmarshal(data, &message); err != nil {
		return registrar.Decision{}, &ClaimError{message: "reply", cause: err}
	}
	for verdict, encoded := range verdictMessages {
		if message.GetVerdict() == encoded {
			return registrar.NewDecision(verdict, decodeAnswer(message.GetAnswer())), nil
		}
	}
	return registrar.Decision{}, &ClaimError{message: "reply"}
}

// verdictMessages omits CLAIM_VERDICT_NONE, the zero value, so that an empty or
// truncated message is not decoded as a grant.
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
	if !haveIDLength(key, digest, id) || ClaimState_name[int32(record.GetState())] == "" {
		return registrar.Record{}, &ClaimError{message: "record"}
	}
	return registrar.NewRecord(registrar.Key(key), registrar.Digest(digest), registrar.ClaimID(id),
		registrar.State(record.GetState()), decodeAnswer(record.GetAnswer()),
		time.Unix(record.GetExpiresSeconds(), 0)), nil
}

// answerMessage returns nil for an answer that was not recorded.
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

// haveIDLength reports whether each key, digest or identifier has 16 bytes.
func haveIDLength(values ...[]byte) bool {
	for _, value := range values {
		if len(value) != len(registrar.Key{}) {
			return false
		}
	}
	return true
}
