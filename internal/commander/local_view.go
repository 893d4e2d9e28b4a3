package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/chivespool/chivespool/internal/presenter"
	"github.com/chivespool/chivespool/internal/reporter"
)

// localViewCommand shows the local view of gateways. The row of a gateway that does
// not answer shows the error.
func (commander *Commander) localViewCommand() *cli.Command {
	return &cli.Command{
		Name:  "beliefs",
		Usage: "show the local view of gateways: routing version, revision, hosts and endpoints, and its age",
		Flags: []cli.Flag{&cli.StringSliceFlag{
			Name: flagGateway, Usage: "metrics `ADDRESS` of a gateway; repeat it for more", Required: true,
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			answer := presenter.New("gateway", "host", "routing", "revision", "age", "hosts", "endpoints")
			for _, gateway := range command.StringSlice(flagGateway) {
				view, err := fetchLocalView(ctx, gateway)
				if err != nil {
					answer.Add(gateway, err.Error(), "", "", "", "", "")
					continue
				}
				answer.Add(gateway, view.Host, strconv.FormatUint(view.RoutingVersion, 10), strconv.FormatUint(view.Revision, 10),
					view.Staleness().String(), strconv.Itoa(view.Hosts), strconv.Itoa(view.Endpoints))
			}
			return commander.printAnswer(answer, command.Bool(flagJSON))
		},
	}
}

// fetchLocalView fetches the local view of the gateway at a metrics address.
func fetchLocalView(ctx context.Context, gateway string) (reporter.View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/beliefs", nil)
	if err != nil {
		return reporter.View{}, fmt.Errorf("invalid gateway address; write it as IP:port: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reporter.View{}, fmt.Errorf("no answer; check that the gateway runs and has a metrics address: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var view reporter.View
	if response.StatusCode != http.StatusOK {
		return view, fmt.Errorf("answered %s; name the metrics address of a gateway", response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&view); err != nil {
		return view, fmt.Errorf("decode the answer; use the chivesctl of the gateway's release: %w", err)
	}
	return view, nil
}
