package encoder

// PeerVersion is the version of the protocol between entry hosts. It increases
// with each change that an older host would misread; an added field does not
// change it.
const PeerVersion = 1

// PeerVersionOldest is the oldest supported version of a peer.
const PeerVersionOldest = 1
