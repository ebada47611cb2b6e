package bodymemory

import (
	"slices"
	"time"
)

const (
	// maxWaits and waitTime bound how long a body waits for the memory of clients that were interrupted.
	maxWaits = 2
	waitTime = 250 * time.Millisecond
	// progressBytes is the least that a client sends within the stall time, progressPart the part of its reserved memory
	// that it sends if that is more.
	progressBytes = 4 << 10
	progressPart  = 64
)

// reader is a client whose head or body is read, and the memory that it takes.
type reader struct {
	memory *Memory
	// interrupt ends the reading; nil if it can't be ended.
	interrupt func()
	// head is the head of the request of a body that is read; nil if it is unknown.
	head *Head

	// The mutex of the memory guards the fields below.
	amounts [accountCount]int64
	// progressAt is when the client had sent progressTotal bytes, and that was progress.
	progressAt    time.Time
	progressTotal int64
	interrupted   bool
}

// begin makes the client one that can be interrupted. The caller holds the mutex.
func (rd *reader) begin() {
	mm := rd.memory
	if mm.clock == nil || rd.interrupt == nil {
		return
	}
	rd.progressAt, rd.progressTotal, rd.interrupted = mm.clock.Now(), 0, false
	mm.readers[rd] = struct{}{}
}

// end makes the client one that is not interrupted any more, and reports whether it was.
func (rd *reader) end() bool {
	rd.memory.mutex.Lock()
	defer rd.memory.mutex.Unlock()
	delete(rd.memory.readers, rd)
	return rd.interrupted
}

// progress records how much the client has sent.
func (rd *reader) progress(total int64) {
	mm := rd.memory
	if mm.clock == nil {
		return
	}
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	if total-rd.progressTotal >= max(progressBytes, (rd.amounts[longBodies]+rd.amounts[shortBodies])/progressPart) {
		rd.progressAt, rd.progressTotal = mm.clock.Now(), total
	}
}

// missing returns how many bytes are missing to take more of an account, and in which one: this one or all together. The
// caller holds the mutex.
func (rd *reader) missing(in account, added int64) (int64, account) {
	mm := rd.memory
	missingIn := mm.reserved[in] + added - mm.limits[in]
	if missingInAll := mm.reserved[all] + added - mm.limits[all]; mm.limits[all] > 0 && missingInAll > missingIn {
		return missingInAll, all
	}
	return missingIn, in
}

// set changes what the client takes of an account. The caller holds the mutex.
func (rd *reader) set(in account, amount int64) {
	rd.memory.reserved[in] += amount - rd.amounts[in]
	rd.memory.reserved[all] += amount - rd.amounts[in]
	if amount < rd.amounts[in] {
		close(rd.memory.released)
		rd.memory.released = make(chan struct{})
	}
	rd.amounts[in] = amount
}

// clear releases all memory of the client.
func (rd *reader) clear() {
	rd.memory.mutex.Lock()
	defer rd.memory.mutex.Unlock()
	for in := range all {
		rd.set(in, 0)
	}
}

// taken returns what the client takes of an account, with the head and the connection of its request. The caller holds the
// mutex.
func (rd *reader) taken(of account) int64 {
	var amount int64
	for in := range all {
		if of == all || of == in {
			amount += rd.amounts[in]
			if rd.head != nil {
				amount += rd.head.amounts[in]
			}
		}
	}
	return amount
}

// interruptStalled interrupts the clients that have stalled for longest, until they take the missing bytes of an account
// together, and reports whether they do. The caller holds the mutex.
func (mm *Memory) interruptStalled(of account, missing int64) bool {
	if mm.clock == nil {
		return false
	}
	var stalled []*reader
	stalledSince := mm.clock.Now().Add(-mm.stallTime)
	for rd := range mm.readers {
		switch {
		case rd.interrupted:
			missing -= rd.taken(of)
		case rd.taken(of) > 0 && !rd.progressAt.After(stalledSince):
			stalled = append(stalled, rd)
		}
	}
	sortByProgress(stalled)
	for _, rd := range stalled {
		if missing <= 0 {
			break
		}
		missing -= rd.taken(of)
		mm.interruptReader(rd)
	}
	return missing <= 0
}

// interruptReader ends the reading of a client. The caller holds the mutex.
func (mm *Memory) interruptReader(rd *reader) {
	rd.interrupted = true
	mm.counts.Interrupted++
	rd.interrupt()
}

// interruptionsAtOnce is the number of clients that InterruptMostStalled interrupts.
const interruptionsAtOnce = 16

// InterruptMostStalled interrupts some of the clients that have made no progress for longest. It does nothing while clients
// that were interrupted have not ended.
func (mm *Memory) InterruptMostStalled() {
	if mm == nil || mm.clock == nil {
		return
	}
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	var stalled []*reader
	stalledSince := mm.clock.Now().Add(-mm.stallTime)
	for rd := range mm.readers {
		switch {
		case rd.interrupted:
			return
		case !rd.progressAt.After(stalledSince):
			stalled = append(stalled, rd)
		}
	}
	sortByProgress(stalled)
	for _, rd := range stalled[:min(len(stalled), interruptionsAtOnce)] {
		mm.interruptReader(rd)
	}
}

// sortByProgress puts the clients that have made no progress for longest first.
func sortByProgress(readers []*reader) {
	slices.SortFunc(readers, func(first, second *reader) int { return first.progressAt.Compare(second.progressAt) })
}
