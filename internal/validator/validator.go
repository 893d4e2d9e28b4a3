// Package validator decides whether a response received over HTTP/1.1 is valid and
// complete: for package sender, which reads the responses of endpoints line by line, and for
// the clients that read responses with net/http. It does no I/O.
//
// It is stricter than net/http, which accepts names of fields that contain spaces and
// joins a line that begins with a space to the field before it.
package validator

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the error for a response that violates HTTP. Nothing that follows on its
// connection can be trusted.
var ErrInvalid = errors.New("the answer is not valid HTTP; check the server that sent it")

// errNotHTTP is the error for bytes that are no response at all. The attempt is treated
// as one whose connection broke.
var errNotHTTP = errors.New("the answer does not begin with an HTTP/1 status line; check that the address is a backend server's")

// maxQuoted is how many characters of an invalid name an error quotes.
const maxQuoted = 40

// Head checks the head of a response line by line. The zero value expects the status
// line.
type Head struct {
	// started is true after the status line.
	started bool
	// noCodings is true if the version, HTTP/1.0, has no transfer codings.
	noCodings bool
}

// Check checks the next line, without its line feed, and reports whether it ends the
// head.
func (head *Head) Check(line []byte) (done bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !head.started {
		head.started = true
		return false, head.checkStatusLine(string(line))
	}
	if len(line) == 0 {
		return true, nil
	}
	if name, _, _ := bytes.Cut(line, []byte(":")); head.noCodings && strings.EqualFold(string(name), "Transfer-Encoding") {
		return false, fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrInvalid)
	}
	return false, checkField(line)
}

func (head *Head) checkStatusLine(line string) error {
	protocol, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	major, minor, ok := http.ParseHTTPVersion(protocol)
	status, err := strconv.ParseUint(code, 10, 0)
	if !ok || major != 1 || len(code) != len("200") || err != nil {
		return errNotHTTP
	}
	head.noCodings = minor == 0
	if !httpguts.ValidHeaderFieldValue(rest) {
		return fmt.Errorf("%w: a control byte in the status line", ErrInvalid)
	}
	return checkStatus(int(status))
}

// The lowest status code of interim responses, and the highest of final ones.
const (
	minInterimStatus = 100
	maxFinalStatus   = 599
)

// checkStatus checks the status code of a final or an interim response. No request asks
// for another protocol, so that 101 is invalid, too.
func checkStatus(status int) error {
	if status < minInterimStatus || status > maxFinalStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	}
	return nil
}

// checkField checks a line with a field. Its errors don't contain values, which may be
// secret.
func checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return fmt.Errorf("%w: a line continues the field before it", ErrInvalid)
	case !ok:
		return fmt.Errorf("%w: a line has no colon", ErrInvalid)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return fmt.Errorf("%w: a control byte in the value of field %.*q", ErrInvalid, maxQuoted, name)
	}
	return checkName(string(name))
}

func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: field name %.*q", ErrInvalid, maxQuoted, name)
	}
	return nil
}

// CheckHead checks the status and the names of the fields of a response that net/http has
// parsed. It can't find folded lines.
func CheckHead(response *http.Response) error {
	for name := range response.Header {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return checkStatus(response.StatusCode)
}

// CheckTrailer checks a line of the trailer section of a body in chunks, without its line
// feed, and reports whether it ends the section. As in chunks, a line feed must follow a
// carriage return.
func CheckTrailer(line []byte) (done bool, err error) {
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return false, fmt.Errorf("%w: line feed without a carriage return in a trailer", ErrInvalid)
	}
	if len(line) == 0 {
		return true, nil
	}
	return false, checkField(line)
}

// CheckEnd returns nil if a body that ends with its connection is complete, that is, if the
// peer ended the connection in order. WriteErr is the first error of a write on the
// connection, or nil. PeerEnded is true if the peer is known to have ended its side.
//
// A socket reports a failure once, to the first call. If a write gets it, reads find the
// end of the connection as if it were in order. After a reset by a peer that had ended its
// side in order before, Linux reports EPIPE to the write instead; a time-out has the same
// error in both cases.
func CheckEnd(writeErr error, peerEnded bool) error {
	if peerEnded {
		return nil
	}
	for _, harmless := range []error{nil, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(writeErr, harmless) {
			return nil
		}
	}
	return fmt.Errorf("the connection broke before the end of the answer: %w", writeErr)
}
