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

	mutex   sync.Mutex
	model   *batch.Model
	streams map[id.Attempt]*stream
	wake    chan struct{}
	ledger  []LedgerEntry
	models  map[id.Model]bool
	fencing id.Offset
	orders  []engine.Order
	drain   bool
	reports []timedLoad
	events  []engine.CacheEvent
	blocks  map[uint64]bool
}

// LedgerEntry is one entry of the ledger of attempts that the engine started.
type LedgerEntry struct {
	Attempt id.Attempt
	Body    uint64
}

type timedLoad struct {
	at   time.Time
	load engine.LoadReport
}

type stream struct {
	frames   []engine.Frame
	done     bool
	changed  chan struct{}
	hash     uint64
	from     int
	prompt   id.Tokens
	limit    int
	finished string
}

// New returns an idle engine.
func New(config Config) *Server {
	if config.Speed <= 0 {
		config.Speed = 1
	}
	sv := &Server{
		Faults:      fault.New(),
		config:      config,
		incarnation: time.Now().UnixNano(),
		model:       batch.New(config.Batch),
		streams:     map[id.Attempt]*stream{},
		wake:        make(chan struct{}, 1),
		models:      map[id.Model]bool{},
		fencing:     id.NoOffset,
		blocks:      map[uint64]bool{},
	}
	for _, model := range config.Models {
		sv.models[model] = true
	}
	return sv
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.AttemptsPath, sv.start)
	mux.HandleFunc("GET "+engine.AttemptsPath, sv.list)
	mux.HandleFunc("GET "+engine.AttemptsPath+"/{attempt}", sv.resume)
	mux.HandleFunc("DELETE "+engine.AttemptsPath+"/{attempt}", sv.cancel)
	mux.HandleFunc("GET "+engine.LoadPath, sv.load)
	mux.HandleFunc("GET "+engine.CachePath, sv.cacheEvents)
	mux.HandleFunc("POST "+engine.OrdersPath, sv.order)
	mux.HandleFunc("GET "+engine.KVPath+"/{attempt}", sv.exportKV)
	mux.HandleFunc("PUT "+engine.KVPath+"/{attempt}", sv.importKV)
	mux.HandleFunc("GET /standin/ledger", sv.showLedger)
	mux.HandleFunc("GET /standin/orders", sv.showOrders)
	mux.HandleFunc("GET /standin/held", sv.showHeld)
	mux.HandleFunc("PUT /standin/drain", sv.setDrain)
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
	if sv.model.Idle() {
		return 0
	}
	wait, events := sv.model.Step()
	for _, ev := range events {
		sv.deliver(ev)
	}
	return wait
}

func (sv *Server) deliver(ev batch.Event) {
	st, ok := sv.streams[ev.ID]
	if !ok {
		return
	}
	switch ev.Kind {
	case batch.PartPrefilled:
		st.frames = append(st.frames, engine.Frame{Attempt: ev.ID, Kind: engine.FollowerReady})
	case batch.TokenProduced:
		index := int(ev.Index)
		st.frames = append(st.frames, engine.Frame{Attempt: ev.ID, Kind: engine.Token, Index: index, Text: TokenText(st.hash, index)})
	case batch.AnswerFinished:
		st.frames = append(st.frames, engine.Frame{
			Attempt:      ev.ID,
			Kind:         engine.AnswerEnd,
			Count:        st.limit,
			FinishReason: st.finished,
			PromptTokens: st.prompt,
		})
		st.done = true
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// TokenText returns the text of a token of the answer to the body with the given hash.
func TokenText(hash uint64, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(hash>>32), index)
}

// AnswerText returns the whole answer to a body with the given number of tokens.
func AnswerText(body []byte, count int) string {
	hash := xxhash.Sum64(body)
	var text []byte
	for index := range count {
		text = append(text, TokenText(hash, index)...)
	}
	return string(text)
}

// NaturalAnswerTokens returns the length of the natural answer to a body with the given hash.
func NaturalAnswerTokens(hash uint64) int {
	const shortest, spread = 8, 64
	return shortest + int(hash%spread)
}

func (sv *Server) load(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := time.Now()
	sv.reports = append(sv.reports, timedLoad{at: now, load: sv.currentLoad()})
	for len(sv.reports) > 1 && now.Sub(sv.reports[1].at) >= sv.config.LoadLag {
		sv.reports = sv.reports[1:]
	}
	report := sv.reports[0].load
	report.AgeMillis = now.Sub(sv.reports[0].at).Milliseconds()
	writeJSON(rw, report)
}

func (sv *Server) currentLoad() engine.LoadReport {
	load := engine.LoadReport{
		Engine:      sv.config.Name,
		Incarnation: sv.incarnation,
		Capacity:    sv.config.Batch.MemoryTokens,
		Held:        sv.model.ReservedTokens(),
		Pending:     sv.model.PendingPromptTokens(),
		Running:     sv.model.RunningStreams(),
		Waiting:     sv.model.WaitingStreams(),
		ModelSlots:  sv.config.ModelSlots,
		Draining:    sv.drain,
	}
	for model := range sv.models {
		load.Models = append(load.Models, model)
	}
	slices.Sort(load.Models)
	return load
}

func (sv *Server) list(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, sv.held())
}

func (sv *Server) held() engine.AttemptList {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	answer := engine.AttemptList{Attempts: []engine.MemoryHolder{}}
	for _, hold := range sv.model.Reservations() {
		answer.Attempts = append(answer.Attempts, engine.MemoryHolder{Attempt: hold.ID, Tokens: hold.Tokens})
	}
	return answer
}

func (sv *Server) cancel(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	att := id.Attempt(rq.PathValue("attempt"))
	sv.model.Cancel(att)
	if st, ok := sv.streams[att]; ok {
		st.done = true
		close(st.changed)
		st.changed = make(chan struct{})
		delete(sv.streams, att)
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (sv *Server) showLedger(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	writeJSON(rw, sv.ledger)
}

func (sv *Server) showOrders(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	writeJSON(rw, sv.orders)
}

func (sv *Server) showHeld(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, sv.held())
}

func (sv *Server) setDrain(rw http.ResponseWriter, rq *http.Request) {
	drain, err := strconv.ParseBool(rq.URL.Query().Get("on"))
	if err != nil {
		http.Error(rw, "on is not a boolean", http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.drain = drain
	rw.WriteHeader(http.StatusNoContent)
}

func writeJSON(rw http.ResponseWriter, answer any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(answer)
}

// NaturalAnswerText returns the whole answer to a request without a limit of its length.
func NaturalAnswerText(body []byte) string {
	return AnswerText(body, NaturalAnswerTokens(xxhash.Sum64(body)))
}
