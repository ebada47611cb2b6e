// Package platform is an in-memory stand-in for the platform's HTTP services: the log, the list of entry hosts, engines
// and other backend servers, and the store of model weights.
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
	// maxRecordBytes is the size of the largest record that is accepted.
	maxRecordBytes = 16 << 20
	// maxReadRecords is the largest number of records in one response.
	maxReadRecords = 1000
	// weightChunkBytes is the unit in which model weights are sent and rate limited.
	weightChunkBytes = 64 << 10
)

// Config sets the limits and delays of the stand-in.
type Config struct {
	// AppendsPerSecond limits appends to the log, over all streams; further ones get status 429.
	AppendsPerSecond float64
	// RetainRecords is the number of newest records that a stream retains; 0 retains all.
	RetainRecords int
	// Retention is how long a stream retains records; 0 retains them forever.
	Retention time.Duration
	// ListLag is how long changes and removals of hosts take to appear in the list of hosts.
	ListLag time.Duration
	// WeightBytesPerSecond limits reads of model weights, over all readers together.
	WeightBytesPerSecond int
	// WeightBytes is the size of the weights of each model.
	WeightBytes int
}

// DefaultConfig returns limits like those of the real platform.
func DefaultConfig() Config {
	return Config{
		AppendsPerSecond:     300,
		ListLag:              2 * time.Second,
		WeightBytesPerSecond: 64 << 20,
		WeightBytes:          4 << 20,
	}
}

// logStream is one stream of the log.
type logStream struct {
	// firstOffset is the offset of the oldest retained record.
	firstOffset id.Offset
	records     []storedRecord
}

// storedRecord is a record of the log with the time at which it was appended, which decides on its retention.
type storedRecord struct {
	appendedAt time.Time
	body       []byte
}

// hostChange is a change of the list of hosts that takes effect once dueAt has passed.
type hostChange struct {
	dueAt   time.Time
	host    platform.Host
	removed bool
}

// Server is the stand-in for the platform. It is safe for concurrent use.
type Server struct {
	// Faults injects faults into the HTTP interface.
	Faults *fault.Switch

	config        Config
	clock         timer.Clock
	appendLimiter *rate.Limiter
	weightLimiter *rate.Limiter

	mutex   sync.Mutex
	streams map[platform.Stream]*logStream
	hosts   map[string]platform.Host
	// pendingChanges are changes of the list of hosts that have not taken effect, in the order in which they were made.
	pendingChanges []hostChange
}

// New returns a stand-in without records or hosts.
func New(config Config, clock timer.Clock) *Server {
	return &Server{
		Faults:        fault.New(),
		config:        config,
		clock:         clock,
		appendLimiter: rate.NewLimiter(rate.Limit(config.AppendsPerSecond), int(config.AppendsPerSecond)+1),
		weightLimiter: rate.NewLimiter(rate.Limit(config.WeightBytesPerSecond), weightChunkBytes),
		streams:       map[platform.Stream]*logStream{},
		hosts:         map[string]platform.Host{},
	}
}

// Handler returns the HTTP interface: that of the platform, and /standin/hosts to change the list of hosts.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.LogPath+"{stream}", sv.append)
	mux.HandleFunc("GET "+platform.LogPath+"{stream}", sv.readLog)
	mux.HandleFunc("GET "+platform.HostsPath, sv.listHosts)
	mux.HandleFunc("PUT /standin/hosts", sv.putHost)
	mux.HandleFunc("DELETE /standin/hosts/{name}", sv.deleteHost)
	mux.HandleFunc("GET "+platform.WeightsPath+"{model}", sv.readWeights)
	return sv.Faults.Wrap(mux)
}

