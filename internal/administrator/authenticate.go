package administrator

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/parser"
	"github.com/chivespool/chivespool/internal/signer"
	"github.com/chivespool/chivespool/internal/submitter"
)

// maxRequestBytes limits the body, which is read before its signature is verified.
const maxRequestBytes = 2 * parser.MaxBytes

// AuthorizationError means that a request is not authenticated as an operator's.
// It is the same for each cause, so that it reveals nothing to an attacker.
type AuthorizationError struct{}

// Error returns the same message and remedy for each cause.
func (AuthorizationError) Error() string {
	return "not an operator's request; check --operator, --key and the clock"
}

var idPattern = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)

// readRequest decodes a signed statement from the body.
func readRequest(c echo.Context) (signer.Request, error) {
	var request signer.Request
	body := io.LimitReader(c.Request().Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return request, AuthorizationError{}
	}
	return request, nil
}

// authenticate returns the key that verifies request: the key of a member of the
// committee in force, or the bootstrap key while no configuration is in force.
// The arbiter checks the key again against the newest state of the committee.
func (administrator *Administrator) authenticate(request signer.Request) (ed25519.PublicKey, error) {
	configuration := administrator.configurationSource.Current()
	key := administrator.bootstrap
	if configuration.Revision() > 0 {
		member, _ := configuration.Committee().Member(request.Operator)
		key = member.Key()
	}
	age := time.Since(request.Time)
	if !request.Verify(key) || !idPattern.MatchString(request.ID) || age > arbiter.MaxCommandAge || age < -arbiter.MaxClockSkew {
		return nil, AuthorizationError{}
	}
	return key, nil
}

// Failure is the body of an error response to an operator.
type Failure struct {
	// Kind is the class of the failure, in kebab case.
	Kind string `json:"kind"`
	// Error is the message with the remedy.
	Error string `json:"error"`
	// Excerpt marks the invalid word of a statement, or is empty.
	Excerpt string `json:"picture,omitempty"`
}

// sendFailure writes err as a [Failure] with the HTTP status of its kind.
func sendFailure(c echo.Context, err error) error {
	failure := Failure{Kind: "refused", Error: err.Error()}
	status := http.StatusConflict
	var syntaxError *parser.SyntaxError
	var commandError *arbiter.CommandError
	var submitError *submitter.SubmitError
	var storeError *connector.CallError
	switch {
	case errors.As(err, new(AuthorizationError)):
		failure.Kind, status = "not-authorized", http.StatusUnauthorized
	case errors.As(err, &syntaxError):
		failure.Kind, status = "bad-statement", http.StatusBadRequest
		failure.Excerpt = syntaxError.Excerpt()
	case errors.As(err, &commandError):
		failure.Kind = commandError.Kind().String()
	case errors.As(err, &storeError):
		failure.Kind, status = "store-"+storeError.Kind().String(), http.StatusServiceUnavailable
	}
	if errors.As(err, &submitError) {
		failure.Kind, status = submitError.Kind().String(), http.StatusServiceUnavailable
	}
	return c.JSON(status, failure)
}
