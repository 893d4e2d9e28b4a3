package encoder

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivespool/chivespool/internal/suspecter"
)

// SuspectError reports bytes that are not a valid list of suspects.
type SuspectError struct{ cause error }

// Unwrap returns the cause, or nil.
func (suspectError *SuspectError) Unwrap() error { return suspectError.cause }

// Error returns the fault and the remedy.
func (suspectError *SuspectError) Error() string {
	return fmt.Sprintf("suspects can't be read; run releases that understand each other on all hosts: %v", suspectError.cause)
}

// EncodeSuspects encodes a list with the version at which the store holds it; 0
// if the list is not in the store.
func EncodeSuspects(list *suspecter.List, version uint64) ([]byte, error) {
	message := &SuspectList{Version: version}
	for _, suspect := range list.Suspects() {
		message.Suspects = append(message.Suspects, suspectMessage(suspect))
	}
	return proto.Marshal(message)
}

// DecodeSuspects decodes the output of [EncodeSuspects]. Empty data gives an
// empty list.
func DecodeSuspects(data []byte) (*suspecter.List, uint64, error) {
	var message SuspectList
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, 0, &SuspectError{cause: err}
	}
	suspects := make([]suspecter.Suspect, 0, len(message.Suspects))
	for _, record := range message.Suspects {
		suspect, err := decodeSuspect(record)
		if err != nil {
			return nil, 0, err
		}
		suspects = append(suspects, suspect)
	}
	return suspecter.NewList(suspects), message.GetVersion(), nil
}

func suspectMessage(suspect suspecter.Suspect) *SuspectRecord {
	fingerprint := suspect.Fingerprint()
	record := &SuspectRecord{Fingerprint: fingerprint[:], UntilSeconds: suspect.Until().Unix()}
	for _, crash := range suspect.Crashes() {
		record.Crashes = append(record.Crashes, crash[:])
	}
	if trial := suspect.Trial(); trial != (suspecter.ID{}) {
		record.Trial = trial[:]
	}
	return record
}

func decodeSuspect(record *SuspectRecord) (suspecter.Suspect, error) {
	if !haveIDLength(record.GetFingerprint()) || !haveIDLength(record.GetCrashes()...) {
		return suspecter.Suspect{}, &SuspectError{}
	}
	if count := len(record.GetCrashes()); count == 0 || count > suspecter.MaxCrashes {
		return suspecter.Suspect{}, &SuspectError{}
	}
	var trial suspecter.ID
	if data := record.GetTrial(); len(data) > 0 {
		if !haveIDLength(data) {
			return suspecter.Suspect{}, &SuspectError{}
		}
		trial = suspecter.ID(data)
	}
	crashes := make([]suspecter.ID, 0, suspecter.MaxCrashes)
	for _, crash := range record.GetCrashes() {
		crashes = append(crashes, suspecter.ID(crash))
	}
	return suspecter.NewSuspect(suspecter.Fingerprint(record.GetFingerprint()), crashes, trial,
		time.Unix(record.GetUntilSeconds(), 0)), nil
}
