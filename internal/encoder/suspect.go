package encoder

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivespool/chivespool/internal/detector"
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
func EncodeSuspects(list *detector.List, version uint64) ([]byte, error) {
	message := &SuspectList{Version: version}
	for _, suspect := range list.Suspects() {
		message.Suspects = append(message.Suspects, suspectMessage(suspect))
	}
	return proto.Marshal(message)
}

// DecodeSuspects decodes the output of [EncodeSuspects]. Empty data gives an
// empty list.
func DecodeSuspects(data []byte) (*detector.List, uint64, error) {
	var message SuspectList
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, 0, &SuspectError{cause: err}
	}
	suspects := make([]detector.Suspect, 0, len(message.Suspects))
	for _, record := range message.Suspects {
		suspect, err := decodeSuspect(record)
		if err != nil {
			return nil, 0, err
		}
		suspects = append(suspects, suspect)
	}
	return detector.NewList(suspects), message.GetVersion(), nil
}

func suspectMessage(suspect detector.Suspect) *SuspectRecord {
	fingerprint := suspect.Fingerprint()
	record := &SuspectRecord{Fingerprint: fingerprint[:], UntilSeconds: suspect.Until().Unix()}
	for _, crash := range suspect.Crashes() {
		record.Crashes = append(record.Crashes, crash[:])
	}
	if trial := suspect.Trial(); trial != (detector.ID{}) {
		record.Trial = trial[:]
	}
	return record
}

func decodeSuspect(record *SuspectRecord) (detector.Suspect, error) {
	if !haveIDLength(record.GetFingerprint()) || !haveIDLength(record.GetCrashes()...) {
		return detector.Suspect{}, &SuspectError{}
	}
	if count := len(record.GetCrashes()); count == 0 || count > detector.MaxCrashes {
		return detector.Suspect{}, &SuspectError{}
	}
	var trial detector.ID
	if data := record.GetTrial(); len(data) > 0 {
		if !haveIDLength(data) {
			return detector.Suspect{}, &SuspectError{}
		}
		trial = detector.ID(data)
	}
	crashes := make([]detector.ID, 0, detector.MaxCrashes)
	for _, crash := range record.GetCrashes() {
		crashes = append(crashes, detector.ID(crash))
	}
	return detector.NewSuspect(detector.Fingerprint(record.GetFingerprint()), crashes, trial,
		time.Unix(record.GetUntilSeconds(), 0)), nil
}
