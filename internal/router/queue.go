package router

import (
	"container/list"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/keeper"
)

const (
	lanes      = 2
	priorities = 10
)

// waiter is one request that waits for a slot, or one spare want of a
// borrower.
type waiter struct {
	request Request
	// lane is the request's, or Long where its class was seen to run long.
	lane  definer.Lane
	since time.Time
	// borrower is the entry host that asks; empty for our own requests.
	borrower string
	// spare is true for a borrower's want of a slot that nobody here misses.
	spare bool
	// ready gets the one grant; it has room for it.
	ready chan grant
	// element is the waiter's place in a queue; nil outside of one.
	element *list.Element
}

// need returns what the waiter asks of a keeper while count requests wait in
// its lane.
func (waiter *waiter) need(count int, patient bool) keeper.Need {
	request := waiter.request
	need := keeper.NewNeed(waiter.lane, request.class, request.isolated, request.avoid)
	if waiter.spare {
		return need.Spare()
	}
	return need.Queued(count, patient)
}

// queue orders the waiters of a pool: by lane, then by priority, then by
// arrival. The zero value is empty.
type queue struct {
	lists [lanes][priorities]list.List
	// counts holds the number of waiters in each lane.
	counts [lanes]int
}

func level(waiter *waiter) int { return min(max(waiter.request.priority, 0), priorities-1) }

// len returns the number of waiters.
func (queue *queue) len() int { return queue.counts[definer.Short] + queue.counts[definer.Long] }

func (queue *queue) push(waiter *waiter) {
	waiter.element = queue.lists[waiter.lane][level(waiter)].PushBack(waiter)
	queue.counts[waiter.lane]++
}

// remove takes waiter out and reports whether it was in.
func (queue *queue) remove(waiter *waiter) bool {
	if waiter.element == nil {
		return false
	}
	queue.lists[waiter.lane][level(waiter)].Remove(waiter.element)
	waiter.element = nil
	queue.counts[waiter.lane]--
	return true
}

// first returns up to count waiters of lane in their order.
func (queue *queue) first(lane definer.Lane, count int) []*waiter {
	if queue.counts[lane] == 0 {
		return nil
	}
	var first []*waiter
	for priority := priorities - 1; priority >= 0; priority-- {
		for element := queue.lists[lane][priority].Front(); element != nil; element = element.Next() {
			if len(first) == count {
				return first
			}
			first = append(first, element.Value.(*waiter))
		}
	}
	return first
}

// ahead returns how many waiters of lane a request of priority comes after.
func (queue *queue) ahead(lane definer.Lane, priority int) int {
	ahead := 0
	for above := min(max(priority, 0), priorities-1); above < priorities; above++ {
		ahead += queue.lists[lane][above].Len()
	}
	return ahead
}

// below returns the newest waiter of the lowest priority under priority in
// lane, or nil.
func (queue *queue) below(lane definer.Lane, priority int) *waiter {
	for under := range min(priority, priorities) {
		if last := queue.lists[lane][under].Back(); last != nil {
			return last.Value.(*waiter)
		}
	}
	return nil
}

// all returns every waiter.
func (queue *queue) all() []*waiter {
	return append(queue.first(definer.Short, queue.len()), queue.first(definer.Long, queue.len())...)
}

// pace measures how fast a lane's queue moves while it isn't empty.
type pace struct {
	// grants and busy are the grants and the time that they took, halved
	// together each time that grants reaches paceMemory.
	grants float64
	busy   time.Duration
	// since is the last grant or the time that the queue began to fill.
	since time.Time
}

const paceMemory = 64

// start notes that the first request waits since now.
func (pace *pace) start(now time.Time) { pace.since = now }

// grant notes a grant to a request that waited.
func (pace *pace) grant(now time.Time) {
	pace.grants++
	pace.busy += now.Sub(pace.since)
	pace.since = now
	if pace.grants >= paceMemory {
		pace.grants /= 2
		pace.busy /= 2
	}
}

// wait returns how long count grants take, or false where nothing is known.
func (pace *pace) wait(count int) (time.Duration, bool) {
	if pace.grants < priorities {
		return 0, false
	}
	return time.Duration(float64(count) * float64(pace.busy) / pace.grants), true
}
