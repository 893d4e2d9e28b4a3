package commander

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/reporter"
)

type fakeReporter struct{}

func (fakeReporter) LocalView() reporter.View {
	return reporter.View{Host: "nbo-a-1", RoutingVersion: 12, Revision: 340, AgeMs: 250, Hosts: 14, Endpoints: 38}
}

// TestLocalView checks the rows of a gateway that answers and of a stopped gateway.
func TestLocalView(t *testing.T) {
	router := echo.New()
	reporter.RegisterView(router.Group(""), fakeReporter{})
	gateway, stoppedGateway := httptest.NewServer(router), httptest.NewServer(router)
	defer gateway.Close()
	stoppedGateway.Close()
	var output bytes.Buffer
	arguments := []string{
		"chivesctl", "beliefs", "--gateway", strings.TrimPrefix(gateway.URL, "http://"),
		"--gateway", strings.TrimPrefix(stoppedGateway.URL, "http://"),
	}
	if err := New(strings.NewReader(""), &output).Run(t.Context(), arguments); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"nbo-a-1", "12", "340", "250ms", "14", "38", "check that the gateway runs"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, output.String())
		}
	}
}
