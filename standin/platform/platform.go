// Package platform is a stand-in for the platform: its log, its host list and its weight store.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	maxRecordBytes = 16 << 20
	maxReadRecords = 1000
	weightChunk    = 64 << 10
)

// Config sets the limits of the stand-in.
type Config struct {
	// AppendsPerSecond limits appends to the log.
	AppendsPerSecond float64
	// RetainRecords is how many records a stream keeps; 0 keeps all.
	RetainRecords int
	// Retention is how long a stream keeps records; 0 keeps them for good.
	Retention time.Duration
	// ListLag delays changes of the host list.
	ListLag time.Duration
	// WeightBytesPerSecond limits reads of weights.
	WeightBytesPerSecond int
	// WeightBytes is the size of each model.
	WeightBytes int
}

// DefaultConfig returns limits like the platform's.
func DefaultConfig() Config {
	return Config{
		AppendsPerSecond:     300,
		ListLag:              2 * time.Second,
		WeightBytesPerSecond: 64 << 20,
		WeightBytes:          4 << 20,
	}
}

type stream struct {
	start   id.Offset
	records []stored
}

type stored struct {
	at   time.Time
	body []byte
}

type change struct {
	due  time.Time
	host platform.Host
	gone bool
}

// Server is the platform's stand-in.
type Server struct {
	Faults *fault.Switch

	config  Config
	clock   timer.Service
	appends *rate.Limiter
	weights *rate.Limiter

	mutex   sync.Mutex
	streams map[platform.Stream]*stream
	hosts   map[string]platform.Host
	changes []change
}

// New returns a platform without records or hosts.
func New(config Config, clock timer.Service) *Server {
	return &Server{
		Faults:  fault.New(),
		config:  config,
		clock:   clock,
		appends: rate.NewLimiter(rate.Limit(config.AppendsPerSecond), int(config.AppendsPerSecond)+1),
		weights: rate.NewLimiter(rate.Limit(config.WeightBytesPerSecond), weightChunk),
		streams: map[platform.Stream]*stream{},
		hosts:   map[string]platform.Host{},
	}
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.LogPath+"{stream}", sv.append)
	mux.HandleFunc("GET "+platform.LogPath+"{stream}", sv.read)
	mux.HandleFunc("GET "+platform.HostsPath, sv.listHosts)
	mux.HandleFunc("PUT /standin/hosts", sv.putHost)
	mux.HandleFunc("DELETE /standin/hosts/{name}", sv.deleteHost)
	mux.HandleFunc("GET "+platform.WeightsPath+"{model}", sv.readWeights)
	return sv.Faults.Wrap(mux)
}

func (sv *Server) append(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxRecordBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !sv.appends.AllowN(sv.clock.Now(), 1) {
		rw.Header().Set("Retry-After", "1")
		http.Error(rw, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	offset := sv.Append(platform.Stream(rq.PathValue("stream")), body)
	writeJSON(rw, platform.AppendResponse{Offset: offset})
}

// Append adds a record to a stream and returns its offset.
func (sv *Server) Append(name platform.Stream, body []byte) id.Offset {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	st := sv.stream(name)
	st.records = append(st.records, stored{at: sv.clock.Now(), body: body})
	sv.retain(st)
	return st.next() - 1
}

func (sv *Server) stream(name platform.Stream) *stream {
	st, ok := sv.streams[name]
	if !ok {
		st = &stream{}
		sv.streams[name] = st
	}
	return st
}

func (st *stream) next() id.Offset {
	return st.start + id.Offset(len(st.records))
}

func (sv *Server) retain(st *stream) {
	drop := 0
	if sv.config.RetainRecords > 0 {
		drop = max(drop, len(st.records)-sv.config.RetainRecords)
	}
	if sv.config.Retention > 0 {
		oldest := sv.clock.Now().Add(-sv.config.Retention)
		for drop < len(st.records) && st.records[drop].at.Before(oldest) {
			drop++
		}
	}
	st.records = st.records[drop:]
	st.start += id.Offset(drop)
}

func (sv *Server) read(rw http.ResponseWriter, rq *http.Request) {
	from, err := strconv.ParseInt(rq.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(rw, "from is not an offset", http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	st := sv.stream(platform.Stream(rq.PathValue("stream")))
	sv.retain(st)
	answer := st.from(id.Offset(from))
	sv.mutex.Unlock()
	writeJSON(rw, answer)
}

func (st *stream) from(offset id.Offset) platform.ReadResponse {
	answer := platform.ReadResponse{Start: st.start, Next: st.next()}
	offset = max(offset, st.start)
	for offset < st.next() && len(answer.Records) < maxReadRecords {
		answer.Records = append(answer.Records, platform.Record{Offset: offset, Body: st.records[offset-st.start].body})
		offset++
	}
	return answer
}

func (sv *Server) listHosts(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.settle()
	answer := platform.HostList{Hosts: []platform.Host{}}
	for _, host := range sv.hosts {
		answer.Hosts = append(answer.Hosts, host)
	}
	slices.SortFunc(answer.Hosts, func(left, right platform.Host) int { return strings.Compare(left.Name, right.Name) })
	writeJSON(rw, answer)
}

// settle makes the changes whose lag has passed.
func (sv *Server) settle() {
	now := sv.clock.Now()
	for len(sv.changes) > 0 && !sv.changes[0].due.After(now) {
		ch := sv.changes[0]
		sv.changes = sv.changes[1:]
		if ch.gone {
			delete(sv.hosts, ch.host.Name)
			continue
		}
		sv.hosts[ch.host.Name] = ch.host
	}
}

// PutHost adds or changes a host of the list. The first entry of a host shows at once, changes after the lag.
func (sv *Server) PutHost(host platform.Host) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.settle()
	due := sv.clock.Now()
	if _, known := sv.hosts[host.Name]; known {
		due = due.Add(sv.config.ListLag)
	}
	sv.changes = append(sv.changes, change{due: due, host: host})
	sv.settle()
}

func (sv *Server) putHost(rw http.ResponseWriter, rq *http.Request) {
	var host platform.Host
	if err := json.NewDecoder(rq.Body).Decode(&host); err != nil || host.Name == "" {
		http.Error(rw, "not a host", http.StatusBadRequest)
		return
	}
	sv.PutHost(host)
	rw.WriteHeader(http.StatusNoContent)
}

func (sv *Server) deleteHost(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	host := platform.Host{Name: rq.PathValue("name")}
	sv.changes = append(sv.changes, change{due: sv.clock.Now().Add(sv.config.ListLag), host: host, gone: true})
	rw.WriteHeader(http.StatusNoContent)
}

func (sv *Server) readWeights(rw http.ResponseWriter, rq *http.Request) {
	chunk := make([]byte, weightChunk)
	for sent := 0; sent < sv.config.WeightBytes; sent += weightChunk {
		if sv.weights.WaitN(rq.Context(), weightChunk) != nil {
			return
		}
		if _, err := rw.Write(chunk); err != nil {
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, answer any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(answer)
}
