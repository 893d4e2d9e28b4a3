package launcher

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/platform"
)

// Times of callers.
const (
	// openInterval is how often a caller that waits checks that its connection is open.
	openInterval = 50 * time.Millisecond
	// callerTimeout is when a caller gives up its connection, from the stop.
	callerTimeout = 2 * graceTime
	// dialTimeout is the time that a caller allows for a new connection.
	dialTimeout = time.Second
)

// uploadParts is the number of parts in which a body is sent that takes some time.
const uploadParts = 8

// requestPlan is one request of a caller. Times are from the stop.
type requestPlan struct {
	id string
	// route is many, once or few.
	route string
	// begins is when the first byte is sent, but not before the answer to the request
	// before on a connection without pipelining. The last byte is sent upload later.
	begins, upload time.Duration
	// splitsHead is true if the first part ends within the head.
	splitsHead bool
	// bodyBytes is the length of the body; 0 makes a GET.
	bodyBytes int
	// chunked is true if the body is sent in chunks.
	chunked bool
	// work and form are what the endpoint does.
	work     time.Duration
	form     answerForm
	deadline time.Duration
}

// repeatable reports whether the request may run more than once.
func (requestPlan requestPlan) repeatable() bool { return requestPlan.route == "many" }

// parts returns the parts in which the request is sent.
func (requestPlan requestPlan) parts() ([][]byte, error) {
	method := http.MethodPost
	if requestPlan.bodyBytes == 0 {
		method = http.MethodGet
	}
	body := bytes.Repeat([]byte("x"), requestPlan.bodyBytes)
	target := "/" + requestPlan.route + "/?" + query(requestPlan.work, requestPlan.form)
	request, err := platform.NewClientRequest(requestPlan.id, method, hostName, target, body, requestPlan.deadline)
	if err != nil {
		return nil, err
	}
	if requestPlan.chunked {
		var chunks []io.Reader
		for index := range uploadParts {
			chunks = append(chunks, bytes.NewReader(body[index*len(body)/uploadParts:(index+1)*len(body)/uploadParts]))
		}
		request.Body, request.ContentLength = io.NopCloser(io.MultiReader(chunks...)), -1
	}
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return nil, err
	}
	if requestPlan.upload == 0 {
		return [][]byte{message.Bytes()}, nil
	}
	head := bytes.Index(message.Bytes(), []byte("\r\n\r\n")) + len("\r\n\r\n")
	if requestPlan.splitsHead || head == message.Len() {
		head /= 2
	}
	first, rest := message.Bytes()[:head], message.Bytes()[head:]
	parts := [][]byte{first}
	for index := range uploadParts {
		parts = append(parts, rest[index*len(rest)/uploadParts:(index+1)*len(rest)/uploadParts])
	}
	return parts, nil
}

// callerPlan is one connection of a caller.
type callerPlan struct {
	// kind names the stage that the plan puts beside the stop.
	kind string
	// opens is when the connection is opened, from the stop.
	opens     time.Duration
	pipelined bool
	requests  []requestPlan
}

// callerRequest is a request and what its caller saw.
type callerRequest struct {
	requestPlan
	// begun is true once the first byte has been sent.
	begun atomic.Bool
	// answered is closed once a whole answer has come.
	answered chan struct{}
	// closes is true if the answer announces that the connection closes.
	closes atomic.Bool

	// first is the time before the first byte was sent, and last the time after the last
	// one was; zero if it was not. The caller's task sets them.
	first, last time.Time
	// openAfterLast is true if the connection was open after the last byte was sent.
	openAfterLast bool
	writeErr      error

	// status is the answer's status, which came at statusAt; 0 without an answer. The
	// caller's reading task sets it and the fields below.
	status   int
	statusAt time.Time
	// endedAt is when the answer ended, with readErr if it is not whole.
	endedAt time.Time
	readErr error
	// wrong is what is wrong with the answer; empty if nothing is.
	wrong string
}

