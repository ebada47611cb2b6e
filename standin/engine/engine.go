// Package engine is a stand-in for a model engine. It speaks the engine protocol and takes as long as an engine with
// continuous batching would, but produces answers that depend only on the request's body, so that tests can predict
// them.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Config sets what the stand-in serves and how it behaves.
type Config struct {
	Name   id.Engine
	Models []id.Model
	// ModelSlots is the number of models that fit into the engine. It is only reported, not enforced.
	ModelSlots int
	// Batch sets the costs of steps and the size of the memory.
	Batch batchmodel.Config
	// Speed is the factor by which steps are faster than Batch says; values of 0 and below mean 1.
	Speed float64
	// LoadLag is the age of the load reports that the engine sends.
	LoadLag time.Duration
	// ChecksFencing makes the engine reject orders whose fencing token is lower than the highest one it has received.
	ChecksFencing bool
	// CrashMarker is a text that crashes the engine if a request's body contains it; empty disables this.
	CrashMarker string
	// CrashAfter is the time from the start of a marked request to the crash.
	CrashAfter time.Duration
	// Crash is called to crash the engine. If it is nil, marked requests do nothing special.
	Crash func()
	// PlatformURL is the base URL of the platform that weights are read from when a model is loaded. If it is empty,
	// models load immediately.
	PlatformURL string
}

// Server is the stand-in for one model engine. It is safe for concurrent use. Answers progress only while Run runs.
type Server struct {
	// Faults injects faults into the HTTP interface.
	Faults *fault.Switch

	config Config
	// incarnation identifies this start of the engine in load reports.
	incarnation int64

	// mutex guards all fields below.
	mutex      sync.Mutex
	batchModel *batchmodel.Model
	// streams are the attempts that can be resumed, finished ones included until they are forgotten.
	streams map[id.Attempt]*attemptStream
	// attemptSubmitted wakes Run when an attempt has been submitted to an idle engine.
	attemptSubmitted    chan struct{}
	ledger              []LedgerEntry
	loadedModels        map[id.Model]bool
	highestFencingToken id.Offset
	acceptedOrders      []engine.Order
	// draining makes the engine reject new attempts.
	draining bool
	// loadReports are recent load reports, oldest first; the oldest is sent.
	loadReports []timedLoadReport
	// recordedCacheEvents are the newest cache events, without those that are lost on purpose.
	recordedCacheEvents []engine.CacheEvent
	// receivedPrefixBlocks are the prefix blocks of all requests and imported caches so far.
	receivedPrefixBlocks map[uint64]bool
}

// LedgerEntry describes an attempt that the engine started. It is sent as JSON under these field names.
type LedgerEntry struct {
	Attempt id.Attempt
	// Body is the hash of the request's body.
	Body uint64
}

// timedLoadReport is a load report with the time at which it was correct.
type timedLoadReport struct {
	takenAt time.Time
	load    engine.LoadReport
}

// attemptStream is an attempt with the frames of its answer so far. The server's lock guards frames, done and changed.
type attemptStream struct {
	frames []engine.Frame
	// done means that the answer is complete or the attempt was cancelled.
	done bool
	// changed is closed and replaced when frames or done change.
	changed  chan struct{}
	bodyHash uint64
	// firstTokenIndex is the index of the first token that the caller needs, above 0 if the attempt resumes an answer.
	firstTokenIndex int
	promptTokens    id.Tokens
	// answerTokens is the length of the whole answer.
	answerTokens int
	// finishReason is "stop" if the answer has its natural length and "length" if the request limits it.
	finishReason string
}

// New returns an idle engine with the configured models loaded.
func New(config Config) *Server {
	if config.Speed <= 0 {
		config.Speed = 1
	}
	sv := &Server{
		Faults:               fault.New(),
		config:               config,
		incarnation:          time.Now().UnixNano(),
		batchModel:           batchmodel.New(config.Batch),
		streams:              map[id.Attempt]*attemptStream{},
		attemptSubmitted:     make(chan struct{}, 1),
		loadedModels:         map[id.Model]bool{},
		highestFencingToken:  id.NoOffset,
		receivedPrefixBlocks: map[uint64]bool{},
	}
	for _, model := range config.Models {
		sv.loadedModels[model] = true
	}
	return sv
}

