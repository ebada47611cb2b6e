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
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// maxPromptBytes is the largest accepted request body.
const maxPromptBytes = 64 << 20

// handleStart submits an attempt and streams its frames. An attempt that was submitted before is streamed again.
func (sv *Server) handleStart(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxPromptBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	refusalReason := sv.submit(rq.Header, body)
	if refusalReason != "" {
		refuse(rw, refusalReason)
		return
	}
	sv.crashIfMarked(body)
	firstTokenIndex, _ := strconv.Atoi(rq.Header.Get(engine.ResumeHeader))
	sv.streamFrames(rw, rq, id.Attempt(rq.Header.Get(engine.AttemptHeader)), firstTokenIndex)
}

// refuse responds that an attempt was not started and why.
func refuse(rw http.ResponseWriter, reason engine.RefusalReason) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(rw).Encode(engine.Refusal{Reason: reason})
}

// crashIfMarked schedules a crash of the engine if the body contains the configured marker.
func (sv *Server) crashIfMarked(body []byte) {
	if sv.config.CrashMarker == "" || sv.config.Crash == nil {
		return
	}
	if strings.Contains(string(body), sv.config.CrashMarker) {
		time.AfterFunc(sv.config.CrashAfter, sv.config.Crash)
	}
}

// submit adds an attempt to the batch and returns "", or returns why the attempt is rejected. The prompt counts with
// its whole estimated size unless a header states the part that this engine has to hold. Submitting an attempt again
// changes nothing.
func (sv *Server) submit(header http.Header, body []byte) engine.RefusalReason {
	attempt := id.Attempt(header.Get(engine.AttemptHeader))
	stream, bodyHash := newAttemptStream(header, body)
	partTokens, err := strconv.ParseInt(header.Get(engine.PartHeader), 10, 64)
	if err != nil {
		partTokens = int64(stream.promptTokens)
	}
	priority, _ := strconv.ParseInt(header.Get(engine.PriorityHeader), 10, 32)

	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	switch {
	case sv.draining:
		return engine.Draining
	case !sv.loadedModels[id.Model(header.Get(engine.ModelHeader))]:
		return engine.UnknownModel
	case id.Tokens(partTokens)+id.Tokens(stream.answerTokens) > sv.config.Batch.MemoryTokens:
		return engine.OutOfMemory
	}
	if _, exists := sv.streams[attempt]; exists {
		return ""
	}
	sv.streams[attempt] = stream
	sv.ledger = append(sv.ledger, LedgerEntry{Attempt: attempt, Body: bodyHash})
	batchStream := batchmodel.Stream{
		ID:              attempt,
		PromptTokens:    max(1, id.Tokens(partTokens)),
		AnswerTokens:    id.Tokens(stream.answerTokens),
		FirstTokenIndex: id.Tokens(stream.firstTokenIndex),
		Priority:        int32(priority),
		Follower:        header.Get(engine.FollowerHeader) != "",
		PrefixBlocks:    parsePrefixBlocks(header.Get(engine.PrefixHeader)),
	}
	if batchStream.Follower {
		batchStream.AnswerTokens = 0
	}
	sv.batchModel.Submit(batchStream)
	sv.recordPrefixBlocks(batchStream.PrefixBlocks)
	select {
	case sv.attemptSubmitted <- struct{}{}:
	default:
	}
	return ""
}

// newAttemptStream returns the stream of an attempt, without frames, and the hash of its body.
func newAttemptStream(header http.Header, body []byte) (*attemptStream, uint64) {
	var request openai.Request
	_ = json.Unmarshal(body, &request)
	bodyHash := xxhash.Sum64(body)
	firstTokenIndex, _ := strconv.Atoi(header.Get(engine.ResumeHeader))
	stream := &attemptStream{
		changed:         make(chan struct{}),
		bodyHash:        bodyHash,
		firstTokenIndex: firstTokenIndex,
		promptTokens:    id.EstimateTokens(len(body)),
		answerTokens:    NaturalAnswerTokens(bodyHash),
		finishReason:    "stop",
	}
	if limit := request.MaxAnswerTokens(); limit > 0 && limit < stream.answerTokens {
		stream.answerTokens = limit
		stream.finishReason = "length"
	}
	return stream, bodyHash
}

// parsePrefixBlocks parses a comma-separated list of hexadecimal block hashes and skips malformed ones.
func parsePrefixBlocks(headerValue string) []uint64 {
	var blocks []uint64
	for part := range strings.SplitSeq(headerValue, ",") {
		block, err := strconv.ParseUint(part, 16, 64)
		if err == nil {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// handleResume streams the frames of an attempt again, from the token index in the header on.
func (sv *Server) handleResume(rw http.ResponseWriter, rq *http.Request) {
	firstTokenIndex, _ := strconv.Atoi(rq.Header.Get(engine.ResumeHeader))
	sv.streamFrames(rw, rq, id.Attempt(rq.PathValue("attempt")), firstTokenIndex)
}

// streamFrames writes the frames of an attempt, past ones and then new ones as they are produced, until the answer is
// complete or the caller goes away. Tokens before firstTokenIndex are skipped.
func (sv *Server) streamFrames(rw http.ResponseWriter, rq *http.Request, attempt id.Attempt, firstTokenIndex int) {
	sv.mutex.Lock()
	stream, exists := sv.streams[attempt]
	sv.mutex.Unlock()
	if !exists {
		http.Error(rw, "attempt does not exist", http.StatusNotFound)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(rw)
	_ = controller.Flush()
	for sentFrames := 0; ; {
		sv.mutex.Lock()
		newFrames := stream.frames[sentFrames:]
		sentFrames = len(stream.frames)
		done := stream.done
		changed := stream.changed
		sv.mutex.Unlock()
		if !writeFrames(rw, newFrames, firstTokenIndex) || controller.Flush() != nil {
			return
		}
		if done {
			sv.forgetAfterDelay(attempt)
			return
		}
		select {
		case <-changed:
		case <-rq.Context().Done():
			return
		}
	}
}

// writeFrames writes frames as server-sent events, without tokens before firstTokenIndex. It returns false if writing
// failed.
func writeFrames(writer io.Writer, frames []engine.Frame, firstTokenIndex int) bool {
	for _, frame := range frames {
		if frame.Kind == engine.Token && frame.Index < firstTokenIndex {
			continue
		}
		body, err := json.Marshal(frame)
		if err != nil {
			return false
		}
		if _, err := writer.Write(append(append([]byte("data: "), body...), "\n\n"...)); err != nil {
			return false
		}
	}
	return true
}

// forgetAfterDelay forgets a finished attempt after 30 s, so that callers whose connection was lost can still resume
// it.
func (sv *Server) forgetAfterDelay(attempt id.Attempt) {
	const retention = 30 * time.Second
	time.AfterFunc(retention, func() {
		sv.mutex.Lock()
		defer sv.mutex.Unlock()
		delete(sv.streams, attempt)
	})
}
