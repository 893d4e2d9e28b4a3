package router

import (
	"sync/atomic"

	"github.com/chivespool/chivespool/internal/definer"
)

// Slot is the right to run one request on an endpoint.
type Slot struct {
	endpoint definer.Endpoint
	released atomic.Bool
	// owner takes the slot back.
	owner slotOwner
}

// slotOwner takes back a slot that it gave out.
type slotOwner interface {
	takeBack(result Result)
}

// Endpoint returns the endpoint that the request may run on.
func (slot *Slot) Endpoint() definer.Endpoint { return slot.endpoint }

// Release ends the use of the slot. Only the first call has an effect.
func (slot *Slot) Release(result Result) {
	if slot.released.CompareAndSwap(false, true) {
		slot.owner.takeBack(result)
	}
}