// Handler returns the HTTP interface: that of an engine, and paths below /standin/ for tests, which show what the
// engine ran, received and has in memory, and set draining.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.AttemptsPath, sv.handleStart)
	mux.HandleFunc("GET "+engine.AttemptsPath, sv.handleListAttempts)
	mux.HandleFunc("GET "+engine.AttemptsPath+"/{attempt}", sv.handleResume)
	mux.HandleFunc("DELETE "+engine.AttemptsPath+"/{attempt}", sv.handleCancel)
	mux.HandleFunc("GET "+engine.LoadPath, sv.handleLoad)
	mux.HandleFunc("GET "+engine.CachePath, sv.handleCacheEvents)
	mux.HandleFunc("POST "+engine.OrdersPath, sv.handleOrder)
	mux.HandleFunc("GET "+engine.KVPath+"/{attempt}", sv.handleExportKV)
	mux.HandleFunc("PUT "+engine.KVPath+"/{attempt}", sv.handleImportKV)
	mux.HandleFunc("GET /standin/ledger", sv.handleLedger)
	mux.HandleFunc("GET /standin/orders", sv.handleAcceptedOrders)
	mux.HandleFunc("GET /standin/held", sv.handleMemoryHolders)
	mux.HandleFunc("PUT /standin/drain", sv.handleDrain)
	return sv.Faults.Wrap(mux)
}

// Run runs steps of the engine in real time, divided by the configured speed, until the context ends.
func (sv *Server) Run(ctx context.Context) {
	for {
		wait := sv.step()
		if wait == 0 {
			select {
			case <-sv.attemptSubmitted:
			case <-ctx.Done():
				return
			}
			continue
		}
		select {
		case <-time.After(time.Duration(float64(wait) / sv.config.Speed)):
		case <-ctx.Done():
			return
		}
	}
}

// step runs a step and delivers its events. It returns the duration of the step, or 0 if the engine is idle.
func (sv *Server) step() time.Duration {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.batchModel.Idle() {
		return 0
	}
	wait, events := sv.batchModel.Step()
	for _, event := range events {
		sv.appendFrame(event)
	}
	return wait
}

// appendFrame adds the frame of an event to its attempt, unless the attempt has been cancelled. The caller holds the
// lock.
func (sv *Server) appendFrame(event batchmodel.Event) {
	stream, exists := sv.streams[event.ID]
	if !exists {
		return
	}
	switch event.Kind {
	case batchmodel.PartPrefilled:
		stream.frames = append(stream.frames, engine.Frame{Attempt: event.ID, Kind: engine.FollowerReady})
	case batchmodel.TokenProduced:
		index := int(event.TokenIndex)
		stream.frames = append(stream.frames, engine.Frame{Attempt: event.ID, Kind: engine.Token, Index: index, Text: TokenText(stream.bodyHash, index)})
	case batchmodel.AnswerFinished:
		stream.frames = append(stream.frames, engine.Frame{
			Attempt:      event.ID,
			Kind:         engine.AnswerEnd,
			Count:        stream.answerTokens,
			FinishReason: stream.finishReason,
			PromptTokens: stream.promptTokens,
		})
		stream.done = true
	}
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// TokenText returns the text of the token at an index of the answer to a body with the given hash.
func TokenText(bodyHash uint64, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(bodyHash>>32), index)
}

// AnswerText returns the text of the first count tokens of the answer to a body.
func AnswerText(body []byte, count int) string {
	bodyHash := xxhash.Sum64(body)
	var text []byte
	for index := range count {
		text = append(text, TokenText(bodyHash, index)...)
	}
	return string(text)
}

