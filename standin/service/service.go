// Package service is a stand-in for a backend server of a plain service, that is, one that is not a model engine. It
// keeps a ledger of the requests that it ran, so that tests can check that none ran twice.
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

const (
	// maxBodyBytes is the largest accepted request body.
	maxBodyBytes = 16 << 20
	// maxReturnedBytes bounds the part of a body that a response repeats.
	maxReturnedBytes = 1 << 20
)

// LedgerEntry describes a request that the server ran. It is sent as JSON under these field names.
type LedgerEntry struct {
	Method string
	Path   string
	// Key is the caller's idempotency key, empty if there was none.
	Key  string
	Body string
}

// Server is the stand-in for one backend server. It is safe for concurrent use.
type Server struct {
	// Faults injects faults into the HTTP interface.
	Faults *fault.Switch

	name id.BackendServer

	mutex  sync.Mutex
	ledger []LedgerEntry
	// draining makes the server reject requests.
	draining bool
}

// New returns a server with an empty ledger. Its responses contain its name.
func New(name id.BackendServer) *Server {
	return &Server{Faults: fault.New(), name: name}
}

// Handler returns the HTTP interface: every path runs a request, except for the load report and the paths below
// /standin/, which show the ledger and set draining.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/ledger", sv.handleLedger)
	mux.HandleFunc("PUT /standin/drain", sv.handleDrain)
	mux.HandleFunc("GET "+engine.LoadPath, sv.handleLoad)
	mux.HandleFunc("/", sv.handleRequest)
	return sv.Faults.Wrap(mux)
}

// handleRequest records a request in the ledger and responds with the server's name, the number of the ledger entry,
// the method, the URI and the body up to
// maxReturnedBytes. A draining server rejects it.
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
	_, _ = fmt.Fprintf(rw, "%s %d %s %s %s", sv.name, entryNumber, rq.Method, rq.URL.RequestURI(), body[:min(len(body), maxReturnedBytes)])
}

// appendToLedger adds a request to the ledger and returns its number, counted from 1. It returns false if the server is
// draining, in which case the request must not run.
func (sv *Server) appendToLedger(entry LedgerEntry) (int, bool) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.draining {
		return 0, false
	}
	sv.ledger = append(sv.ledger, entry)
	return len(sv.ledger), true
}

// Ledger returns the requests that the server ran, oldest first.
func (sv *Server) Ledger() []LedgerEntry {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return append([]LedgerEntry(nil), sv.ledger...)
}

// handleLedger responds with the ledger.
func (sv *Server) handleLedger(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(sv.Ledger())
}

// handleLoad responds with a load report, of which only the name and the draining state are filled in.
func (sv *Server) handleLoad(rw http.ResponseWriter, _ *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(engine.LoadReport{Engine: id.Engine(sv.name), Draining: sv.draining})
}

// handleDrain starts draining if the query parameter on is "true", and stops it otherwise.
func (sv *Server) handleDrain(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.draining = rq.URL.Query().Get("on") == "true"
	rw.WriteHeader(http.StatusNoContent)
}
