// Package engine is a stand-in for a model engine.
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
	"github.com/hibiscuslever/hibiscuslever/standin/batch"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Config sets what the stand-in serves and how it behaves.
type Config struct {
	Name   id.Engine
	Models []id.Model
	// ModelSlots is the number of models that fit.
	ModelSlots int
	Batch      batch.Config
	// Speed divides the duration of steps.
	Speed float64
	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// CrashMark is a text that crashes the engine when a prompt contains it.
	CrashMark string
	// CrashAfter is how long the engine runs a marked prompt before it crashes.
	CrashAfter time.Duration
	// Crash ends the engine.
	Crash func()
	// PlatformURL is where weights are read from when a model is loaded; empty loads at once.
	PlatformURL string
}

// Server is a model engine's stand-in.
type Server struct {
	Faults *fault.Switch

	config      Config
	incarnation int64

	mutex               sync.Mutex
	batchModel          *batch.Model
	streams             map[id.Attempt]*attemptStream
	wake                chan struct{}
	ledger              []LedgerEntry
	loadedModels        map[id.Model]bool
	highestFencingToken id.Offset
	acceptedOrders      []engine.Order
	draining            bool
	loadReports         []timedLoadReport
	recordedCacheEvents []engine.CacheEvent
	knownBlocks         map[uint64]bool
}

// LedgerEntry is one entry of the ledger of attempts that the engine started.
type LedgerEntry struct {
	Attempt id.Attempt
	Body    uint64
}

type timedLoadReport struct {
	takenAt time.Time
	load    engine.Load
}

type attemptStream struct {
	frames       []engine.Frame
	done         bool
	changed      chan struct{}
	bodyHash     uint64
	firstIndex   int
	promptTokens id.Tokens
	answerTokens int
	finishReason string
}

// New returns an idle engine.
func New(config Config) *Server {
	if config.Speed <= 0 {
		config.Speed = 1
	}
	sv := &Server{
		Faults:              fault.New(),
		config:              config,
		incarnation:         time.Now().UnixNano(),
		batchModel:          batch.New(config.Batch),
		streams:             map[id.Attempt]*attemptStream{},
		wake:                make(chan struct{}, 1),
		loadedModels:        map[id.Model]bool{},
		highestFencingToken: id.NoOffset,
		knownBlocks:         map[uint64]bool{},
	}
	for _, model := range config.Models {
		sv.loadedModels[model] = true
	}
	return sv
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.AttemptsPath, sv.handleStart)
	mux.HandleFunc("GET "+engine.AttemptsPath, sv.handleList)
	mux.HandleFunc("GET "+engine.AttemptsPath+"/{attempt}", sv.handleResume)
	mux.HandleFunc("DELETE "+engine.AttemptsPath+"/{attempt}", sv.handleCancel)
	mux.HandleFunc("GET "+engine.LoadPath, sv.handleLoad)
	mux.HandleFunc("GET "+engine.CachePath, sv.handleCacheEvents)
	mux.HandleFunc("POST "+engine.OrdersPath, sv.handleOrder)
	mux.HandleFunc("GET "+engine.KVPath+"/{attempt}", sv.handleExportKV)
	mux.HandleFunc("PUT "+engine.KVPath+"/{attempt}", sv.handleImportKV)
	mux.HandleFunc("GET /standin/ledger", sv.handleLedger)
	mux.HandleFunc("GET /standin/orders", sv.handleShowOrders)
	mux.HandleFunc("GET /standin/held", sv.handleHeld)
	mux.HandleFunc("PUT /standin/drain", sv.handleDrain)
	return sv.Faults.Wrap(mux)
}

// Run steps the engine until the context ends.
func (sv *Server) Run(ctx context.Context) {
	for {
		wait := sv.step()
		if wait == 0 {
			select {
			case <-sv.wake:
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

func (sv *Server) appendFrame(event batch.Event) {
	stream, known := sv.streams[event.ID]
	if !known {
		return
	}
	switch event.Kind {
	case batch.PartPrefilled:
		stream.frames = append(stream.frames, engine.Frame{Attempt: event.ID, Kind: engine.Ready})
	case batch.TokenProduced:
		index := int(event.Index)
		stream.frames = append(stream.frames, engine.Frame{Attempt: event.ID, Kind: engine.Token, Index: index, Text: TokenText(stream.bodyHash, index)})
	case batch.AnswerFinished:
		stream.frames = append(stream.frames, engine.Frame{
			Attempt:      event.ID,
			Kind:         engine.End,
			Count:        stream.answerTokens,
			FinishReason: stream.finishReason,
			PromptTokens: stream.promptTokens,
		})
		stream.done = true
	}
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// TokenText returns the text of a token of the answer to the body with the given hash.
func TokenText(bodyHash uint64, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(bodyHash>>32), index)
}

// AnswerText returns the whole answer to a body with the given number of tokens.
func AnswerText(body []byte, count int) string {
	bodyHash := xxhash.Sum64(body)
	var text []byte
	for index := range count {
		text = append(text, TokenText(bodyHash, index)...)
	}
	return string(text)
}

// NaturalAnswerTokens returns the length of the natural answer to a body with the given hash.
func NaturalAnswerTokens(bodyHash uint64) int {
	const shortest, spread = 8, 64
	return shortest + int(bodyHash%spread)
}

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

func (sv *Server) currentLoad() engine.Load {
	load := engine.Load{
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

func (sv *Server) handleList(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, sv.heldAttempts())
}

func (sv *Server) heldAttempts() engine.Attempts {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	response := engine.Attempts{Attempts: []engine.Held{}}
	for _, reservation := range sv.batchModel.Reservations() {
		response.Attempts = append(response.Attempts, engine.Held{Attempt: reservation.ID, Tokens: reservation.Tokens})
	}
	return response
}

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

func (sv *Server) handleLedger(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	writeJSON(rw, sv.ledger)
}

func (sv *Server) handleShowOrders(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	writeJSON(rw, sv.acceptedOrders)
}

func (sv *Server) handleHeld(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, sv.heldAttempts())
}

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

// NaturalAnswerText returns the whole answer to a request without a limit of its length.
func NaturalAnswerText(body []byte) string {
	return AnswerText(body, NaturalAnswerTokens(xxhash.Sum64(body)))
}
