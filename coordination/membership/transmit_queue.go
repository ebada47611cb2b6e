package membership

import "slices"

// transmitQueue holds the keys of updates to be sent to other members. It hands out the updates sent least often first.
type transmitQueue[K comparable] struct {
	queued []queuedUpdate[K]
}

type queuedUpdate[K comparable] struct {
	key       K
	timesSent int
}

// add queues an update. If the update is already queued, its send count starts again at zero.
func (tq *transmitQueue[K]) add(key K) {
	tq.remove(key)
	tq.queued = append(tq.queued, queuedUpdate[K]{key: key})
}

func (tq *transmitQueue[K]) remove(key K) {
	tq.queued = slices.DeleteFunc(tq.queued, func(item queuedUpdate[K]) bool { return item.key == key })
}

// takeLeastSent returns up to count updates for one message, and removes those that have now been sent maxTimesSent
// times.
func (tq *transmitQueue[K]) takeLeastSent(count, maxTimesSent int) []K {
	slices.SortStableFunc(tq.queued, func(left, right queuedUpdate[K]) int { return left.timesSent - right.timesSent })
	keys := make([]K, 0, min(count, len(tq.queued)))
	for ix := range min(count, len(tq.queued)) {
		keys = append(keys, tq.queued[ix].key)
		tq.queued[ix].timesSent++
	}
	tq.queued = slices.DeleteFunc(tq.queued, func(item queuedUpdate[K]) bool { return item.timesSent >= maxTimesSent })
	return keys
}
