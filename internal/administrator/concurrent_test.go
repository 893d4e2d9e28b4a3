package administrator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// TestCommandsAtOnce sends each of twenty commands twice at the same time over
// three hosts: all are accepted, each once.
func TestCommandsAtOnce(t *testing.T) {
	const commands = 20
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t)
		defer world.close()
		world.fleet([]string{"anna"})
		answers := make([]string, 2*commands)
		var sending sync.WaitGroup
		for index := range answers {
			name := fmt.Sprintf("p%d", index%commands)
			command := statement{host: hostNames[index%len(hostNames)], operator: "anna", id: name, text: "create pool " + name}
			sending.Go(func() { answers[index] = world.do(command) })
		}
		sending.Wait()
		for index, answer := range answers {
			if !strings.Contains(answer, "accepted and in force") || answer != answers[index%commands] {
				t.Errorf("%q and %q", answer, answers[index%commands])
			}
		}
		synctest.Wait()
		for name, host := range world.hosts {
			if got := host.follower.Current().Revision(); got != commands+1 {
				t.Errorf("%s is at revision %d, want %d", name, got, commands+1)
			}
		}
	})
}
