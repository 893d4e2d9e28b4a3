package router_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// session runs a file of commands against the routers of a fleet.
type session struct {
	*fleet
	configuration *definer.Configuration
	hosts         []definer.Host
	tasks         sync.WaitGroup
	// mu guards the fields below.
	mu      sync.Mutex
	slots   map[string]*router.Slot
	cancels map[string]context.CancelFunc
	events  []string
}

func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*")
	if err != nil || len(paths) == 0 {
		t.Fatal("no sessions in testdata")
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				session := &session{slots: make(map[string]*router.Slot), cancels: make(map[string]context.CancelFunc)}
				datadriven.RunTest(t, path, session.run)
				session.close()
				session.tasks.Wait()
			})
		})
	}
}

// run executes one command and returns the resulting events, sorted by text.
func (session *session) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	switch data.Cmd {
	case "setup":
		session.setup(data)
	case "hosts":
		session.changeHosts(data)
	case "set":
		session.set(t, data)
	case "acquire":
		session.acquire(t, data)
	case "release":
		session.release(t, data)
	case "cancel":
		session.cancels[argument(data, "id")]()
	case "draining":
		session.routers[argument(data, "at")].SetDraining(strings.Fields(data.Input))
	case "cut":
		session.cut.Store(argument(data, "links") == "cut")
		session.late.Store(argument(data, "links") == "late")
		session.lost.Store(argument(data, "links") == "returns")
	case "forget":
		session.routers[argument(data, "at")].ForgetBorrower(argument(data, "borrower"))
	case "close":
		_ = session.routers[argument(data, "at")].Close()
	case "advance":
		time.Sleep(duration(t, argument(data, "by")))
	case "status":
		return session.status(argument(data, "at"))
	default:
		t.Fatalf("unknown command %s", data.Cmd)
	}
	synctest.Wait()
	session.mu.Lock()
	defer session.mu.Unlock()
	events := session.events
	session.events = nil
	slices.Sort(events)
	return strings.Join(append(events, ""), "\n")
}

// setup reads lines of "host name region/centre" and "endpoint name
// region/centre slots".
func (session *session) setup(data *datadriven.TestData) {
	if session.fleet != nil {
		session.close()
		session.hosts = nil
	}
	session.configuration = (&definer.Configuration{}).WithPool(modelPool)
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		region, centre, _ := strings.Cut(fields[2], "/")
		place := definer.NewPlace(region, centre)
		if fields[0] == "host" {
			session.hosts = append(session.hosts, definer.NewHost(fields[1], fields[1], "", place, 1))
			continue
		}
		slots := 0
		_, _ = fmt.Sscan(fields[3], &slots)
		endpoint := definer.NewEndpoint(fields[1], modelPool, "", place, slots)
		session.configuration = session.configuration.WithEndpoint(endpoint)
	}
	session.fleet = newFleet(session.configuration, session.hosts)
}

// changeHosts reads lines of a host and its new state.
func (session *session) changeHosts(data *datadriven.TestData) {
	states := map[string]definer.HostState{"live": definer.Live, "leaving": definer.Leaving, "gone": definer.Gone}
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		for index, host := range session.hosts {
			if host.Name() == fields[0] {
				session.hosts[index] = host.WithState(states[fields[1]])
			}
		}
	}
	session.update(session.configuration, session.hosts)
}

func (session *session) set(t *testing.T, data *datadriven.TestData) {
	t.Helper()
	for _, router := range session.routers {
		value := 0
		data.ScanArgs(t, data.CmdArgs[0].Key, &value)
		switch data.CmdArgs[0].Key {
		case "queue":
			router.SetQueueLength(value)
		case "budget":
			router.SetRegionBudget(int64(value))
		}
	}
}