// append handles a request to append a record to a stream.
func (sv *Server) append(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxRecordBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !sv.appendLimiter.AllowN(sv.clock.Now(), 1) {
		rw.Header().Set("Retry-After", "1")
		http.Error(rw, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	offset := sv.Append(platform.Stream(rq.PathValue("stream")), body)
	writeJSON(rw, platform.AppendResponse{Offset: offset})
}

// Append adds a record to a stream and returns its offset. It ignores the rate limit.
func (sv *Server) Append(name platform.Stream, body []byte) id.Offset {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	stream := sv.streamNamed(name)
	stream.records = append(stream.records, storedRecord{appendedAt: sv.clock.Now(), body: body})
	sv.applyRetention(stream)
	return stream.nextOffset() - 1
}

// streamNamed returns a stream and creates it if needed. The caller holds the lock.
func (sv *Server) streamNamed(name platform.Stream) *logStream {
	stream, ok := sv.streams[name]
	if !ok {
		stream = &logStream{}
		sv.streams[name] = stream
	}
	return stream
}

// nextOffset returns the offset that the next record will get.
func (st *logStream) nextOffset() id.Offset {
	return st.firstOffset + id.Offset(len(st.records))
}

// applyRetention drops the records of a stream that exceed the configured number or age. The caller holds the lock.
func (sv *Server) applyRetention(stream *logStream) {
	dropCount := 0
	if sv.config.RetainRecords > 0 {
		dropCount = max(dropCount, len(stream.records)-sv.config.RetainRecords)
	}
	if sv.config.Retention > 0 {
		cutoff := sv.clock.Now().Add(-sv.config.Retention)
		for dropCount < len(stream.records) && stream.records[dropCount].appendedAt.Before(cutoff) {
			dropCount++
		}
	}
	stream.records = stream.records[dropCount:]
	stream.firstOffset += id.Offset(dropCount)
}

// readLog handles a request for the records of a stream from an offset on.
func (sv *Server) readLog(rw http.ResponseWriter, rq *http.Request) {
	firstOffset, err := strconv.ParseInt(rq.URL.Query().Get("from"), 10, 64)
	if err != nil || firstOffset < 0 {
		http.Error(rw, "from is not an offset", http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	stream := sv.streamNamed(platform.Stream(rq.PathValue("stream")))
	sv.applyRetention(stream)
	response := stream.recordsFrom(id.Offset(firstOffset))
	sv.mutex.Unlock()
	writeJSON(rw, response)
}

// recordsFrom returns the retained records from an offset on, at most maxReadRecords of them. The first offset returned
// is later than requested if older records have been dropped.
func (st *logStream) recordsFrom(offset id.Offset) platform.ReadResponse {
	response := platform.ReadResponse{Start: st.firstOffset, Next: st.nextOffset()}
	offset = max(offset, st.firstOffset)
	for offset < st.nextOffset() && len(response.Records) < maxReadRecords {
		response.Records = append(response.Records, platform.Record{Offset: offset, Body: st.records[offset-st.firstOffset].body})
		offset++
	}
	return response
}

// listHosts handles a request for the list of hosts, sorted by name.
func (sv *Server) listHosts(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.applyDueChanges()
	response := platform.HostList{Hosts: []platform.Host{}}
	for _, host := range sv.hosts {
		response.Hosts = append(response.Hosts, host)
	}
	slices.SortFunc(response.Hosts, func(left, right platform.Host) int { return strings.Compare(left.Name, right.Name) })
	writeJSON(rw, response)
}

// applyDueChanges applies the changes of the list of hosts that are due, and stops at the first one that is not. The
// caller holds the lock.
func (sv *Server) applyDueChanges() {
	now := sv.clock.Now()
	for len(sv.pendingChanges) > 0 && !sv.pendingChanges[0].dueAt.After(now) {
		change := sv.pendingChanges[0]
		sv.pendingChanges = sv.pendingChanges[1:]
		if change.removed {
			delete(sv.hosts, change.host.Name)
			continue
		}
		sv.hosts[change.host.Name] = change.host
	}
}

// PutHost adds a host to the list or changes its entry. A new host appears immediately, a change after ListLag; a new
// host waits for earlier changes that are still pending.
func (sv *Server) PutHost(host platform.Host) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.applyDueChanges()
	dueAt := sv.clock.Now()
	if _, listed := sv.hosts[host.Name]; listed {
		dueAt = dueAt.Add(sv.config.ListLag)
	}
	sv.pendingChanges = append(sv.pendingChanges, hostChange{dueAt: dueAt, host: host})
	sv.applyDueChanges()
}

// putHost handles a request to add or change a host.
func (sv *Server) putHost(rw http.ResponseWriter, rq *http.Request) {
	var host platform.Host
	if err := json.NewDecoder(rq.Body).Decode(&host); err != nil || host.Name == "" {
		http.Error(rw, "not a host", http.StatusBadRequest)
		return
	}
	sv.PutHost(host)
	rw.WriteHeader(http.StatusNoContent)
}

// deleteHost handles a request to remove a host. The removal takes effect after ListLag.
func (sv *Server) deleteHost(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	host := platform.Host{Name: rq.PathValue("name")}
	sv.pendingChanges = append(sv.pendingChanges, hostChange{dueAt: sv.clock.Now().Add(sv.config.ListLag), host: host, removed: true})
	rw.WriteHeader(http.StatusNoContent)
}

// readWeights streams the weights of any model, which are zeros, at the configured rate.
func (sv *Server) readWeights(rw http.ResponseWriter, rq *http.Request) {
	chunk := make([]byte, weightChunkBytes)
	for sentBytes := 0; sentBytes < sv.config.WeightBytes; sentBytes += weightChunkBytes {
		if sv.weightLimiter.WaitN(rq.Context(), weightChunkBytes) != nil {
			return
		}
		if _, err := rw.Write(chunk); err != nil {
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
