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

// TestTimeLineNeedsTheSignatureOfItsRequest asks for the time line with and
// without a signature that fits.
func TestTimeLineNeedsTheSignatureOfItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		defer world.close()
		world.fleet([]string{"anna"})
		const uri = administrator.TimeLinePath + "?since=5"
		sign := func(command, signedBy string) string {
			request := signer.Request{Operator: "anna", Command: command, ID: "id", Time: time.Now()}
			authorization, err := request.Sign(keyOf(signedBy)).Authorization()
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
			world.hosts["a"].echo.ServeHTTP(response, request)
			if response.Code != want {
				t.Errorf("%q gives %d, want %d: %s", authorization, response.Code, want, response.Body)
			}
		}
	})
}
