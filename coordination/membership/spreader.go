package membership

import "slices"

// spreader selects changes to pass on, those passed on least first.
type spreader[K comparable] struct {
	items []spread[K]
}

type spread[K comparable] struct {
	key  K
	sent int
}

// add queues a change; a change that is queued already starts over.
func (sp *spreader[K]) add(key K) {
	sp.remove(key)
	sp.items = append(sp.items, spread[K]{key: key})
}

func (sp *spreader[K]) remove(key K) {
	sp.items = slices.DeleteFunc(sp.items, func(item spread[K]) bool { return item.key == key })
}

// take returns up to count changes and forgets those that have been passed on limit times.
func (sp *spreader[K]) take(count, limit int) []K {
	slices.SortStableFunc(sp.items, func(left, right spread[K]) int { return left.sent - right.sent })
	taken := make([]K, 0, min(count, len(sp.items)))
	for ix := range min(count, len(sp.items)) {
		taken = append(taken, sp.items[ix].key)
		sp.items[ix].sent++
	}
	sp.items = slices.DeleteFunc(sp.items, func(item spread[K]) bool { return item.sent >= limit })
	return taken
}