// caller is a caller with one connection, which it uses as its plan says. One task sends
// and one reads.
type caller struct {
	site     *stopSite
	plan     callerPlan
	requests []*callerRequest
	conn     *net.TCPConn
	// connectErr is why there is no connection.
	connectErr error
	// ended is closed when the reading task has ended.
	ended chan struct{}
	// endedAt is when the connection ended, and endErr how; nil if the caller closed it.
	endedAt time.Time
	endErr  error
	// openAt is the latest time at which the connection is known to have been open.
	openAt time.Time
}

func newCaller(site *stopSite, plan callerPlan) *caller {
	caller := &caller{site: site, plan: plan, ended: make(chan struct{})}
	for _, request := range plan.requests {
		caller.requests = append(caller.requests, &callerRequest{requestPlan: request, answered: make(chan struct{})})
	}
	return caller
}

// run opens the connection, sends the requests and waits until the connection has ended.
func (caller *caller) run() {
	defer caller.site.tasks.Done()
	time.Sleep(time.Until(caller.site.stop.Add(caller.plan.opens)))
	conn, err := net.DialTimeout("tcp", caller.site.address, dialTimeout)
	if err != nil {
		caller.connectErr = err
		return
	}
	caller.conn = conn.(*net.TCPConn)
	go caller.loop()
	for index, request := range caller.requests {
		if !caller.awaitTurn(index) || !caller.send(request) {
			break
		}
	}
	<-caller.ended
}

// awaitTurn waits until a request may begin. It returns false if the connection ends
// before or the gateway has announced that it will.
func (caller *caller) awaitTurn(index int) bool {
	if index > 0 && !caller.plan.pipelined {
		select {
		case <-caller.requests[index-1].answered:
		case <-caller.ended:
			return false
		}
	}
	if !caller.pause(caller.requests[index].begins) {
		return false
	}
	for _, earlier := range caller.requests[:index] {
		if earlier.closes.Load() {
			return false
		}
	}
	return true
}

// pause waits until a time from the stop. It returns false if the connection ends before.
func (caller *caller) pause(until time.Duration) bool {
	timer := time.NewTimer(time.Until(caller.site.stop.Add(until)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-caller.ended:
		return false
	}
}

// send sends the parts of a request over the time that its upload takes. It returns false
// if the request can't be sent whole or is answered before.
func (caller *caller) send(request *callerRequest) bool {
	parts, err := request.parts()
	if err != nil {
		request.writeErr = err
		return false
	}
	request.first = time.Now()
	request.begun.Store(true)
	begins := request.first.Sub(caller.site.stop)
	for index, part := range parts {
		if index > 0 && !caller.pause(begins+request.upload*time.Duration(index)/time.Duration(len(parts)-1)) {
			return false
		}
		if request.closes.Load() {
			return false
		}
		if _, request.writeErr = caller.conn.Write(part); request.writeErr != nil {
			return false
		}
	}
	request.last = time.Now()
	request.openAfterLast = caller.isOpen()
	return true
}

// isOpen reports whether the connection is open and nothing waits to be read: neither the
// gateway's end of it nor a reset has arrived.
func (caller *caller) isOpen() bool {
	raw, err := caller.conn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, peekErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

// errStillOpen is the error of reading from a connection that stays open long after the
// gateway's process should have ended.
var errStillOpen = errors.New("the connection stays open")

// Read implements io.Reader for the reading task. It notes that the connection is open
// while nothing arrives.
func (caller *caller) Read(buffer []byte) (int, error) {
	for {
		now := time.Now()
		if now.After(caller.site.stop.Add(callerTimeout)) {
			return 0, errStillOpen
		}
		if err := caller.conn.SetReadDeadline(now.Add(openInterval)); err != nil {
			return 0, err
		}
		count, err := caller.conn.Read(buffer)
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		if now := time.Now(); caller.isOpen() {
			caller.openAt = now
		}
	}
}

// loop reads the answers until all have come or the connection ends.
func (caller *caller) loop() {
	defer close(caller.ended)
	defer func() { _ = caller.conn.Close() }()
	defer func() { caller.endedAt = time.Now() }()
	reader := bufio.NewReader(caller)
	for _, request := range caller.requests {
		if _, caller.endErr = reader.Peek(1); caller.endErr != nil {
			return
		}
		if !request.begun.Load() {
			request.wrong = "bytes came though no request waited"
		}
		if caller.endErr = request.read(reader); caller.endErr != nil {
			return
		}
		close(request.answered)
	}
}

// read reads the answer.
func (callerRequest *callerRequest) read(reader *bufio.Reader) error {
	defer func() { callerRequest.endedAt = time.Now() }()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		callerRequest.readErr = err
		return err
	}
	callerRequest.status, callerRequest.statusAt = response.StatusCode, time.Now()
	callerRequest.closes.Store(response.Close)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		callerRequest.readErr = err
		return err
	}
	if response.StatusCode != http.StatusOK {
		return nil
	}
	if _, id, ok := platform.Signature(response.Header); !ok || id != callerRequest.id {
		callerRequest.wrong = "the answer is another request's"
	}
	if !bytes.Equal(body, answerBody(callerRequest.id)) {
		callerRequest.wrong = "the body is not the endpoint's"
	}
	return nil
}