// NaturalAnswerTokens returns the number of tokens in the answer to a body with the given hash if the request sets no
// limit.
func NaturalAnswerTokens(bodyHash uint64) int {
	const shortest, spread = 8, 64
	return shortest + int(bodyHash%spread)
}

// handleLoad responds with the newest load report that is at least LoadLag old, or the oldest one if there is none.
func (sv *Server) handleLoad(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := time.Now()
	sv.loadReports = append(sv.loadReports, timedLoadReport{takenAt: now, load: sv.currentLoad()})
	for len(sv.loadReports) > 1 && now.Sub(sv.loadReports[1].takenAt) >= sv.config.LoadLag {
		sv.loadReports = sv.loadReports[1:]
	}
	report := sv.loadReports[0].load
	report.AgeMillis = now.Sub(sv.loadReports[0].takenAt).Milliseconds()
	writeJSON(rw, report)
}

// currentLoad returns the load at this moment. The caller holds the lock.
func (sv *Server) currentLoad() engine.LoadReport {
	load := engine.LoadReport{
		Engine:      sv.config.Name,
		Incarnation: sv.incarnation,
		Capacity:    sv.config.Batch.MemoryTokens,
		Held:        sv.batchModel.ReservedTokens(),
		Pending:     sv.batchModel.PendingPromptTokens(),
		Running:     sv.batchModel.RunningStreams(),
		Waiting:     sv.batchModel.WaitingStreams(),
		ModelSlots:  sv.config.ModelSlots,
		Draining:    sv.draining,
	}
	for model := range sv.loadedModels {
		load.Models = append(load.Models, model)
	}
	slices.Sort(load.Models)
	return load
}

// handleListAttempts responds with the attempts that the engine holds.
func (sv *Server) handleListAttempts(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, sv.memoryHolders())
}

// memoryHolders returns the attempts in the engine with the memory that each has reserved.
func (sv *Server) memoryHolders() engine.AttemptList {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	response := engine.AttemptList{Attempts: []engine.MemoryHolder{}}
	for _, reservation := range sv.batchModel.Reservations() {
		response.Attempts = append(response.Attempts, engine.MemoryHolder{Attempt: reservation.ID, Tokens: reservation.Tokens})
	}
	return response
}

// handleCancel cancels an attempt and ends its streams. Cancelling an unknown attempt succeeds.
func (sv *Server) handleCancel(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	attempt := id.Attempt(rq.PathValue("attempt"))
	sv.batchModel.Cancel(attempt)
	if stream, ok := sv.streams[attempt]; ok {
		stream.done = true
		close(stream.changed)
		stream.changed = make(chan struct{})
		delete(sv.streams, attempt)
	}
	rw.WriteHeader(http.StatusNoContent)
}

// handleLedger responds with all attempts that the engine started, oldest first.
func (sv *Server) handleLedger(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	writeJSON(rw, sv.ledger)
}

// handleAcceptedOrders responds with all orders that the engine accepted, oldest first.
func (sv *Server) handleAcceptedOrders(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	writeJSON(rw, sv.acceptedOrders)
}

// handleMemoryHolders responds like handleListAttempts, under a path that is exempt from faults.
func (sv *Server) handleMemoryHolders(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, sv.memoryHolders())
}

// handleDrain sets whether the engine is draining, from the query parameter on.
func (sv *Server) handleDrain(rw http.ResponseWriter, rq *http.Request) {
	draining, err := strconv.ParseBool(rq.URL.Query().Get("on"))
	if err != nil {
		http.Error(rw, "on is not a boolean", http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.draining = draining
	rw.WriteHeader(http.StatusNoContent)
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}

// NaturalAnswerText returns the text of the whole answer to a body that sets no limit on the number of tokens.
func NaturalAnswerText(body []byte) string {
	return AnswerText(body, NaturalAnswerTokens(xxhash.Sum64(body)))
}