func (session *session) acquire(t *testing.T, data *datadriven.TestData) {
	t.Helper()
	request := requestOf(t, data)
	router := session.routers[argument(data, "at")]
	wait := duration(t, cmp.Or(argument(data, "wait"), "1000h"))
	for _, id := range strings.Split(argument(data, "id"), "+") {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		session.cancels[id] = cancel
		session.tasks.Go(func() { session.wait(ctx, router, id, request) })
		// The delay between requests makes the order of all later events
		// deterministic.
		time.Sleep(time.Microsecond)
	}
}

// wait acquires a slot and records the outcome.
func (session *session) wait(ctx context.Context, router *router.Router, id string, request router.Request) {
	slot, err := router.Acquire(ctx, request)
	session.mu.Lock()
	defer session.mu.Unlock()
	if err == nil {
		session.slots[id] = slot
		session.events = append(session.events, id+" on "+slot.Endpoint().Name())
		return
	}
	refusal := new(refuser.Refusal)
	if !errors.As(err, &refusal) || refusal.Ran() != refuser.NotRun {
		session.events = append(session.events, id+" got an error other than a refusal marked as not run: "+err.Error())
		return
	}
	event := fmt.Sprintf("%s refused: %s: %s", id, refusal.Kind(), refusal.Detail())
	if refusal.RetryAfter() > 0 {
		event += fmt.Sprintf(" (retry after %v)", refusal.RetryAfter())
	}
	session.events = append(session.events, event)
}

func (session *session) release(t *testing.T, data *datadriven.TestData) {
	t.Helper()
	outcome := router.Answered
	for candidate := router.Answered; candidate <= router.Unused; candidate++ {
		if candidate.String() == argument(data, "outcome") {
			outcome = candidate
		}
	}
	result := router.NewResult(outcome, duration(t, cmp.Or(argument(data, "time"), "10ms")))
	bytes := int64(0)
	data.MaybeScanArgs(t, "bytes", &bytes)
	for _, id := range strings.Split(argument(data, "id"), "+") {
		if session.slots[id] == nil {
			t.Fatalf("%s: %s holds no slot", data.Pos, id)
		}
		session.slots[id].Release(result.WithBytes(bytes))
	}
}

func (session *session) status(host string) string {
	var text strings.Builder
	status := session.routers[host].Status()
	for _, pool := range status.Pools() {
		fmt.Fprintf(&text, "queued %d short %d long, borrowed %d, lent %d, other homes %v\n",
			pool.Queued(definer.Short), pool.Queued(definer.Long), pool.Borrowed(), pool.Lent(), pool.Homes())
		for _, endpoint := range pool.Endpoints() {
			fmt.Fprintf(&text, "%s %s %d/%d\n", endpoint.Endpoint().Name(), endpoint.State(), endpoint.InFlight(), endpoint.Limit())
		}
	}
	for _, region := range status.Regions() {
		fmt.Fprintf(&text, "%s to %s: %d calls, %d bytes\n", region.From(), region.To(), region.Calls(), region.Bytes())
	}
	return text.String()
}

func requestOf(t *testing.T, data *datadriven.TestData) router.Request {
	t.Helper()
	priority := definer.DefaultPriority
	data.MaybeScanArgs(t, "priority", &priority)
	options := []router.RequestOption{
		router.WithPriority(priority), router.Isolated(data.HasArg("isolated")), router.WithClass(argument(data, "class")),
	}
	if data.HasArg("long") {
		options = append(options, router.InLane(definer.Long))
	}
	if avoid := argument(data, "avoid"); avoid != "" {
		options = append(options, router.Avoiding(strings.Split(avoid, "+")...))
	}
	if deadline := argument(data, "deadline"); deadline != "" {
		options = append(options, router.WithDeadline(time.Now().Add(duration(t, deadline))))
	}
	return router.NewRequest(modelPool, options...)
}

// argument returns the value of key, or empty.
func argument(data *datadriven.TestData, key string) string {
	for _, argument := range data.CmdArgs {
		if argument.Key == key && len(argument.Vals) > 0 {
			return argument.Vals[0]
		}
	}
	return ""
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
