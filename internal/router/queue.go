package router

import (
	"container/list"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/selector"
)

const (
	lanes      = 2
	priorities = 10
)

// waiter is a request that waits for a slot, or a spare borrow request of
// another host.
type waiter struct {
	request Request
	// lane is the request's, or Long if its class has been observed to run
	// long.
	lane  definer.Lane
	since time.Time
	// borrower is the entry host that borrows; empty for this host's requests.
	borrower string
	// spare is true for a borrow request that takes only slots that this host's
	// own requests don't need.
	spare bool
	// ready receives the one decision; it is buffered, so that the sender never
	// blocks.
	ready chan decision
	// element is the waiter's position in the queue, or nil if it is not queued.
	element *list.Element
}

// need returns the waiter's requirements on its endpoint while count requests
// wait in its lane.
func (waiter *waiter) need(count int, mayWait bool) selector.Need {
	request := waiter.request
	need := selector.NewNeed(waiter.lane, request.class, request.isolated, request.avoid)
	if waiter.spare {
		return need.Spare()
	}
	return need.Queued(count, mayWait)
}

// queue orders the waiters of a pool: by lane, then by priority, then by
// arrival. The zero value is empty.
type queue struct {
	lists [lanes][priorities]list.List
	// counts holds the number of waiters in each lane.
	counts [lanes]int
}

func priorityLevel(waiter *waiter) int { return min(max(waiter.request.priority, 0), priorities-1) }

// len returns the number of waiters.
func (queue *queue) len() int { return queue.counts[definer.Short] + queue.counts[definer.Long] }

func (queue *queue) push(waiter *waiter) {
	waiter.element = queue.lists[waiter.lane][priorityLevel(waiter)].PushBack(waiter)
	queue.counts[waiter.lane]++
}

// remove removes waiter and reports whether it was queued.
func (queue *queue) remove(waiter *waiter) bool {
	if waiter.element == nil {
		return false
	}
	queue.lists[waiter.lane][priorityLevel(waiter)].Remove(waiter.element)
	waiter.element = nil
	queue.counts[waiter.lane]--
	return true
}

// first returns up to count waiters of lane in queue order.
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

// ahead returns how many waiters of lane precede a new request of priority.
func (queue *queue) ahead(lane definer.Lane, priority int) int {
	ahead := 0
	for above := min(max(priority, 0), priorities-1); above < priorities; above++ {
		ahead += queue.lists[lane][above].Len()
	}
	return ahead
}

// below returns the newest waiter of the lowest priority below priority in
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

// grantRate measures the rate at which slots are granted to a lane's queue
// while it isn't empty.
type grantRate struct {
	// grants counts the grants and busy the time that they took. Both are
	// halved each time that grants reaches grantRateWindow.
	grants float64
	busy   time.Duration
	// since is the time of the last grant, or of the first request in an empty
	// queue.
	since time.Time
}

const grantRateWindow = 64

// start records that the queue begins to fill at now.
func (grantRate *grantRate) start(now time.Time) { grantRate.since = now }

// grant records a grant to a request that waited.
func (grantRate *grantRate) grant(now time.Time) {
	grantRate.grants++
	grantRate.busy += now.Sub(grantRate.since)
	grantRate.since = now
	if grantRate.grants >= grantRateWindow {
		grantRate.grants /= 2
		grantRate.busy /= 2
	}
}

// wait returns the estimated time of count grants, or false if there are too
// few samples.
func (grantRate *grantRate) wait(count int) (time.Duration, bool) {
	if grantRate.grants < priorities {
		return 0, false
	}
	return time.Duration(float64(count) * float64(grantRate.busy) / grantRate.grants), true
}
