// Package encoder turns the values that travel or are kept into protobuf bytes
// and back. The packages that decide know nothing of it. What it decodes it
// checks, since it may come from another release or a broken peer: a bad
// message gives a [DecodeError], never a panic.
package encoder

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// DecodeError says that bytes are not the message that they should be.
type DecodeError struct {
	message string
	detail  string
	cause   error
}

// Unwrap returns the cause, or nil.
func (decodeError *DecodeError) Unwrap() error { return decodeError.cause }

// Error names the message, what is wrong and the remedy.
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

// unmarshal reads data into message, which is called name in errors.
func unmarshal(name string, data []byte, message proto.Message) error {
	if err := proto.Unmarshal(data, message); err != nil {
		return &DecodeError{message: name, detail: "not a protobuf message", cause: err}
	}
	return nil
}

// marshal writes message. It is deterministic, so that two hosts write the
// same snapshot of a revision.
func marshal(message proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return data, nil
}
