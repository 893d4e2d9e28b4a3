package dispatcher

import (
	"context"
	"crypto/sha256"
)

// Quarantiner knows the requests that crash the backend servers that run them.
type Quarantiner interface {
	// Admit returns whether a request must run isolated. Its error is a
	// *refuser.Refusal where the request may not run.
	Admit(ctx context.Context, fingerprint [sha256.Size]byte) (isolated bool, err error)
	// Crashed notes that a backend server died under a request. It returns
	// once the fleet can know of it, or when ctx ends.
	Crashed(ctx context.Context, fingerprint [sha256.Size]byte)
	// Completed notes that an isolated request was answered.
	Completed(fingerprint [sha256.Size]byte)
}

// admit asks whether the call may run, and how, before each attempt.
func (dispatcher *Dispatcher) admit(ctx context.Context, call *call) error {
	if dispatcher.quarantiner == nil {
		return nil
	}
	isolated, err := dispatcher.quarantiner.Admit(ctx, call.Fingerprint())
	if err != nil {
		return call.attempts.adjust(asRefusal(err))
	}
	call.isolated = isolated
	return nil
}
