package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// lostEventInterval is the share of cache events that never show, one in so many.
	lostEventInterval      = 20
	maxRecordedCacheEvents = 1000
	tokensPerKVByte        = 64
)

func (sv *Server) handleOrder(rw http.ResponseWriter, rq *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if !sv.recordIfNotFenced(order) {
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(engine.Refusal{Reason: engine.StaleToken})
		return
	}
	if order.Kind == engine.LoadModel && !sv.fetchWeights(rq, order.Model) {
		http.Error(rw, "weight store not available", http.StatusBadGateway)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.loadedModels[order.Model] = true
	if order.Kind == engine.UnloadModel {
		delete(sv.loadedModels, order.Model)
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (sv *Server) recordIfNotFenced(order engine.Order) bool {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.config.ChecksFencing && order.FencingToken < sv.highestFencingToken {
		return false
	}
	sv.highestFencingToken = max(sv.highestFencingToken, order.FencingToken)
	sv.acceptedOrders = append(sv.acceptedOrders, order)
	return true
}

func (sv *Server) fetchWeights(rq *http.Request, model id.Model) bool {
	if sv.config.PlatformURL == "" {
		return true
	}
	request, err := http.NewRequestWithContext(rq.Context(), http.MethodGet, sv.config.PlatformURL+platform.WeightsPath+string(model), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// recordPrefixBlocks reports new prefix blocks and loses some of the events.
func (sv *Server) recordPrefixBlocks(blocks []uint64) {
	for _, block := range blocks {
		if sv.knownBlocks[block] {
			continue
		}
		sv.knownBlocks[block] = true
		sequence := int64(len(sv.knownBlocks))
		if sequence%lostEventInterval == 0 {
			continue
		}
		sv.recordedCacheEvents = append(sv.recordedCacheEvents, engine.CacheEvent{Sequence: sequence, Block: block})
	}
	if len(sv.recordedCacheEvents) > maxRecordedCacheEvents {
		sv.recordedCacheEvents = sv.recordedCacheEvents[len(sv.recordedCacheEvents)-maxRecordedCacheEvents:]
	}
}

func (sv *Server) handleCacheEvents(rw http.ResponseWriter, rq *http.Request) {
	firstSequence, _ := strconv.ParseInt(rq.URL.Query().Get("from"), 10, 64)
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	response := engine.CacheEvents{Next: int64(len(sv.knownBlocks)) + 1}
	for _, event := range sv.recordedCacheEvents {
		if event.Sequence >= firstSequence {
			response.Events = append(response.Events, event)
		}
	}
	writeJSON(rw, response)
}

// handleExportKV sends a stand-in for the KV cache of an attempt.
func (sv *Server) handleExportKV(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	stream, ok := sv.streams[id.Attempt(rq.PathValue("attempt"))]
	sv.mutex.Unlock()
	if !ok {
		http.Error(rw, "attempt does not exist", http.StatusNotFound)
		return
	}
	_, _ = rw.Write(make([]byte, int(stream.promptTokens)/tokensPerKVByte))
}

// handleImportKV caches the prefix blocks that the header names.
func (sv *Server) handleImportKV(rw http.ResponseWriter, rq *http.Request) {
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.recordPrefixBlocks(parsePrefixBlocks(rq.Header.Get(engine.PrefixHeader)))
	rw.WriteHeader(http.StatusNoContent)
}
