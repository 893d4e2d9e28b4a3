// Package encoder holds the messages that leave a process as protobuf: calls
// between entry hosts, the configuration and the claims in the platform's
// store. The *.pb.go files are generated from the *.proto files by
// `make generate`. Packages that decide do not import it.
package encoder

// PeerVersion is the version of the protocol between entry hosts. It rises
// with each change that an older host would misread; added fields leave it.
const PeerVersion = 1

// PeerVersionOldest is the oldest version that a host still talks to.
const PeerVersionOldest = 1
