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
	// lostEvery is the share of cache events that never show, one in so many.
	lostEvery        = 20
	maxCacheEvents   = 1000
	blocksPerKVToken = 64
)

func (sv *Server) order(rw http.ResponseWriter, rq *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if !sv.acceptOrder(order) {
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
	sv.models[order.Model] = true
	if order.Kind == engine.UnloadModel {
		delete(sv.models, order.Model)
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (sv *Server) acceptOrder(order engine.Order) bool {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.config.ChecksFencing && order.FencingToken < sv.fencing {
		return false
	}
	sv.fencing = max(sv.fencing, order.FencingToken)
	sv.orders = append(sv.orders, order)
	return true
}

func (sv *Server) fetchWeights(rq *http.Request, model id.Model) bool {
	if sv.config.PlatformURL == "" {
		return true
	}
	get, err := http.NewRequestWithContext(rq.Context(), http.MethodGet, sv.config.PlatformURL+platform.WeightsPath+string(model), nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(get)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK
}

// publishBlocks reports new prefix blocks and loses some of the events.
func (sv *Server) publishBlocks(prefix []uint64) {
	for _, block := range prefix {
		if sv.blocks[block] {
			continue
		}
		sv.blocks[block] = true
		sequence := int64(len(sv.blocks))
		if sequence%lostEvery == 0 {
			continue
		}
		sv.events = append(sv.events, engine.CacheEvent{Sequence: sequence, Block: block})
	}
	if len(sv.events) > maxCacheEvents {
		sv.events = sv.events[len(sv.events)-maxCacheEvents:]
	}
}

func (sv *Server) cacheEvents(rw http.ResponseWriter, rq *http.Request) {
	from, _ := strconv.ParseInt(rq.URL.Query().Get("from"), 10, 64)
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	answer := engine.CacheEvents{Next: int64(len(sv.blocks)) + 1}
	for _, ev := range sv.events {
		if ev.Sequence >= from {
			answer.Events = append(answer.Events, ev)
		}
	}
	writeJSON(rw, answer)
}

// exportKV sends a stand-in for the KV cache of an attempt.
func (sv *Server) exportKV(rw http.ResponseWriter, rq *http.Request) {
	sv.mutex.Lock()
	st, ok := sv.streams[id.Attempt(rq.PathValue("attempt"))]
	sv.mutex.Unlock()
	if !ok {
		http.Error(rw, "attempt does not exist", http.StatusNotFound)
		return
	}
	_, _ = rw.Write(make([]byte, int(st.prompt)/blocksPerKVToken))
}

// importKV caches the prefix blocks that the header names.
func (sv *Server) importKV(rw http.ResponseWriter, rq *http.Request) {
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.publishBlocks(parsePrefix(rq.Header.Get(engine.PrefixHeader)))
	rw.WriteHeader(http.StatusNoContent)
}
