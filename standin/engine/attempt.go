package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/standin/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const maxPromptBytes = 64 << 20

// start runs an attempt and streams its frames.
func (sv *Server) start(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxPromptBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	refusal := sv.submit(rq.Header, body)
	if refusal != "" {
		refuse(rw, refusal)
		return
	}
	sv.crashIfMarked(body)
	from, _ := strconv.Atoi(rq.Header.Get(engine.ResumeHeader))
	sv.stream(rw, rq, id.Attempt(rq.Header.Get(engine.AttemptHeader)), from)
}

func refuse(rw http.ResponseWriter, reason engine.RefusalReason) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(rw).Encode(engine.Refusal{Reason: reason})
}

func (sv *Server) crashIfMarked(body []byte) {
	if sv.config.CrashMark == "" || sv.config.Crash == nil {
		return
	}
	if strings.Contains(string(body), sv.config.CrashMark) {
		time.AfterFunc(sv.config.CrashAfter, sv.config.Crash)
	}
}

// submit adds the attempt to the batch. Submitting an attempt again changes nothing.
func (sv *Server) submit(header http.Header, body []byte) engine.RefusalReason {
	att := id.Attempt(header.Get(engine.AttemptHeader))
	st, hash := newStream(header, body)
	part, err := strconv.ParseInt(header.Get(engine.PartHeader), 10, 64)
	if err != nil {
		part = int64(st.prompt)
	}
	priority, _ := strconv.ParseInt(header.Get(engine.PriorityHeader), 10, 32)

	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	switch {
	case sv.drain:
		return engine.Draining
	case !sv.models[id.Model(header.Get(engine.ModelHeader))]:
		return engine.UnknownModel
	case id.Tokens(part)+id.Tokens(st.limit) > sv.config.Batch.MemoryTokens:
		return engine.OutOfMemory
	}
	if _, known := sv.streams[att]; known {
		return ""
	}
	sv.streams[att] = st
	sv.ledger = append(sv.ledger, LedgerEntry{Attempt: att, Body: hash})
	item := batch.Stream{
		ID:       att,
		PromptTokens:   max(1, id.Tokens(part)),
		AnswerTokens:   id.Tokens(st.limit),
		FirstIndex:     id.Tokens(st.from),
		Priority: int32(priority),
		Follower: header.Get(engine.FollowerHeader) != "",
		PrefixBlocks:   parsePrefix(header.Get(engine.PrefixHeader)),
	}
	if item.Follower {
		item.AnswerTokens = 0
	}
	sv.model.Submit(item)
	sv.publishBlocks(item.PrefixBlocks)
	select {
	case sv.wake <- struct{}{}:
	default:
	}
	return ""
}

func newStream(header http.Header, body []byte) (*stream, uint64) {
	var rq openai.Request
	_ = json.Unmarshal(body, &rq)
	hash := xxhash.Sum64(body)
	from, _ := strconv.Atoi(header.Get(engine.ResumeHeader))
	st := &stream{
		changed:  make(chan struct{}),
		hash:     hash,
		from:     from,
		prompt:   id.EstimateTokens(len(body)),
		limit:    NaturalAnswerTokens(hash),
		finished: "stop",
	}
	if limit := rq.MaxAnswerTokens(); limit > 0 && limit < st.limit {
		st.limit = limit
		st.finished = "length"
	}
	return st, hash
}

func parsePrefix(value string) []uint64 {
	var blocks []uint64
	for part := range strings.SplitSeq(value, ",") {
		block, err := strconv.ParseUint(part, 16, 64)
		if err == nil {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// resume sends the frames of an attempt again from an index on.
func (sv *Server) resume(rw http.ResponseWriter, rq *http.Request) {
	from, _ := strconv.Atoi(rq.Header.Get(engine.ResumeHeader))
	sv.stream(rw, rq, id.Attempt(rq.PathValue("attempt")), from)
}

func (sv *Server) stream(rw http.ResponseWriter, rq *http.Request, att id.Attempt, from int) {
	sv.mutex.Lock()
	st, ok := sv.streams[att]
	sv.mutex.Unlock()
	if !ok {
		http.Error(rw, "attempt does not exist", http.StatusNotFound)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(rw)
	_ = flush.Flush()
	for next := 0; ; {
		sv.mutex.Lock()
		frames := st.frames[next:]
		next = len(st.frames)
		done := st.done
		changed := st.changed
		sv.mutex.Unlock()
		if !writeFrames(rw, frames, from) || flush.Flush() != nil {
			return
		}
		if done {
			sv.forgetLater(att)
			return
		}
		select {
		case <-changed:
		case <-rq.Context().Done():
			return
		}
	}
}

func writeFrames(rw io.Writer, frames []engine.Frame, from int) bool {
	for _, fr := range frames {
		if fr.Kind == engine.Token && fr.Index < from {
			continue
		}
		body, err := json.Marshal(fr)
		if err != nil {
			return false
		}
		if _, err := rw.Write(append(append([]byte("data: "), body...), "\n\n"...)); err != nil {
			return false
		}
	}
	return true
}

// forgetLater keeps a finished answer for a while, for callers whose connection was cut.
func (sv *Server) forgetLater(att id.Attempt) {
	const keep = 30 * time.Second
	time.AfterFunc(keep, func() {
		sv.mutex.Lock()
		defer sv.mutex.Unlock()
		delete(sv.streams, att)
	})
}
