package runner

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/emulator"
)

// TestRandomFaults sends repeatable and unrepeatable requests, with and without
// keys, while endpoints drain, shed load, crash, slow down, truncate answers or
// are unreachable. The outcome that a caller gets must agree with the runs in
// the endpoints' journals.
func TestRandomFaults(t *testing.T) {
	total := make(map[string]int)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[0], clusterPlaces[1])
			unreachable := definer.NewEndpoint("ledger-none", "ledger", "127.0.0.1:1", clusterPlaces[0], 4)
			cluster.awaitRevision(cluster.change(cluster.daemons[0], definer.SetEndpoint(unreachable)))
			randomRun := &randomRun{cluster: cluster, caller: newCaller(t), seed: seed, tally: make(map[string]int)}
			randomRun.run()
			t.Log(randomRun.tally)
			for outcome, count := range randomRun.tally {
				total[outcome] += count
			}
		})
	}
	if total["whole"] == 0 || total["not run"] == 0 || total["unknown"] == 0 {
		t.Errorf("the runs did not reach every outcome: %v", total)
	}
}

// awaitRevision waits until every entry host is at revision or later.
func (cluster *cluster) awaitRevision(revision uint64) {
	for _, daemon := range cluster.daemons {
		daemon.awaitRevision(revision)
	}
}

func (daemon *Daemon) awaitRevision(revision uint64) {
	for {
		changed := daemon.follower.Changed()
		if daemon.follower.Current().Revision() >= revision {
			return
		}
		<-changed
	}
}

// The size of a run: in each round, the fault of one endpoint changes and each
// worker sends requests.
const (
	runRounds  = 10
	runWorkers = 6
)

// randomRun sends random requests under random faults.
type randomRun struct {
	cluster *cluster
	caller  *caller
	seed    uint64
	// mu guards tally, which counts replies by outcome.
	mu    sync.Mutex
	tally map[string]int
}

func (randomRun *randomRun) run() {
	random := rand.New(rand.NewPCG(randomRun.seed, 0))
	names := []string{"ledger-0", "ledger-1", "ledger-2"}
	for round := range runRounds {
		randomRun.injectFault(random, randomRun.cluster.backends[names[random.IntN(len(names))]])
		var workers sync.WaitGroup
		for number := range runWorkers {
			worker := &randomWorker{randomRun: randomRun, random: rand.New(rand.NewPCG(randomRun.seed, uint64(round*runWorkers+number)+1))}
			worker.name = fmt.Sprintf("work-%d-%d", round, number)
			workers.Add(1)
			go worker.run(&workers)
		}
		workers.Wait()
	}
}

// injectFault sets a random fault of backend, or none.
func (randomRun *randomRun) injectFault(random *rand.Rand, backend *backendServer) {
	settings := emulator.DefaultBackendSettings()
	switch random.IntN(7) {
	case 0:
		settings.Draining = true
	case 1:
		settings.FailFast = http.StatusServiceUnavailable
	case 2:
		settings.FailFast = http.StatusInternalServerError
	case 3:
		settings.RunFactor = 20
	case 4:
		settings.Queue = 0
	case 5:
		backend.connectionTracker.closeConnections()
	}
	backend.Change(settings)
}

// randomWorker sends the requests of one worker in one round.
type randomWorker struct {
	randomRun *randomRun
	random    *rand.Rand
	name      string
}

func (randomWorker *randomWorker) run(workers *sync.WaitGroup) {
	defer workers.Done()
	for index := range 4 {
		call := randomWorker.call(fmt.Sprint(randomWorker.name, "-", index))
		daemons := randomWorker.randomRun.cluster.daemons
		reply := randomWorker.randomRun.caller.send(daemons[randomWorker.random.IntN(len(daemons))], call)
		randomWorker.randomRun.verify(call, reply)
	}
}

func (randomWorker *randomWorker) call(id string) call {
	random := randomWorker.random
	call := call{id: id, size: []int64{0, 100, 200_000}[random.IntN(3)], work: random.IntN(3), timeout: 100}
	call.method = []string{http.MethodPost, http.MethodPost, http.MethodGet}[random.IntN(3)]
	call.kind = []string{"", "", "", "", "", "", "", "", "cut", kindCrash}[random.IntN(10)]
	if random.IntN(3) == 0 {
		call.key = "key-" + id
	}
	return call
}

// verify checks that the reply to a call agrees with how often it ran.
func (randomRun *randomRun) verify(call call, reply reply) {
	runs := randomRun.cluster.runs(call.id)
	outcome, maxRuns := "no complete answer", 1
	if call.method == http.MethodGet {
		maxRuns = 2 // A repeatable request may crash or be truncated at two endpoints.
	}
	switch {
	case reply.refusal != nil && reply.refusal.Ran == "no":
		outcome, maxRuns = "not run", 0
	case reply.refusal != nil:
		outcome = "unknown"
	case reply.status == http.StatusInternalServerError:
		outcome = "failed"
	case reply.status == http.StatusGatewayTimeout:
		outcome = "unknown" // The endpoint's own answer at the deadline.
	case reply.complete():
		outcome = "whole"
	}
	// A large answer is streamed: if its endpoint truncates it, the caller's
	// connection is closed too.
	consistent := outcome == "whole" || outcome == "failed" || outcome == "unknown" || reply.refusal != nil && reply.err == nil ||
		reply.err != nil && call.size > dispatcher.BufferedAnswerBytes && reply.verdict == emulator.Truncated
	if !consistent || runs > maxRuns || outcome == "whole" && runs == 0 {
		randomRun.cluster.t.Errorf("%+v: %s, %+v, %+v, ran %d times", call, outcome, reply, reply.refusal, runs)
	}
	randomRun.mu.Lock()
	defer randomRun.mu.Unlock()
	randomRun.tally[outcome]++
}
