package locator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/chivespool/chivespool/internal/definer"
)

func placeOf(index, centres int) definer.Place {
	centre := index % centres
	return definer.NewPlace(fmt.Sprintf("r%d", centre/2), fmt.Sprintf("c%d", centre))
}

func newFleet(hosts, endpoints, centres int) ([]definer.Host, *definer.Configuration) {
	var all []definer.Host
	for index := range hosts {
		name := fmt.Sprintf("h%02d", index)
		all = append(all, definer.NewHost(name, name, "", placeOf(index, centres), 1))
	}
	configuration := (&definer.Configuration{}).WithPool("p").WithService(definer.NewService("s", "p"))
	for index := range endpoints {
		name := fmt.Sprintf("e%03d", index)
		configuration = configuration.WithEndpoint(definer.NewEndpoint(name, "p", "", placeOf(index, centres), 4))
	}
	return all, configuration
}

// homeNames returns the name of each endpoint's home. It fails the test unless
// every endpoint has exactly one home, at the least possible distance, and the
// endpoints are spread evenly over the homes.
func homeNames(t *rapid.T, configuration *definer.Configuration, hosts []definer.Host) map[string]string {
	names := make(map[string]string)
	for _, home := range Homes(configuration, hosts, "p") {
		countByCentre := make(map[definer.Place]int)
		for _, endpoint := range home.Endpoints() {
			if names[endpoint.Name()] != "" {
				t.Fatalf("%s has two homes", endpoint.Name())
			}
			names[endpoint.Name()] = home.Host().Name()
			countByCentre[endpoint.Place()]++
			if nearest(eligible(hosts), endpoint.Place())[0].Place() == endpoint.Place() && home.Host().Place() != endpoint.Place() {
				t.Fatalf("the home of %s is not in its data centre, which has a live host", endpoint.Name())
			}
		}
		for centre, count := range countByCentre {
			all := 0
			for _, endpoint := range configuration.Endpoints() {
				if endpoint.Place() == centre {
					all++
				}
			}
			homes := min(homeCount(all), len(nearest(eligible(hosts), centre)))
			if count > (all+homes-1)/homes {
				t.Fatalf("%s is the home of %d of the %d endpoints in %s, more than an even share", home.Host().Name(), count, all, centre)
			}
		}
	}
	if live := len(eligible(hosts)); live > 0 && len(names) != len(configuration.Endpoints()) {
		t.Fatalf("%d of %d endpoints have a home", len(names), len(configuration.Endpoints()))
	}
	return names
}

// TestHomes checks over random fleets that every endpoint has one home, at the
// least possible distance, and that a leaving host changes only the homes in the
// data centres whose endpoints it was the home of.
func TestHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, configuration := newFleet(rapid.IntRange(1, 20).Draw(t, "hosts"),
			rapid.IntRange(1, 96).Draw(t, "endpoints"), rapid.IntRange(1, 6).Draw(t, "centres"))
		before := homeNames(t, configuration, hosts)
		removed := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		hosts[removed] = hosts[removed].WithState(definer.Leaving)
		after := homeNames(t, configuration, hosts)
		affected := make(map[definer.Place]bool)
		for _, endpoint := range configuration.Endpoints() {
			if before[endpoint.Name()] == hosts[removed].Name() {
				affected[endpoint.Place()] = true
			}
		}
		for _, endpoint := range configuration.Endpoints() {
			if !affected[endpoint.Place()] && before[endpoint.Name()] != after[endpoint.Name()] {
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
		all, configuration := newFleet(hosts, endpoints, 6)
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
			fmt.Fprintf(&text, "%d %s %s home=%v\n", index, address, placeOf(number, 6), homes[address])
		}
		fmt.Fprintln(&text, "hold", answer.CacheTime())
		return text.String()
	})
}
