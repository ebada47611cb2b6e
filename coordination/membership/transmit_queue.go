package membership

import "slices"

// transmitQueue selects changes to pass on, those passed on least first.
type transmitQueue[K comparable] struct {
	items []queuedUpdate[K]
}

type queuedUpdate[K comparable] struct {
	key           K
	transmissions int
}

// add queues a change; a change that is queued already starts over.
func (sp *transmitQueue[K]) add(key K) {
	sp.remove(key)
	sp.items = append(sp.items, queuedUpdate[K]{key: key})
}

func (sp *transmitQueue[K]) remove(key K) {
	sp.items = slices.DeleteFunc(sp.items, func(item queuedUpdate[K]) bool { return item.key == key })
}

// takeLeastSent returns up to count changes and forgets those that have been passed on limit times.
func (sp *transmitQueue[K]) takeLeastSent(count, maxTransmissions int) []K {
	slices.SortStableFunc(sp.items, func(left, right queuedUpdate[K]) int { return left.transmissions - right.transmissions })
	keys := make([]K, 0, min(count, len(sp.items)))
	for ix := range min(count, len(sp.items)) {
		keys = append(keys, sp.items[ix].key)
		sp.items[ix].transmissions++
	}
	sp.items = slices.DeleteFunc(sp.items, func(item queuedUpdate[K]) bool { return item.transmissions >= maxTransmissions })
	return keys
}
