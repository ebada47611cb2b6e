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

	mutex    sync.Mutex
	ledger   []LedgerEntry
	draining bool
}

// New returns a server that has run nothing.
func New(name id.BackendServer) *Server {
	return &Server{Faults: fault.New(), name: name}
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/ledger", sv.handleLedger)
	mux.HandleFunc("PUT /standin/drain", sv.handleDrain)
	mux.HandleFunc("GET "+engine.LoadPath, sv.handleLoad)
	mux.HandleFunc("/", sv.handleRequest)
	return sv.Faults.Wrap(mux)
}

func (sv *Server) handleRequest(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxBodyBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	entryNumber, accepted := sv.appendToLedger(LedgerEntry{Method: rq.Method, Path: rq.URL.Path, Key: rq.Header.Get("Idempotency-Key"), Body: string(body)})
	if !accepted {
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(rw).Encode(engine.Refusal{Reason: engine.Draining})
		return
	}
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(rw, "%s %d %s %s %s", sv.name, entryNumber, rq.Method, rq.URL.RequestURI(), body)
}

func (sv *Server) appendToLedger(entry LedgerEntry) (int, bool) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.draining {
		return 0, false
	}
	sv.ledger = append(sv.ledger, entry)
	return len(sv.ledger), true
}

// Ledger returns what the server ran.
func (sv *Server) Ledger() []LedgerEntry {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return append([]LedgerEntry(nil), sv.ledger...)
}

func (sv *Server) handleLedger(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(sv.Ledger())
}

func (sv *Server) handleLoad(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(engine.Load{Engine: id.Engine(sv.name), Draining: sv.draining})
}

func (sv *Server) handleDrain(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.draining = rq.URL.Query().Get("on") == "true"
	rw.WriteHeader(http.StatusNoContent)
}