// class is how a request ended.
type class string

// Classes of requests that ended as promised.
const (
	classAnswered class = "answered"
	// classRefused has a status that promises that the request never runs.
	classRefused class = "refused"
	// classFailed has 502 or 504, or a part of its answer, at its deadline.
	classFailed class = "failed at the deadline"
	// classLate has 502 or 504, or a part of its answer, since its endpoint worked for too
	// long.
	classLate class = "failed in the last sixth"
	// classBehind was sent, at least in part, after an answer that announces the close.
	classBehind class = "behind an announced close"
	// classBehindCut is behind an answer that broke off, which is judged by itself: no
	// answer can follow it.
	classBehindCut class = "behind a cut answer"
	// classMet was sent after the connection had ended.
	classMet class = "met a closed connection"
	// classCrossed was sent whole just before the connection ended, and didn't run.
	classCrossed class = "crossed the close"
	// classReset ended with a reset and didn't run: the gateway had not read all of it, or
	// had not accepted its connection.
	classReset class = "reset before it was read"
	// classUnsent was not sent since there was no connection for it any more.
	classUnsent class = "not sent"
)

// Classes of requests that ended otherwise.
const (
	classTwice        class = "FAULT: ran more often than allowed"
	classWrong        class = "FAULT: wrong answer"
	classRanRefused   class = "FAULT: refused though it runs"
	classEarlyFailure class = "FAULT: 502 or 504 before the deadline"
	classStatus       class = "FAULT: status of the gateway that denies a proper request"
	classCutAnswer    class = "FAULT: answer cut"
	classSilent       class = "FAULT: passed on and closed without an answer"
	// classSilentLate is no loss by the platform's rules, which excuse it as classLate or
	// classFailed.
	classSilentLate class = "FAULT: passed on and closed without an answer, late"
	classDropped    class = "FAULT: written whole, not passed on and closed without an answer"
	classCutUpload  class = "FAULT: closed without an answer within the upload"
)

// fault reports whether a request must not end like this.
func (class class) fault() bool { return strings.HasPrefix(string(class), "FAULT") }

// mostRuns is the route's bound on the endpoints that run one repeatable request.
const mostRuns = 2

// classify returns how a request ended, judged by what its caller and the endpoints saw.
func (caller *caller) classify(request *callerRequest) class {
	runs := caller.site.ledger.find(request.id)
	switch {
	case len(runs) > mostRuns || len(runs) > 1 && !request.repeatable() || len(runs) > 0 && request.first.IsZero():
		return classTwice
	case request.wrong != "":
		return classWrong
	case request.first.IsZero():
		return classUnsent
	case request.status == 0:
		return caller.classifySilence(request, runs)
	case request.status == http.StatusOK && request.readErr == nil:
		return classAnswered
	case request.status == http.StatusOK:
		return caller.excuse(request, runs, classCutAnswer)
	}
	switch request.status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		if len(runs) > 0 {
			return classRanRefused
		}
		return classRefused
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return caller.excuse(request, runs, classEarlyFailure)
	}
	return classStatus
}

