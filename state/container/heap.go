// Package container provides generic containers: a binary heap and a ring buffer. They are not safe for concurrent use.
package container

// Heap is a binary heap that is ordered by a less function. Use NewHeap to create one; the zero value can't be used.
type Heap[T any] struct {
	less  func(left, right T) bool
	items []T
}

// NewHeap returns an empty heap. Its least item, according to less, is the first.
func NewHeap[T any](less func(left, right T) bool) *Heap[T] {
	return &Heap[T]{less: less}
}

// Len returns the number of items in the heap.
func (hp *Heap[T]) Len() int {
	return len(hp.items)
}

// Peek returns the least item without removing it. It panics if the heap is empty.
func (hp *Heap[T]) Peek() T {
	return hp.items[0]
}

// Push adds an item to the heap.
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

// Pop removes the least item and returns it. It panics if the heap is empty.
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

// siftDown moves the item at index down until neither of its children is less.
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
