package emulator

import "net/http"

// Discarder is an http.ResponseWriter that discards the response. It serves
// calls that take effect while their reply is lost.
type Discarder struct{ header http.Header }

// NewDiscarder returns a writer with empty headers.
func NewDiscarder() *Discarder { return &Discarder{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (discarder *Discarder) Header() http.Header { return discarder.header }

// Write discards data.
func (*Discarder) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (*Discarder) WriteHeader(int) {}
