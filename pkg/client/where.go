package client

import "time"

// Where is the result of looking up the entry hosts of a service.
type Where struct {
	ServiceName string `json:"service"`
	// AddressList is in order of preference.
	AddressList []string `json:"addresses"`
	// HoldMs is how long the result may be cached, in milliseconds.
	HoldMs int64 `json:"hold-ms"`
}

// NewWhere returns a lookup result for service: the addresses in order of
// preference, which may be cached for hold.
func NewWhere(service string, addresses []string, hold time.Duration) Where {
	return Where{ServiceName: service, AddressList: addresses, HoldMs: hold.Milliseconds()}
}

// Addresses returns the entry hosts' addresses in order of preference.
func (where Where) Addresses() []string { return where.AddressList }

// Hold returns how long the result may be cached.
func (where Where) Hold() time.Duration { return time.Duration(where.HoldMs) * time.Millisecond }
