package encoder

// PeerVersion is the version of the protocol between entry hosts. It rises
// with each change that an older host would misread; added fields leave it.
const PeerVersion = 1

// PeerVersionOldest is the oldest version that a host still talks to.
const PeerVersionOldest = 1
