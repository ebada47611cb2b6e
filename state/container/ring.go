package container

// Ring is a first-in first-out queue that reuses its memory. Its zero value is empty.
type Ring[T any] struct {
	items []T
	head  int
	count int
}

// Len returns the number of items.
func (rg *Ring[T]) Len() int {
	return rg.count
}

// Push adds an item at the end.
func (rg *Ring[T]) Push(item T) {
	if rg.count == len(rg.items) {
		rg.grow()
	}
	rg.items[(rg.head+rg.count)%len(rg.items)] = item
	rg.count++
}

// Peek returns the first item of a ring that is not empty.
func (rg *Ring[T]) Peek() T {
	return rg.items[rg.head]
}

// Pop removes and returns the first item of a ring that is not empty.
func (rg *Ring[T]) Pop() T {
	var zero T
	item := rg.items[rg.head]
	rg.items[rg.head] = zero
	rg.head = (rg.head + 1) % len(rg.items)
	rg.count--
	return item
}

func (rg *Ring[T]) grow() {
	const minCapacity = 4
	items := make([]T, max(minCapacity, 2*len(rg.items)))
	for index := range rg.count {
		items[index] = rg.items[(rg.head+index)%len(rg.items)]
	}
	rg.items = items
	rg.head = 0
}
