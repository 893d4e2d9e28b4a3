// Package encoder converts the values that hosts exchange or keep in the
// platform's store to protobuf bytes and back, for the packages that send or
// store them; packages that make decisions do not depend on it.
//
// Decoders validate their input, since it may come from another release or a
// faulty peer: invalid bytes give an error, never a panic. The package does no
// I/O and starts no goroutines.
package encoder

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// DecodeError reports bytes that are not a valid message of the expected kind.
type DecodeError struct {
	message string
	detail  string
	cause   error
}

// Unwrap returns the cause, or nil.
func (decodeError *DecodeError) Unwrap() error { return decodeError.cause }

// Error returns the message's name, the fault and the remedy.
func (decodeError *DecodeError) Error() string {
	text := fmt.Sprintf("decode %s: %s; check that all hosts run releases that fit together", decodeError.message, decodeError.detail)
	if decodeError.cause != nil {
		text += ": " + decodeError.cause.Error()
	}
	return text
}

func newDecodeError(message, format string, values ...any) error {
	return &DecodeError{message: message, detail: fmt.Sprintf(format, values...)}
}

// unmarshal decodes data into message; errors call it name.
func unmarshal(name string, data []byte, message proto.Message) error {
	if err := proto.Unmarshal(data, message); err != nil {
		return &DecodeError{message: name, detail: "not a protobuf message", cause: err}
	}
	return nil
}

// marshal encodes message deterministically, so that all hosts write the same
// snapshot for a revision.
func marshal(message proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return data, nil
}
