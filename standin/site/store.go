// Package site is a small stand-in for the users' platform that follows its published protocol. It has the store and
// the servers of services, whose faults can be switched on and off.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// StoreFault is a way in which the store misbehaves.
type StoreFault int

// Faults of the store.
const (
	// NoStoreFault makes the store respond normally.
	NoStoreFault StoreFault = iota
	// RejectsCalls makes the store respond to every call with status 503.
	RejectsCalls
	// OffsetsExpired makes reads from any offset fail with status 410, as if the records were no longer retained.
	OffsetsExpired
	// IgnoresCalls makes the store accept calls and never respond.
	IgnoresCalls
)

// logRecord is a record of a keyed topic.
type logRecord struct {
	key     string
	value   []byte
	addedAt time.Time
}

// Store is the stand-in for the platform's store, which holds topics of keyed records. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mutex  sync.Mutex
	topics map[string][]logRecord
	// era is in a header field of all responses. It rises with each restore.
	era       int
	fault     StoreFault
	callCount int
	// changed is closed and replaced when a record is appended or the fault is set, which wakes reads that wait.
	changed chan struct{}
}

// NewStore starts an empty store on a free loopback port.
func NewStore() *Store {
	st := &Store{topics: map[string][]logRecord{}, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", st.readNewest)
	mux.HandleFunc("GET /-/log-read", st.readLog)
	mux.HandleFunc("POST /-/log-append", st.append)
	st.server = httptest.NewServer(st.withFault(mux))
	return st
}

// Address returns the store's IP:port.
func (st *Store) Address() string { return st.server.Listener.Addr().(*net.TCPAddr).String() }

// Close stops the store.
func (st *Store) Close() {
	st.SetFault(NoStoreFault)
	st.server.CloseClientConnections()
	st.server.Close()
}

// SetFault replaces the current fault. NoStoreFault ends it.
func (st *Store) SetFault(fault StoreFault) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.fault = fault
	st.notifyChange()
}

// CallCount returns the number of HTTP calls so far, including failed ones.
func (st *Store) CallCount() int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.callCount
}

// Put appends a record to a topic. A record without a value deletes the key.
func (st *Store) Put(topic, key string, value []byte) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.topics[topic] = append(st.topics[topic], logRecord{key: key, value: value, addedAt: time.Now()})
	st.notifyChange()
}

// Restore brings the store back to a copy of the given time. Records added since are gone, and their offsets are given out
// again.
func (st *Store) Restore(copyTime time.Time) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.era++
	for topic, records := range st.topics {
		st.topics[topic] = slices.DeleteFunc(slices.Clone(records), func(record logRecord) bool { return record.addedAt.After(copyTime) })
	}
	st.notifyChange()
}

// Keys returns the keys of a topic that are not deleted, in order.
func (st *Store) Keys(topic string) []string {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	present := map[string]bool{}
	for _, record := range st.topics[topic] {
		present[record.key] = len(record.value) > 0
	}
	maps.DeleteFunc(present, func(_ string, isPresent bool) bool { return !isPresent })
	return slices.Sorted(maps.Keys(present))
}

// setEra sets the header field with the era. The caller holds the lock.
func (st *Store) setEra(rw http.ResponseWriter) { rw.Header().Set("Store-Era", strconv.Itoa(st.era)) }

// notifyChange wakes the reads that wait. The caller holds the lock.
func (st *Store) notifyChange() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// withFault returns a handler that counts calls and applies the current fault before next.
func (st *Store) withFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		st.mutex.Lock()
		st.callCount++
		fault := st.fault
		st.setEra(rw)
		st.mutex.Unlock()
		switch fault {
		case RejectsCalls:
			rw.WriteHeader(http.StatusServiceUnavailable)
		case IgnoresCalls:
			// The server detects that the client has disconnected only after the body has been read.
			_, _ = io.Copy(io.Discard, rq.Body)
			<-rq.Context().Done()
		default:
			next.ServeHTTP(rw, rq)
		}
	})
}

// readNewest handles a request for the newest record of each key of a topic, except for deleted keys.
func (st *Store) readNewest(rw http.ResponseWriter, rq *http.Request) {
	type item struct {
		Key    string
		Value  string
		Offset int
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	records := st.topics[rq.URL.Query().Get("Topic")]
	newestOffset := map[string]int{}
	for offset, record := range records {
		newestOffset[record.key] = offset
	}
	newestItems := []item{}
	for offset, record := range records {
		if newestOffset[record.key] == offset && len(record.value) > 0 {
			newestItems = append(newestItems, item{record.key, base64.StdEncoding.EncodeToString(record.value), offset})
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"Items": newestItems, "HasMore": false, "End": len(records)})
}

// append handles a request to append records to a topic. Each record is a 4-byte big-endian length of the rest, a
// 1-byte key length, the key and the value.
func (st *Store) append(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	for err == nil && len(body) >= 5 {
		recordSize := int(binary.BigEndian.Uint32(body))
		if recordSize+4 > len(body) || int(body[4])+1 > recordSize {
			break
		}
		keySize := int(body[4])
		st.Put(rq.URL.Query().Get("Topic"), string(body[5:5+keySize]), slices.Clone(body[5+keySize:4+recordSize]))
		body = body[4+recordSize:]
	}
	if err != nil || len(body) > 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(rw, `{"Offset":0,"End":0}`)
}

// readLog handles a request for the records of a topic from an offset on. It waits up to WaitMs for a record to appear.
// A fault that is set during the wait applies to the request too.
func (st *Store) readLog(rw http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	firstOffset, _ := strconv.Atoi(query.Get("From"))
	waitMillis, _ := strconv.Atoi(query.Get("WaitMs"))
	waitOver := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		st.mutex.Lock()
		records := st.topics[query.Get("Topic")]
		fault, changed := st.fault, st.changed
		st.setEra(rw)
		st.mutex.Unlock()
		if fault == OffsetsExpired || firstOffset > len(records) {
			rw.WriteHeader(http.StatusGone)
			return
		}
		if fault == RejectsCalls {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(records) > firstOffset || waitMillis == 0 {
			writeRecords(rw, records, firstOffset)
			return
		}
		select {
		case <-changed:
		case <-waitOver:
			waitMillis = 0
		case <-rq.Context().Done():
			return
		}
	}
}

// writeRecords writes the offset after the last record, the first retained offset, which is always 0, and the records
// from an offset on, in the format that append reads.
func writeRecords(rw http.ResponseWriter, records []logRecord, firstOffset int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(firstOffset, len(records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	_, _ = rw.Write(body)
}
