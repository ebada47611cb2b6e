// Package container provides generic containers for the decision packages.
package container

// Heap is a binary heap ordered by less. Its zero value is not ready; use NewHeap.
type Heap[T any] struct {
	less  func(left, right T) bool
	items []T
}

// NewHeap returns an empty heap whose first item is the least.
func NewHeap[T any](less func(left, right T) bool) *Heap[T] {
	return &Heap[T]{less: less}
}

// Len returns the number of items.
func (hp *Heap[T]) Len() int {
	return len(hp.items)
}

// Peek returns the least item of a heap that is not empty.
func (hp *Heap[T]) Peek() T {
	return hp.items[0]
}

// Push adds an item.
func (hp *Heap[T]) Push(item T) {
	hp.items = append(hp.items, item)
	index := len(hp.items) - 1
	for index > 0 {
		parent := (index - 1) / 2
		if !hp.less(hp.items[index], hp.items[parent]) {
			return
		}
		hp.items[index], hp.items[parent] = hp.items[parent], hp.items[index]
		index = parent
	}
}

// Pop removes and returns the least item of a heap that is not empty.
func (hp *Heap[T]) Pop() T {
	least := hp.items[0]
	last := len(hp.items) - 1
	hp.items[0] = hp.items[last]
	var zero T
	hp.items[last] = zero
	hp.items = hp.items[:last]
	hp.siftDown(0)
	return least
}

func (hp *Heap[T]) siftDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(hp.items) {
			return
		}
		if child+1 < len(hp.items) && hp.less(hp.items[child+1], hp.items[child]) {
			child++
		}
		if !hp.less(hp.items[child], hp.items[index]) {
			return
		}
		hp.items[index], hp.items[child] = hp.items[child], hp.items[index]
		index = child
	}
}
