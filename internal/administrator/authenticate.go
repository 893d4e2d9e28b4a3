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

// mostRequestBytes bounds what is read before the signature is known.
const mostRequestBytes = 2 * parser.MostBytes

// AuthorizationError says that a request isn't of an operator. It is the same
// for each reason, so that it reveals nothing.
type AuthorizationError struct{}

// Error says what an operator can do.
func (AuthorizationError) Error() string {
	return "not an operator's request; check --operator, --key and the clock"
}

var idPattern = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)

// readRequest reads a signed statement from the body.
func readRequest(c echo.Context) (signer.Request, error) {
	var request signer.Request
	body := io.LimitReader(c.Request().Body, mostRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return request, AuthorizationError{}
	}
	return request, nil
}

// authenticate returns the key that request was signed with: that of a member
// of the committee in force, or the bootstrap key while nothing is in force.
// The arbiter looks at the key again in the committee's newest state.
func (administrator *Administrator) authenticate(request signer.Request) (ed25519.PublicKey, error) {
	configuration := administrator.configurations.Current()
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

// Failure is what an operator gets in place of an answer.
type Failure struct {
	// Kind sorts the failure, in kebab case.
	Kind string `json:"kind"`
	// Error says what is wrong, with the remedy.
	Error string `json:"error"`
	// Picture shows the word at fault, or is empty.
	Picture string `json:"picture,omitempty"`
}

// sendFailure writes err as a [Failure] with the status of its kind.
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
		failure.Picture = syntaxError.Picture()
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
