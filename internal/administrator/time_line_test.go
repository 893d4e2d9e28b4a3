package administrator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/signer"
)

// TestTimeLineRequiresSignatureOfRequest checks that the timeline is refused
// without a signature of an operator over the same method and URI.
func TestTimeLineRequiresSignatureOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testFleet := newTestFleet(t)
		defer testFleet.close()
		testFleet.bootstrap([]string{"anna"})
		const uri = administrator.TimeLinePath + "?since=5"
		sign := func(command, signedBy string) string {
			request := signer.Request{Operator: "anna", Command: command, ID: "id", Time: time.Now()}
			authorization, err := request.Sign(privateKeyOf(signedBy)).Authorization()
			if err != nil {
				t.Fatal(err)
			}
			return authorization
		}
		for authorization, want := range map[string]int{
			"":                           http.StatusUnauthorized,
			signer.Scheme + " x":         http.StatusUnauthorized,
			sign("GET "+uri, "eve"):      http.StatusUnauthorized,
			sign("GET /other", "anna"):   http.StatusUnauthorized,
			sign("show services", "ann"): http.StatusUnauthorized,
			sign("GET "+uri, "anna"):     http.StatusOK,
		} {
			request := httptest.NewRequest(http.MethodGet, uri, nil)
			request.Header.Set("Authorization", authorization)
			response := httptest.NewRecorder()
			testFleet.hosts["a"].echo.ServeHTTP(response, request)
			if response.Code != want {
				t.Errorf("authorization %q gives status %d, want %d: %s", authorization, response.Code, want, response.Body)
			}
		}
	})
}
