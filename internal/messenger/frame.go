package messenger

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// Sizes of frames. maxFrameBytes leaves room for a store value of 1 MB.
const (
	maxFrameBytes      = 1<<20 + 64<<10
	maxHelloFrameBytes = 4 << 10
	frameHeaderBytes   = 4
)

// FrameError reports that a frame is not a message of the protocol.
type FrameError struct {
	text  string
	cause error
}

// Unwrap returns the cause, or nil.
func (frameError *FrameError) Unwrap() error { return frameError.cause }

// Error names the fault and the remedy.
func (frameError *FrameError) Error() string {
	text := "not a message of this protocol: " + frameError.text + "; check that the peer runs chivespoold"
	if frameError.cause != nil {
		text += ": " + frameError.cause.Error()
	}
	return text
}

// writeFrame sends message, prefixed with its length, in a single write.
func writeFrame(writer io.Writer, message proto.Message, maxBytes int) error {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderBytes, 128), message)
	if err != nil {
		return &FrameError{text: "can't be encoded", cause: err}
	}
	size := len(frame) - frameHeaderBytes
	if size > maxBytes {
		return &FrameError{text: fmt.Sprintf("%d bytes to send, at most %d allowed", size, maxBytes)}
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	_, err = writer.Write(frame)
	return err
}

// readFrame receives one message of up to maxBytes bytes. Its memory grows with
// the bytes received, not with the length that the header declares.
func readFrame(reader io.Reader, message proto.Message, maxBytes int) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(maxBytes) {
		return &FrameError{text: fmt.Sprintf("a length of %d bytes, at most %d allowed", size, maxBytes)}
	}
	body, err := io.ReadAll(io.LimitReader(reader, size))
	if err != nil {
		return err
	}
	if int64(len(body)) < size {
		return io.ErrUnexpectedEOF
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return &FrameError{text: "its bytes can't be decoded", cause: err}
	}
	return nil
}
