package emulator

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// answerChunkBytes is how much of a pattern is made at once.
const answerChunkBytes = 32 << 10

// Answer is the body that a backend server sends for one request: a pattern
// that follows from the request's id, and a last line that names the id, the
// digest of the request's body and the length of the pattern. A reader that
// knows the request can tell a cut, doubled or foreign answer from a whole one.
type Answer struct {
	// state is the generator of the pattern.
	state uint64
	// left is how many bytes of the pattern are still to come.
	left int64
	// pending holds what was made and not read yet.
	pending []byte
	trailer []byte
	length  int64
}

// NewAnswer returns the answer with a pattern of size bytes to the request
// with id whose body has digest.
func NewAnswer(id string, size int64, digest uint64) *Answer {
	trailer := fmt.Appendf(nil, "\nend %s %016x %d\n", id, digest, size)
	return &Answer{
		state:   xxhash.Sum64String(id),
		left:    size,
		trailer: trailer,
		length:  size + int64(len(trailer)),
	}
}

// Length returns the length of the whole answer.
func (answer *Answer) Length() int64 { return answer.length }

// Read reads the next bytes of the answer.
func (answer *Answer) Read(data []byte) (int, error) {
	if len(answer.pending) == 0 {
		answer.fill()
	}
	if len(answer.pending) == 0 {
		return 0, io.EOF
	}
	count := copy(data, answer.pending)
	answer.pending = answer.pending[count:]
	return count, nil
}

// fill makes the next bytes pending: of the pattern, then the trailer.
func (answer *Answer) fill() {
	if answer.left == 0 {
		answer.pending = answer.trailer
		answer.trailer = nil
		return
	}
	size := min(answerChunkBytes, answer.left)
	chunk := make([]byte, 0, size+8)
	for int64(len(chunk)) < size {
		chunk = binary.LittleEndian.AppendUint64(chunk, answer.next())
	}
	answer.pending = chunk[:size]
	answer.left -= int64(len(answer.pending))
}

// next is the SplitMix64 generator.
func (answer *Answer) next() uint64 {
	answer.state += 0x9e3779b97f4a7c15
	mixed := answer.state
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// Verdict says what became of an answer on its way.
type Verdict int

// The verdicts on an answer.
const (
	Whole Verdict = iota
	// Cut means that the answer ended early.
	Cut
	// Doubled means that more came after the whole answer.
	Doubled
	// Wrong means that the answer belongs to another request or was changed.
	Wrong
)

// String returns the verdict in lower case.
func (verdict Verdict) String() string {
	return [...]string{"whole", "cut", "doubled", "wrong"}[verdict]
}

// Check reads body to its end and compares it with answer, which it uses up.
// The error is that of reading body, if any; the verdict then is Cut or Wrong.
func Check(answer *Answer, body io.Reader) (Verdict, error) {
	// A whole answer that fits is read at once, with room for a byte too many.
	size := min(answerChunkBytes, answer.length+1)
	got := make([]byte, size)
	want := make([]byte, size)
	for {
		count, err := body.Read(got)
		expected, _ := io.ReadFull(answer, want[:count])
		if !bytes.Equal(got[:expected], want[:expected]) {
			return Wrong, err
		}
		if expected < count {
			return Doubled, err
		}
		if err != nil {
			return endVerdict(answer, err)
		}
	}
}

// endVerdict judges an answer that agreed with the body up to its end.
func endVerdict(answer *Answer, err error) (Verdict, error) {
	rest, _ := answer.Read(make([]byte, 1))
	whole := errors.Is(err, io.EOF)
	if whole {
		err = nil
	}
	if rest > 0 || !whole {
		return Cut, err
	}
	return Whole, nil
}
