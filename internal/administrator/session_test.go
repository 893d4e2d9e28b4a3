package administrator_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs the scripted sessions in testdata in virtual time.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			session := &session{testFleet: newTestFleet(t)}
			defer func() { session.testFleet.close() }()
			datadriven.RunTest(t, path, session.run)
		})
	})
}

// session is one file of testdata.
type session struct{ testFleet *testFleet }

func (session *session) run(t *testing.T, data *datadriven.TestData) string {
	testFleet := session.testFleet
	switch data.Cmd {
	case "reset":
		testFleet.close()
		session.testFleet = newTestFleet(t)
	case "fleet":
		testFleet.bootstrap(data.CmdArgs[0].Vals)
		return testFleet.revisions()
	case "host":
		testFleet.start(data.CmdArgs[0].Key, data.HasArg("watcher"))
	case "stop":
		testFleet.stop(data.CmdArgs[0].Key)
	case "cut", "join":
		testFleet.setIsolated(data.CmdArgs[0].Key, data.Cmd == "cut")
	case "watcher":
		for name, host := range testFleet.hosts {
			host.follower.SetWatcher(name == data.CmdArgs[0].Key)
		}
	case "store":
		session.store(data)
	case "wait":
		wait, err := time.ParseDuration(data.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
		synctest.Wait()
		return testFleet.revisions()
	case "do":
		answer := testFleet.do(parseStatement(t, data))
		synctest.Wait()
		return answer
	case "pools":
		return session.createPools(t, data)
	case "keys":
		return strings.Join(slices.Sorted(maps.Keys(testFleet.store.entries)), "\n") + "\n"
	case "calls":
		store := testFleet.store
		return fmt.Sprintf("%d reads, %d writes, %d watches\n", store.reads, store.writes, store.watches)
	default:
		data.Fatalf(t, "unknown command %s", data.Cmd)
	}
	return ""
}

// createPools creates count pools sequentially and returns the last answer.
func (session *session) createPools(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var count int
	data.ScanArgs(t, "count", &count)
	answer := ""
	for index := range count {
		text := fmt.Sprintf("create pool p%d", index)
		answer = session.testFleet.do(statement{host: "a", operator: "anna", text: text})
		time.Sleep(commandInterval)
	}
	return answer
}

// commandInterval keeps the rate of commands below the limit of remembered ids.
const commandInterval = 2 * time.Second

// parseStatement parses "do HOST OPERATOR [id=ID] [signed-by=NAME] [age=DURATION]".
func parseStatement(t *testing.T, data *datadriven.TestData) statement {
	t.Helper()
	statement := statement{host: data.CmdArgs[0].Key, operator: data.CmdArgs[1].Key, text: data.Input}
	var age string
	data.MaybeScanArgs(t, "id", &statement.id)
	data.MaybeScanArgs(t, "signed-by", &statement.signedBy)
	data.MaybeScanArgs(t, "age", &age)
	if age != "" {
		duration, err := time.ParseDuration(age)
		if err != nil {
			t.Fatal(err)
		}
		statement.age = duration
	}
	return statement
}

func (session *session) store(data *datadriven.TestData) {
	store := session.testFleet.store
	for _, argument := range data.CmdArgs {
		switch argument.Key {
		case "outage":
			store.setOutage(true)
		case "up":
			store.setOutage(false)
		case "lose-reply":
			store.setFaults(func() { store.loseReplies = 1 })
		case "late-write":
			store.setFaults(func() { store.lateWrites = 1 })
		case "outage-after-write":
			store.setFaults(func() { store.outageAfterWrite = true })
		case "save":
			store.save()
		case "back":
			store.restoreSaved()
		}
	}
}
