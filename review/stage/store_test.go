//go:build review

package stage

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeAnswerTime is how long the store takes for an answer, as the sheet of the deployment says.
const storeAnswerTime = 4 * time.Millisecond

// store is a stand-in of the platform's store: keyed topics with one partition, whose records are retained.
type store struct {
	listener net.Listener
	server   *http.Server
	// silent says that the store answers nothing.
	silent atomic.Bool

	mutex   sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sr := &store{listener: listener, topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", sr.newest)
	mux.HandleFunc("GET /-/log-read", sr.read)
	mux.HandleFunc("POST /-/log-append", sr.append)
	sr.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(storeAnswerTime)
		if sr.silent.Load() {
			<-request.Context().Done()
			return
		}
		mux.ServeHTTP(writer, request)
	})}
	go func() { _ = sr.server.Serve(listener) }()
	return sr, nil
}

func (sr *store) address() string { return sr.listener.Addr().String() }

func (sr *store) close() { _ = sr.server.Close() }

// put appends a record. One without a value drops the key.
func (sr *store) put(topic, key string, value []byte) {
	sr.mutex.Lock()
	defer sr.mutex.Unlock()
	sr.topics[topic] = append(sr.topics[topic], storeRecord{key, value})
	close(sr.changed)
	sr.changed = make(chan struct{})
}

func (sr *store) putJSON(topic, key string, value any) {
	body, err := json.Marshal(value)
	check(err)
	sr.put(topic, key, body)
}

func (sr *store) newest(writer http.ResponseWriter, request *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	sr.mutex.Lock()
	records := slices.Clone(sr.topics[request.URL.Query().Get("Topic")])
	sr.mutex.Unlock()
	newest := map[string]int{}
	for offset, record := range records {
		newest[record.key] = offset
	}
	items := []item{}
	for key, offset := range newest {
		if len(records[offset].value) > 0 && key > request.URL.Query().Get("After") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(records[offset].value), offset})
		}
	}
	slices.SortFunc(items, func(left, right item) int { return strings.Compare(left.Key, right.Key) })
	const pageItems = 500
	hasMore := len(items) > pageItems
	items = items[:min(pageItems, len(items))]
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"Items": items, "HasMore": hasMore, "End": len(records)})
}

func (sr *store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("From"))
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	over := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		sr.mutex.Lock()
		records, changed := sr.topics[query.Get("Topic")], sr.changed
		sr.mutex.Unlock()
		if len(records) > from || waitMs == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
				body = append(append(append(body, byte(len(record.key))), record.key...), record.value...)
			}
			_, _ = writer.Write(body)
			return
		}
		select {
		case <-changed:
		case <-over:
			waitMs = 0
		case <-request.Context().Done():
			return
		}
	}
}

func (sr *store) append(writer http.ResponseWriter, request *http.Request) {
	topic := request.URL.Query().Get("Topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(request.Body)
	var records []storeRecord
	for err == nil && len(body) >= 5 {
		size, keySize := int(binary.BigEndian.Uint32(body)), int(body[4])
		if size+4 > len(body) || keySize+1 > size {
			break
		}
		records = append(records, storeRecord{string(body[5 : 5+keySize]), slices.Clone(body[5+keySize : 4+size])})
		body = body[4+size:]
	}
	if err != nil || len(body) > 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	sr.mutex.Lock()
	offset := len(sr.topics[topic])
	sr.mutex.Unlock()
	for _, record := range records {
		sr.put(topic, record.key, record.value)
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"Offset": offset, "End": offset + len(records)})
}

// The desired state: one host name, one tenant, the routes of the deployment kspump-lever.
const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	// maxBodyBytes is MaxBodyBytes of the deployment.
	maxBodyBytes = 4 << 20
)

// publish writes the first desired state. The time-outs are those of the sheet unless a case needs longer ones.
func (sr *store) publish(plainTimeoutMs int) { sr.publishCold(plainTimeoutMs, 0, 0) }

// publishCold writes it with a plain service whose servers are cold for a time after their start.
func (sr *store) publishCold(plainTimeoutMs int, coldS, coldPerS float64) {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, gapMs, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": targetMs, "Priority": 1,
			"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": kind == "streaming", "Resumable": kind == "streaming", "TargetGapMs": gapMs,
		}
	}
	sr.putJSON("keyed.op", "config", map[string]any{
		"Version": 7,
		"Routes": []any{
			route("quick-booking", "/quick/", "streaming", "lever-llm", 10_000, 300, 250, 2),
			route("schedule-review", "/schedule/", "streaming", "lever-llm", 10_000, 1500, 600, 2),
			route("confirm-pump", "/confirm/", "non_idempotent", "bookings-app", plainTimeoutMs, 300, 0, 1),
			route("check-slot", "/check/", "idempotent", "bookings-app", plainTimeoutMs, 300, 0, 2),
		},
		"Services": []any{
			map[string]any{"Name": "lever-llm", "HealthPath": "/healthz", "MaxConnections": 616, "Engine": map[string]any{
				"Slots": 16, "KvCapacityTokens": 315_000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 177_000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
			}},
			map[string]any{"Name": "bookings-app", "HealthPath": "/healthz", "MaxConnections": 248, "ColdS": coldS, "ColdPerS": coldPerS},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
}
