package emulator

import "net/http"

// Discarder drops an answer whose effect is wanted and whose text is not.
type Discarder struct{ header http.Header }

// NewDiscarder returns a writer of an answer that nobody reads.
func NewDiscarder() *Discarder { return &Discarder{header: make(http.Header)} }

// Header returns headers that nobody reads.
func (discarder *Discarder) Header() http.Header { return discarder.header }

// Write drops data.
func (*Discarder) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (*Discarder) WriteHeader(int) {}
