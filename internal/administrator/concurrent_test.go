package administrator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// TestConcurrentCommands sends each of twenty commands twice concurrently through
// three hosts. Each must be accepted and applied exactly once.
func TestConcurrentCommands(t *testing.T) {
	const commands = 20
	synctest.Test(t, func(t *testing.T) {
		testFleet := newTestFleet(t)
		defer testFleet.close()
		testFleet.bootstrap([]string{"anna"})
		answers := make([]string, 2*commands)
		var sending sync.WaitGroup
		for index := range answers {
			name := fmt.Sprintf("p%d", index%commands)
			command := statement{host: hostNames[index%len(hostNames)], operator: "anna", id: name, text: "create pool " + name}
			sending.Go(func() { answers[index] = testFleet.do(command) })
		}
		sending.Wait()
		for index, answer := range answers {
			if !strings.Contains(answer, "accepted and in force") || answer != answers[index%commands] {
				t.Errorf("answer %q, answer to the same command %q", answer, answers[index%commands])
			}
		}
		synctest.Wait()
		for name, host := range testFleet.hosts {
			if got := host.follower.Current().Revision(); got != commands+1 {
				t.Errorf("%s is at revision %d, want %d", name, got, commands+1)
			}
		}
	})
}
