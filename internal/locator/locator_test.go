package locator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/chivespool/chivespool/internal/definer"
)

func place(index, centres int) definer.Place {
	centre := index % centres
	return definer.NewPlace(fmt.Sprintf("r%d", centre/2), fmt.Sprintf("c%d", centre))
}

func world(hosts, endpoints, centres int) ([]definer.Host, *definer.Configuration) {
	var all []definer.Host
	for index := range hosts {
		name := fmt.Sprintf("h%02d", index)
		all = append(all, definer.NewHost(name, name, "", place(index, centres), 1))
	}
	configuration := (&definer.Configuration{}).WithPool("p").WithService(definer.NewService("s", "p"))
	for index := range endpoints {
		name := fmt.Sprintf("e%03d", index)
		configuration = configuration.WithEndpoint(definer.NewEndpoint(name, "p", "", place(index, centres), 4))
	}
	return all, configuration
}

// owners returns the home of each endpoint, and fails where one has not
// exactly one home, as near as can be.
func owners(t *rapid.T, configuration *definer.Configuration, hosts []definer.Host) map[string]string {
	owners := make(map[string]string)
	for _, home := range Homes(configuration, hosts, "p") {
		perCentre := make(map[definer.Place]int)
		for _, endpoint := range home.Endpoints() {
			if owners[endpoint.Name()] != "" {
				t.Fatalf("%s has two homes", endpoint.Name())
			}
			owners[endpoint.Name()] = home.Host().Name()
			perCentre[endpoint.Place()]++
			if near(usable(hosts), endpoint.Place())[0].Place() == endpoint.Place() && home.Host().Place() != endpoint.Place() {
				t.Fatalf("%s has its home elsewhere", endpoint.Name())
			}
		}
		for centre, count := range perCentre {
			all := 0
			for _, endpoint := range configuration.Endpoints() {
				if endpoint.Place() == centre {
					all++
				}
			}
			homes := min(homesFor(all), len(near(usable(hosts), centre)))
			if count > (all+homes-1)/homes {
				t.Fatalf("%s has %d of %d endpoints of %s", home.Host().Name(), count, all, centre)
			}
		}
	}
	if live := len(usable(hosts)); live > 0 && len(owners) != len(configuration.Endpoints()) {
		t.Fatalf("%d of %d endpoints have a home", len(owners), len(configuration.Endpoints()))
	}
	return owners
}

// TestHomes checks over random fleets that every endpoint has one home, as
// near as can be, and that a host that goes moves only what it was home of.
func TestHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, configuration := world(rapid.IntRange(1, 20).Draw(t, "hosts"),
			rapid.IntRange(1, 96).Draw(t, "endpoints"), rapid.IntRange(1, 6).Draw(t, "centres"))
		before := owners(t, configuration, hosts)
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		hosts[gone] = hosts[gone].WithState(definer.Leaving)
		after := owners(t, configuration, hosts)
		served := make(map[definer.Place]bool)
		for _, endpoint := range configuration.Endpoints() {
			if before[endpoint.Name()] == hosts[gone].Name() {
				served[endpoint.Place()] = true
			}
		}
		for _, endpoint := range configuration.Endpoints() {
			if !served[endpoint.Place()] && before[endpoint.Name()] != after[endpoint.Name()] {
				t.Fatalf("%s moved from %s to %s", endpoint.Name(), before[endpoint.Name()], after[endpoint.Name()])
			}
		}
	})
}

func TestLocate(t *testing.T) {
	datadriven.RunTest(t, "testdata/locate", func(t *testing.T, data *datadriven.TestData) string {
		hosts, endpoints, centre, seed, leaving := 0, 0, "", "", ""
		data.ScanArgs(t, "hosts", &hosts)
		data.ScanArgs(t, "endpoints", &endpoints)
		data.ScanArgs(t, "caller", &centre)
		data.MaybeScanArgs(t, "seed", &seed)
		data.MaybeScanArgs(t, "leaving", &leaving)
		all, configuration := world(hosts, endpoints, 6)
		for index, host := range all {
			if host.Name() == leaving {
				all[index] = host.WithState(definer.Leaving)
			}
		}
		caller := definer.NewPlace("r"+string('0'+(centre[1]-'0')/2), centre)
		answer, ok := Locate(configuration, all, data.Cmd, caller, seed)
		if !ok {
			return "no such service\n"
		}
		homes := make(map[string]bool)
		for _, home := range Homes(configuration, all, "p") {
			homes[home.Host().Name()] = true
		}
		var text strings.Builder
		for index, address := range answer.Addresses() {
			var number int
			_, _ = fmt.Sscanf(address, "h%d", &number)
			fmt.Fprintf(&text, "%d %s %s home=%v\n", index, address, place(number, 6), homes[address])
		}
		fmt.Fprintln(&text, "hold", answer.Hold())
		return text.String()
	})
}
