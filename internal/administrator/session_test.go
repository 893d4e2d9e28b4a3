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

// TestSessions runs the golden sessions under testdata in virtual time.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			session := &session{world: newWorld(t)}
			defer func() { session.world.close() }()
			datadriven.RunTest(t, path, session.run)
		})
	})
}

// session is one golden file.
type session struct{ world *world }

func (session *session) run(t *testing.T, data *datadriven.TestData) string {
	world := session.world
	switch data.Cmd {
	case "reset":
		world.close()
		session.world = newWorld(t)
	case "fleet":
		world.fleet(data.CmdArgs[0].Vals)
		return world.revisions()
	case "host":
		world.start(data.CmdArgs[0].Key, data.HasArg("watcher"))
	case "stop":
		world.stop(data.CmdArgs[0].Key)
	case "cut", "join":
		world.setCut(data.CmdArgs[0].Key, data.Cmd == "cut")
	case "watcher":
		for name, host := range world.hosts {
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
		return world.revisions()
	case "do":
		answer := world.do(statementOf(t, data))
		synctest.Wait()
		return answer
	case "pools":
		return session.pools(t, data)
	case "keys":
		return strings.Join(slices.Sorted(maps.Keys(world.store.entries)), "\n") + "\n"
	case "calls":
		store := world.store
		return fmt.Sprintf("%d reads, %d writes, %d watches\n", store.reads, store.writes, store.watches)
	default:
		data.Fatalf(t, "unknown command %s", data.Cmd)
	}
	return ""
}

// pools proposes count pools, one by one, and shows the last answer.
func (session *session) pools(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var count int
	data.ScanArgs(t, "count", &count)
	answer := ""
	for index := range count {
		text := fmt.Sprintf("create pool p%d", index)
		answer = session.world.do(statement{host: "a", operator: "anna", text: text})
		time.Sleep(pauseBetween)
	}
	return answer
}

// pauseBetween keeps many commands below the bound of remembered ids.
const pauseBetween = 2 * time.Second

// statementOf reads "do HOST OPERATOR [id=ID] [signed-by=NAME] [age=DURATION]".
func statementOf(t *testing.T, data *datadriven.TestData) statement {
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
	store := session.world.store
	for _, argument := range data.CmdArgs {
		switch argument.Key {
		case "outage":
			store.setOutage(true)
		case "up":
			store.setOutage(false)
		case "lose-reply":
			store.set(func() { store.loseNext = 1 })
		case "late-write":
			store.set(func() { store.lateNext = 1 })
		case "outage-after-write":
			store.set(func() { store.outageAfterWrite = true })
		case "save":
			store.save()
		case "back":
			store.back()
		}
	}
}
