package container

// Ring is a first-in first-out queue in a ring buffer that grows as needed. The zero value is an empty queue.
type Ring[T any] struct {
	items []T
	// head is the index of the first item in items.
	head  int
	count int
}

// Len returns the number of items in the queue.
func (rg *Ring[T]) Len() int {
	return rg.count
}

// Push adds an item at the end of the queue.
func (rg *Ring[T]) Push(item T) {
	if rg.count == len(rg.items) {
		rg.grow()
	}
	rg.items[(rg.head+rg.count)%len(rg.items)] = item
	rg.count++
}

// Peek returns the first item without removing it. The queue must not be empty.
func (rg *Ring[T]) Peek() T {
	return rg.items[rg.head]
}

// Pop removes the first item and returns it. The queue must not be empty.
func (rg *Ring[T]) Pop() T {
	var zero T
	item := rg.items[rg.head]
	rg.items[rg.head] = zero
	rg.head = (rg.head + 1) % len(rg.items)
	rg.count--
	return item
}

// grow doubles the capacity, which is minCapacity at first, and moves the items to the start of the new buffer.
func (rg *Ring[T]) grow() {
	const minCapacity = 4
	items := make([]T, max(minCapacity, 2*len(rg.items)))
	for index := range rg.count {
		items[index] = rg.items[(rg.head+index)%len(rg.items)]
	}
	rg.items = items
	rg.head = 0
}
