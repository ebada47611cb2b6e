// Package site is a small stand-in of the users' platform, by its published protocol: the store and servers of
// services. Faults can be switched on.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// StoreFault is a way in which the store fails.
type StoreFault int

// Faults of the store.
const (
	// NoStoreFault lets the store answer.
	NoStoreFault StoreFault = iota
	// RejectsCalls has every call refused.
	RejectsCalls
	// OffsetsExpired has reads from any offset answered as no longer kept.
	OffsetsExpired
	// IgnoresCalls has no call answered.
	IgnoresCalls
)

type record struct {
	key   string
	value []byte
}

// Store is the platform's store.
type Store struct {
	server *httptest.Server

	mutex  sync.Mutex
	topics map[string][]record
	fault  StoreFault
	calls  int
	grown  chan struct{}
}

// NewStore starts a store on a port of its own.
func NewStore() *Store {
	st := &Store{topics: map[string][]record{}, grown: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", st.newest)
	mux.HandleFunc("GET /-/log-read", st.read)
	mux.HandleFunc("POST /-/log-append", st.append)
	st.server = httptest.NewServer(st.faulty(mux))
	return st
}

// Address returns the store's IP:port.
func (st *Store) Address() string { return st.server.Listener.Addr().(*net.TCPAddr).String() }

// Close ends the store.
func (st *Store) Close() {
	st.SetFault(NoStoreFault)
	st.server.CloseClientConnections()
	st.server.Close()
}

// SetFault switches a fault on, or off with NoStoreFault.
func (st *Store) SetFault(fault StoreFault) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.fault = fault
	st.wake()
}

// CallCount returns the number of calls so far.
func (st *Store) CallCount() int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.calls
}

// Put appends a record to a topic; without a value it drops the key.
func (st *Store) Put(topic, key string, value []byte) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.topics[topic] = append(st.topics[topic], record{key: key, value: value})
	st.wake()
}

func (st *Store) wake() {
	close(st.grown)
	st.grown = make(chan struct{})
}

func (st *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		st.mutex.Lock()
		st.calls++
		fault := st.fault
		st.mutex.Unlock()
		switch fault {
		case RejectsCalls:
			wr.WriteHeader(http.StatusServiceUnavailable)
		case IgnoresCalls:
			// The end of the connection is only seen once the body has been read.
			_, _ = io.Copy(io.Discard, rq.Body)
			<-rq.Context().Done()
		default:
			next.ServeHTTP(wr, rq)
		}
	})
}

func (st *Store) newest(wr http.ResponseWriter, rq *http.Request) {
	type item struct {
		Key    string
		Value  string
		Offset int
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	records := st.topics[rq.URL.Query().Get("Topic")]
	last := map[string]int{}
	for offset, rec := range records {
		last[rec.key] = offset
	}
	items := []item{}
	for offset, rec := range records {
		if last[rec.key] == offset && len(rec.value) > 0 {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), offset})
		}
	}
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"Items": items, "HasMore": false, "End": len(records)})
}

// append takes the records of a keyed topic.
func (st *Store) append(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	for err == nil && len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size+4 > len(body) || int(body[4])+1 > size {
			break
		}
		key := int(body[4])
		st.Put(rq.URL.Query().Get("Topic"), string(body[5:5+key]), slices.Clone(body[5+key:4+size]))
		body = body[4+size:]
	}
	if err != nil || len(body) > 0 {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(wr, `{"Offset":0,"End":0}`)
}

func (st *Store) read(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	from, _ := strconv.Atoi(query.Get("From"))
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mutex.Lock()
		records := st.topics[query.Get("Topic")]
		fault, grown := st.fault, st.grown
		st.mutex.Unlock()
		if fault == OffsetsExpired {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if fault == RejectsCalls {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(records) > from || wait == 0 {
			writeRecords(wr, records, from)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			wait = 0
		case <-rq.Context().Done():
			return
		}
	}
}

func writeRecords(wr http.ResponseWriter, records []record, from int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range records[min(from, len(records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(body, byte(len(rec.key)))
		body = append(body, rec.key...)
		body = append(body, rec.value...)
	}
	_, _ = wr.Write(body)
}
