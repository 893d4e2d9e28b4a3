package dispatcher

import (
	"context"
	"crypto/sha256"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/quarantiner"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Quarantiner tracks requests that crash the backend servers running them, as
// packages quarantiner and verifier do. Each request that Admit accepts is ended by
// exactly one of the other methods.
type Quarantiner interface {
	Admit(ctx context.Context, fingerprint [sha256.Size]byte) (quarantiner.Admission, error)
	Completed(fingerprint [sha256.Size]byte)
	// Crashed reports that the connection to the backend server was lost during run.
	Crashed(ctx context.Context, run Run) error
	Unsent(fingerprint [sha256.Size]byte)
	OutcomeUnknown(fingerprint [sha256.Size]byte)
}

// Run is an admitted attempt of a request at an endpoint.
type Run struct {
	fingerprint [sha256.Size]byte
	admission   quarantiner.Admission
	endpoint    definer.Endpoint
}

// NewRun returns the attempt of the request with fingerprint that was admitted by
// admission and sent to endpoint.
func NewRun(fingerprint [sha256.Size]byte, admission quarantiner.Admission, endpoint definer.Endpoint) Run {
	return Run{fingerprint: fingerprint, admission: admission, endpoint: endpoint}
}

// Fingerprint returns the fingerprint of the request.
func (run Run) Fingerprint() [sha256.Size]byte { return run.fingerprint }

// Admission returns the admission of the attempt.
func (run Run) Admission() quarantiner.Admission { return run.admission }

// Endpoint returns the endpoint that the attempt was sent to.
func (run Run) Endpoint() definer.Endpoint { return run.endpoint }

// QuarantinerAdapter adapts a [quarantiner.Quarantiner] to the Quarantiner interface:
// each lost connection counts as a crash.
type QuarantinerAdapter struct{ *quarantiner.Quarantiner }

// Crashed records that a backend server crashed, and waits until other hosts know it.
func (quarantinerAdapter QuarantinerAdapter) Crashed(ctx context.Context, run Run) error {
	return quarantinerAdapter.Quarantiner.Crashed(ctx, run.fingerprint)
}

// admit asks before each attempt whether the call may run, and whether it must be
// isolated.
func (dispatcher *Dispatcher) admit(ctx context.Context, call *call) (quarantiner.Admission, error) {
	if dispatcher.quarantiner == nil {
		return quarantiner.Admission{}, nil
	}
	admission, err := dispatcher.quarantiner.Admit(ctx, call.fingerprint)
	if err != nil {
		return quarantiner.Admission{}, call.attempts.adjust(asRefusal(err))
	}
	call.isolated = admission.Isolated()
	return admission, nil
}

// endAdmission ends the admission of run; failure is nil if the answer was complete.
func (dispatcher *Dispatcher) endAdmission(call *call, run Run, failure *Failure) {
	quarantiner := dispatcher.quarantiner
	switch {
	case quarantiner == nil:
	case failure == nil:
		quarantiner.Completed(run.fingerprint)
	case !failure.sent || failure.refused():
		quarantiner.Unsent(run.fingerprint)
	case failure.cause == ConnectionLost || failure.cause == Malformed:
		dispatcher.reportCrash(call, run)
	default:
		quarantiner.OutcomeUnknown(run.fingerprint)
	}
}

// reportCrash reports the loss of the connection to the call's backend server. Where the
// quarantiner waits until the fleet knows it, a repeated request is already suspect.
func (dispatcher *Dispatcher) reportCrash(call *call, run Run) {
	ctx, cancel := context.WithTimeout(context.Background(), crashRecordTimeout)
	defer cancel()
	if err := dispatcher.quarantiner.Crashed(ctx, run); err != nil {
		dispatcher.recorder.Record(recorder.KindSuspect, call.service, call.id+" "+err.Error())
	}
}
