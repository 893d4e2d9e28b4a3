package dispatcher

import (
	"context"
	"crypto/sha256"

	"github.com/chivespool/chivespool/internal/quarantiner"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Quarantiner knows the requests that crash the backend servers that run
// them, as package quarantiner does. Each request that Admit lets through is
// ended by exactly one of the other methods.
type Quarantiner interface {
	Admit(ctx context.Context, fingerprint [sha256.Size]byte) (quarantiner.Admission, error)
	Completed(fingerprint [sha256.Size]byte)
	Crashed(ctx context.Context, fingerprint [sha256.Size]byte) error
	Unsent(fingerprint [sha256.Size]byte)
	Lost(fingerprint [sha256.Size]byte)
}

// admit asks whether the call may run, and how, before each attempt.
func (dispatcher *Dispatcher) admit(ctx context.Context, call *call) error {
	if dispatcher.quarantiner == nil {
		return nil
	}
	admission, err := dispatcher.quarantiner.Admit(ctx, call.fingerprint)
	if err != nil {
		return call.attempts.adjust(asRefusal(err))
	}
	call.isolated = admission.Isolated()
	return nil
}

// acquit ends an admission; failure is nil for a whole answer.
func (dispatcher *Dispatcher) acquit(call *call, failure *Failure) {
	quarantiner := dispatcher.quarantiner
	switch {
	case quarantiner == nil:
	case failure == nil:
		quarantiner.Completed(call.fingerprint)
	case !failure.sent || failure.refused():
		quarantiner.Unsent(call.fingerprint)
	case failure.cause == Lost || failure.cause == Malformed:
		dispatcher.crashed(call)
	default:
		quarantiner.Lost(call.fingerprint)
	}
}

// crashed waits until the fleet can know that the call's backend server died
// under it, so that a re-send meets the suspicion.
func (dispatcher *Dispatcher) crashed(call *call) {
	ctx, cancel := context.WithTimeout(context.Background(), crashRecordTimeout)
	defer cancel()
	if err := dispatcher.quarantiner.Crashed(ctx, call.fingerprint); err != nil {
		dispatcher.recorder.Record(recorder.KindSuspect, call.service, call.id+" "+err.Error())
	}
}
