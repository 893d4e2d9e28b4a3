package client

import "time"

// Where is the answer of an entry host to a caller that asks where to go.
type Where struct {
	ServiceName string `json:"service"`
	// AddressList is in the order to try.
	AddressList []string `json:"addresses"`
	// HoldMs is how long the answer may be kept, in milliseconds.
	HoldMs int64 `json:"hold-ms"`
}

// NewWhere returns the answer for service: the addresses in the order to try,
// to be kept for hold.
func NewWhere(service string, addresses []string, hold time.Duration) Where {
	return Where{ServiceName: service, AddressList: addresses, HoldMs: hold.Milliseconds()}
}

// Addresses returns the entry hosts' addresses in the order to try.
func (where Where) Addresses() []string { return where.AddressList }

// Hold returns how long the answer may be kept.
func (where Where) Hold() time.Duration { return time.Duration(where.HoldMs) * time.Millisecond }
