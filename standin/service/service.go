// Package service is a stand-in for a server of a plain service.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const maxBodyBytes = 1 << 20

// LedgerEntry is one entry of the ledger of requests that the server ran.
type LedgerEntry struct {
	Method string
	Path   string
	// Key is the caller's idempotency key.
	Key  string
	Body string
}

// Server is the stand-in of one backend server.
type Server struct {
	Faults *fault.Switch

	name id.BackendServer

	mutex  sync.Mutex
	ledger []LedgerEntry
	drain  bool
}

// New returns a server that has run nothing.
func New(name id.BackendServer) *Server {
	return &Server{Faults: fault.New(), name: name}
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/ledger", sv.showLedger)
	mux.HandleFunc("PUT /standin/drain", sv.setDrain)
	mux.HandleFunc("GET "+engine.LoadPath, sv.load)
	mux.HandleFunc("/", sv.run)
	return sv.Faults.Wrap(mux)
}

func (sv *Server) run(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxBodyBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	number, ok := sv.record(LedgerEntry{Method: rq.Method, Path: rq.URL.Path, Key: rq.Header.Get("Idempotency-Key"), Body: string(body)})
	if !ok {
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(rw).Encode(engine.Refusal{Reason: engine.Draining})
		return
	}
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(rw, "%s %d %s %s %s", sv.name, number, rq.Method, rq.URL.RequestURI(), body)
}

func (sv *Server) record(ran LedgerEntry) (int, bool) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.drain {
		return 0, false
	}
	sv.ledger = append(sv.ledger, ran)
	return len(sv.ledger), true
}

// Ledger returns what the server ran.
func (sv *Server) Ledger() []LedgerEntry {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return append([]LedgerEntry(nil), sv.ledger...)
}

func (sv *Server) showLedger(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(sv.Ledger())
}

func (sv *Server) load(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(engine.LoadReport{Engine: id.Engine(sv.name), Draining: sv.drain})
}

func (sv *Server) setDrain(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.drain = rq.URL.Query().Get("on") == "true"
	rw.WriteHeader(http.StatusNoContent)
}
