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
	// lostCacheEventInterval makes the engine lose each cache event whose sequence number is a multiple of it, because
	// real engines may lose events too.
	lostCacheEventInterval = 20
	// maxRecordedCacheEvents is the number of newest cache events that are retained for readers.
	maxRecordedCacheEvents = 1000
	// tokensPerKVByte sets the size of the fake KV cache that is exported.
	tokensPerKVByte = 64
)

// handleOrder carries out an order to load or unload a model. Weights are fetched before the model counts as loaded.
// The order stays on record as accepted even if that fails.
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

// recordIfNotFenced records an order and reports whether it may be carried out. If the engine checks fencing, an order
// with a token lower than the highest one received is rejected, because its sender has been superseded.
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

// fetchWeights downloads and discards the weights of a model and reports whether that succeeded. The time it takes
// simulates the loading time.
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

// recordPrefixBlocks records a cache event for each block that is new to the engine, but drops one in
// lostCacheEventInterval, so that readers have to cope with gaps. The caller holds the lock.
func (sv *Server) recordPrefixBlocks(blocks []uint64) {
	for _, block := range blocks {
		if sv.receivedPrefixBlocks[block] {
			continue
		}
		sv.receivedPrefixBlocks[block] = true
		sequence := int64(len(sv.receivedPrefixBlocks))
		if sequence%lostCacheEventInterval == 0 {
			continue
		}
		sv.recordedCacheEvents = append(sv.recordedCacheEvents, engine.CacheEvent{Sequence: sequence, Block: block})
	}
	if len(sv.recordedCacheEvents) > maxRecordedCacheEvents {
		sv.recordedCacheEvents = sv.recordedCacheEvents[len(sv.recordedCacheEvents)-maxRecordedCacheEvents:]
	}
}

// handleCacheEvents responds with the recorded cache events from a sequence number on and the next sequence number.
func (sv *Server) handleCacheEvents(rw http.ResponseWriter, rq *http.Request) {
	firstSequence, _ := strconv.ParseInt(rq.URL.Query().Get("from"), 10, 64)
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	response := engine.CacheEvents{Next: int64(len(sv.receivedPrefixBlocks)) + 1}
	for _, event := range sv.recordedCacheEvents {
		if event.Sequence >= firstSequence {
			response.Events = append(response.Events, event)
		}
	}
	writeJSON(rw, response)
}

// handleExportKV sends zeros in place of the KV cache of an attempt, in proportion to the length of its prompt.
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

// handleImportKV discards the KV cache in the body and records the prefix blocks named in the header.
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
