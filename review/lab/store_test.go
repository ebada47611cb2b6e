//go:build review

package lab

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// encoded returns the record as the log holds it: its length, the length of the key, the key and the value.
func (rc record) encoded() []byte {
	bytes := binary.BigEndian.AppendUint32(nil, uint32(1+len(rc.key)+len(rc.value)))
	return append(append(append(bytes, byte(len(rc.key))), rc.key...), rc.value...)
}

// store is a stand-in for the platform's store with keyed topics of one partition. It answers after 4 ms, reads return at
// most MaxKb, and pages of the newest records at most 500 records or 1 MB, as the pages say.
type store struct {
	listener net.Listener

	mutex   sync.Mutex
	topics  map[string][]record
	changed chan struct{}
}

const (
	storeDelay     = 4 * time.Millisecond
	defaultMaxKb   = 1024
	pageItems      = 500
	pageBytes      = 1 << 20
	maxRecordBytes = 262_144
)

func newStore() *store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	st := &store{listener: listener, topics: map[string][]record{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", st.newest)
	mux.HandleFunc("GET /-/log-read", st.read)
	mux.HandleFunc("POST /-/log-append", st.append)
	go func() { _ = http.Serve(listener, mux) }()
	return st
}

// Address returns the store's IP:port.
func (st *store) Address() string { return st.listener.Addr().String() }

// Put appends a record and returns when the store has accepted it.
func (st *store) Put(topic, key string, value []byte) {
	if 1+len(key)+len(value) > maxRecordBytes {
		fmt.Println("a record is too long")
		os.Exit(exitNotRun)
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.topics[topic] = append(st.topics[topic], record{key, value})
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) append(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	topic := request.URL.Query().Get("Topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	body, _ := io.ReadAll(request.Body)
	for len(body) >= 5 {
		size, keySize := int(binary.BigEndian.Uint32(body)), int(body[4])
		if 4+size > len(body) || 1+keySize > size {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		st.Put(topic, string(body[5:5+keySize]), slices.Clone(body[5+keySize:4+size]))
		body = body[4+size:]
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	_, _ = fmt.Fprintf(writer, `{"Offset":%d,"End":%d}`, len(st.topics[topic])-1, len(st.topics[topic]))
}

func (st *store) newest(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	query := request.URL.Query()
	st.mutex.Lock()
	records := st.topics[query.Get("Topic")]
	last := map[string]int{}
	for offset, rc := range records {
		last[rc.key] = offset
	}
	var keys []string
	for key, offset := range last {
		if len(records[offset].value) > 0 && key > query.Get("After") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	body := []byte(`{"Items":[`)
	items, bytes := 0, 0
	for _, key := range keys {
		value := records[last[key]].value
		if items == pageItems || items > 0 && bytes+len(value) > pageBytes {
			break
		}
		if items > 0 {
			body = append(body, ',')
		}
		items++
		bytes += len(value)
		name, _ := json.Marshal(key)
		body = append(append(append(body, `{"Key":`...), name...), `,"Value":"`...)
		body = append(base64.StdEncoding.AppendEncode(body, value), fmt.Sprintf(`","Offset":%d}`, last[key])...)
	}
	body = append(body, fmt.Sprintf(`],"HasMore":%t,"End":%d}`, items < len(keys), len(records))...)
	st.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

func (st *store) read(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("From"))
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	maxKb := defaultMaxKb
	if text := query.Get("MaxKb"); text != "" {
		maxKb, _ = strconv.Atoi(text)
	}
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mutex.Lock()
		records, changed := st.topics[query.Get("Topic")], st.changed
		st.mutex.Unlock()
		if len(records) > from || wait == 0 {
			body := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(len(records))), 0)
			size := 0
			for _, rc := range records[min(from, len(records)):] {
				encoded := rc.encoded()
				if size > 0 && size+len(encoded) > maxKb<<10 {
					break
				}
				size += len(encoded)
				body = append(body, encoded...)
			}
			_, _ = writer.Write(body)
			return
		}
		select {
		case <-changed:
		case <-over:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

// publish appends a desired state.
func (st *store) PublishDesiredState(state map[string]any) error {
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	st.Put("keyed.op", "config", body)
	return nil
}