// excuse returns the class of a request without a whole answer: otherwise, unless its
// deadline had passed, or its endpoint was at work in the last sixth of the stop and the
// request was sent early enough.
func (caller *caller) excuse(request *callerRequest, runs []endpointRun, otherwise class) class {
	ended := request.endedAt
	if ended.IsZero() {
		ended = caller.endedAt
	}
	if !ended.Before(request.first.Add(request.deadline)) {
		return classFailed
	}
	if request.last.IsZero() || request.last.After(caller.site.stopped.Add(lastCut)) {
		return otherwise
	}
	for _, run := range runs {
		if !run.until.IsZero() && !run.until.Before(caller.site.stopped.Add(lastSixth)) {
			return classLate
		}
	}
	return otherwise
}

// classifySilence returns the class of a request without any answer.
func (caller *caller) classifySilence(request *callerRequest, runs []endpointRun) class {
	switch {
	case len(runs) > 0 && caller.excuse(request, runs, classSilent) != classSilent:
		return classSilentLate
	case len(runs) > 0:
		return classSilent
	case caller.wasReset(request):
		return classReset
	case caller.announced(request):
		return classBehind
	case caller.behindCut(request):
		return classBehindCut
	case !request.last.IsZero() && caller.openAt.After(request.last.Add(lossSlack)):
		return classDropped
	case request.last.IsZero() && caller.openAt.After(request.first.Add(lossSlack)):
		return classCutUpload
	case request.openAfterLast:
		return classCrossed
	}
	return classMet
}

// wasReset reports whether the connection was reset rather than closed.
func (caller *caller) wasReset(request *callerRequest) bool {
	for _, err := range []error{caller.endErr, request.writeErr} {
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
			return true
		}
	}
	return false
}

// announced reports whether the answer to a request before announces the close, and had
// come when the last byte of this one was sent.
func (caller *caller) announced(request *callerRequest) bool {
	for _, earlier := range caller.requests {
		if earlier == request {
			break
		}
		if earlier.closes.Load() && (request.last.IsZero() || !request.openAfterLast || earlier.statusAt.Before(request.last)) {
			return true
		}
	}
	return false
}

// behindCut reports whether the answer to a request before broke off.
func (caller *caller) behindCut(request *callerRequest) bool {
	for _, earlier := range caller.requests {
		if earlier == request {
			break
		}
		if earlier.status == http.StatusOK && earlier.readErr != nil {
			return true
		}
	}
	return false
}

// describe returns what happened to a request. Times are from the stop.
func (caller *caller) describe(request *callerRequest) string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3fs", at.Sub(caller.site.stopped).Seconds())
	}
	kind := "GET"
	if request.bodyBytes > 0 {
		kind = fmt.Sprintf("POST of %d bytes", request.bodyBytes)
	}
	if request.chunked {
		kind += " in chunks"
	}
	text := fmt.Sprintf("%s %s /%s/ (%s, connection opened for %.3fs), deadline %v: first byte %s, last byte %s (connection open then: %v, write error %v)",
		request.id, kind, request.route, caller.plan.kind, caller.plan.opens.Seconds(), request.deadline,
		since(request.first), since(request.last), request.openAfterLast, request.writeErr)
	for _, earlier := range caller.requests {
		if earlier.closes.Load() {
			text += fmt.Sprintf("; the close was announced at %s with the answer to %s", since(earlier.statusAt), earlier.id)
		}
	}
	for _, run := range caller.site.ledger.find(request.id) {
		text += fmt.Sprintf("; ran at %s from %s to %s (work of %v, answer %s, whole: %v)",
			run.endpoint, since(run.began), since(run.until), request.work, request.form, run.whole)
	}
	text += fmt.Sprintf("; status %d at %s, answer ended %s (%v); connection last open %s, ended %s (%v)", request.status, since(request.statusAt),
		since(request.endedAt), request.readErr, since(caller.openAt), since(caller.endedAt), caller.endErr)
	for _, line := range processLog.find(request.id) {
		text += "\n\t" + line
	}
	return text
}
