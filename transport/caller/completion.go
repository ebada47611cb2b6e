package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/clientconn"
)

const (
	// prefixBlockBytes is the size of the blocks of a body that are hashed to find engines with a cached prefix.
	prefixBlockBytes = 1024
	// maxPrefixBlocks limits the number of hashed blocks.
	maxPrefixBlocks = 32
)

// handleCompletion handles a request for a chat completion or a plain completion. It applies the plan and the limits of
// the organisation before it runs the request.
func (sv *Server) handleCompletion(ec echo.Context, isChat bool) error {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	organisation, plan, oc := sv.authorize(ec)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	body, release, oc := sv.readBody(ec)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	defer release()
	request, oc := parseRequest(body, isChat)
	if !oc.OK() {
		return sv.writeError(ec, oc)
	}
	if oc := sv.checkPlan(plan, request, body); !oc.OK() {
		return sv.writeError(ec, oc)
	}
	call := sv.newCall(organisation, plan, request, body)
	trace.SpanFromContext(ec.Request().Context()).SetAttributes(
		attribute.String("request", string(call.RequestID)),
		attribute.String("organisation", string(organisation.Name)),
		attribute.Int64("prompt_tokens", int64(call.PromptTokens)),
	)
	ec.Response().Header().Set("X-Request-Id", string(call.RequestID))
	ec.Response().Header().Set("Entry-Host", string(sv.config.Host))
	ctx, detach := sv.withAbort(ec.Request().Context())
	defer detach()
	if oc := sv.dependencies.Limits.Spend(ctx, quota.SpendRequest{Organisation: organisation.Name, Request: call.RequestID, PromptTokens: call.PromptTokens}); !oc.OK() {
		return sv.writeError(ec, oc)
	}
	defer sv.dependencies.Limits.Release(call.RequestID)
	// The server may have been closed while the body arrived.
	if oc := sv.refuseAfterClose(); !oc.OK() {
		return sv.writeError(ec, oc)
	}
	return sv.runCall(ctx, ec, call, request, isChat)
}

// runCall runs a call, writes its response and records the metrics.
func (sv *Server) runCall(ctx context.Context, ec echo.Context, call modelcall.Call, request openai.Request, isChat bool) error {
	writer := &responseWriter{server: sv, ec: ec, call: call, request: request, isChat: isChat, createdUnix: sv.clock.Now().Unix()}
	summary, oc := sv.dependencies.Models.Run(ctx, call, writer)
	oc = abortedOutcome(ctx, oc)
	sv.countConnectionEnd(ctx, oc)
	band := promptBand(call.PromptTokens)
	sv.metrics.Tagged(map[string]string{"outcome": oc.Kind.String(), "band": band}).Counter("requests").Inc(1)
	if oc.OK() {
		sv.metrics.Tagged(map[string]string{"band": band}).Timer("time_to_first_token").Record(summary.TimeToFirstToken)
	}
	return writer.finish(summary, oc)
}

// countConnectionEnd counts a request whose connection ended before it had its outcome.
func (sv *Server) countConnectionEnd(ctx context.Context, oc outcome.Outcome) {
	if end := clientconn.StateOf(ctx).End(); !oc.OK() && end != clientconn.NotEnded {
		sv.metrics.Tagged(map[string]string{"cause": string(end)}).Counter("requests_without_connection").Inc(1)
	}
}

// promptBand returns the label of a prompt's size in metrics.
func promptBand(promptTokens id.Tokens) string {
	switch {
	case promptTokens <= 4096:
		return "4k"
	case promptTokens <= 32_768:
		return "32k"
	case promptTokens <= 100_000:
		return "100k"
	case promptTokens <= 400_000:
		return "400k"
	default:
		return "1M"
	}
}

// readBody reads the body of a request. The returned function releases its memory. A body longer than MaxBodyBytes is
// refused, and one for which there is no memory.
func (sv *Server) readBody(ec echo.Context) ([]byte, func(), outcome.Outcome) {
	request := ec.Request()
	if request.ContentLength > sv.config.MaxBodyBytes {
		return nil, nil, sv.bodyTooLarge()
	}
	release := sv.config.BodyMemory.LimitInterruptible(request, clientconn.Interruption(request.Context()))
	body, err := sv.config.BodyMemory.ReadAll(http.MaxBytesReader(ec.Response(), request.Body, sv.config.MaxBodyBytes), request.ContentLength)
	if err != nil {
		release()
		return nil, nil, sv.bodyOutcome(err)
	}
	return body, release, outcome.Done()
}

// bodyOutcome returns the refusal of a request whose body could not be read.
func (sv *Server) bodyOutcome(err error) outcome.Outcome {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return sv.bodyTooLarge()
	}
	if refusal, ok := bodymemory.Refusal(err); ok {
		return refusal
	}
	return outcome.Refuse(outcome.BadRequest, "the request's body ended early")
}

// bodyTooLarge returns the refusal of a body longer than MaxBodyBytes.
func (sv *Server) bodyTooLarge() outcome.Outcome {
	return outcome.Refuse(outcome.PromptTooLong, fmt.Sprintf("the body is longer than %d bytes", sv.config.MaxBodyBytes))
}

// parseRequest decodes the body of a completion request and refuses one that is invalid or not supported.
func parseRequest(body []byte, isChat bool) (openai.Request, outcome.Outcome) {
	var request openai.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return request, outcome.Refuse(outcome.BadRequest, "the body is not a completion request: "+err.Error())
	}
	switch {
	case request.Model == "":
		return request, outcome.Refuse(outcome.BadRequest, "the field model is missing")
	case isChat && !bool(request.Messages):
		return request, outcome.Refuse(outcome.BadRequest, "the field messages is missing")
	case !isChat && !bool(request.Prompt):
		return request, outcome.Refuse(outcome.BadRequest, "the field prompt is missing")
	case request.N > 1:
		return request, outcome.Refuse(outcome.BadRequest, "the field n is above 1; one answer a request is served")
	case request.MaxAnswerTokens() < 0:
		return request, outcome.Refuse(outcome.BadRequest, "the field max_tokens is below 0")
	default:
		return request, outcome.Done()
	}
}

// checkPlan refuses a request whose model is not allowed by the plan, or whose prompt is too long for it. The reason is
// Forbidden for a model that another plan allows, and NotFound for a model that no plan allows.
func (sv *Server) checkPlan(plan lists.Plan, request openai.Request, body []byte) outcome.Outcome {
	if !plan.AllowsModel(request.Model) {
		currentLists, _ := sv.dependencies.Lists.Lists()
		if !slices.Contains(currentLists.Models(), request.Model) {
			return outcome.Refuse(outcome.NotFound, fmt.Sprintf("model %q does not exist", request.Model))
		}
		return outcome.Refuse(outcome.Forbidden, fmt.Sprintf("plan %q does not allow model %q", plan.Name, request.Model))
	}
	if promptTokens := id.EstimateTokens(len(body)); promptTokens > plan.LongestPrompt {
		return outcome.Refuse(outcome.PromptTooLong, fmt.Sprintf("the prompt has about %d tokens; plan %q allows %d", promptTokens, plan.Name, plan.LongestPrompt))
	}
	return outcome.Done()
}

// newCall returns the call for a request. The order of its shards is a hash of the request ID, so that the requests are
// spread over all shards. Requests for all models count as one service, and so share one retry budget.
func (sv *Server) newCall(organisation lists.Organisation, plan lists.Plan, request openai.Request, body []byte) modelcall.Call {
	requestID := sv.nextRequestID()
	shards := id.RendezvousOrder(string(requestID), sv.dependencies.Fleet.Shards())
	return modelcall.Call{
		RequestID:          requestID,
		Organisation:       organisation.Name,
		Weight:             plan.Weight,
		Priority:           int32(plan.Priority),
		Service:            "models",
		Shards:             shards,
		Model:              request.Model,
		Body:               body,
		PromptTokens:       id.EstimateTokens(len(body)),
		MaxAnswerTokens:    id.Tokens(request.MaxAnswerTokens()),
		Deadline:           sv.clock.Now().Add(plan.Deadline),
		PrefixHashes:       prefixHashes(body),
		ContentFingerprint: id.NewFingerprint(organisation.Name, body),
	}
}

// prefixHashes returns hashes of the leading blocks of a body. Each hash covers its block and all blocks before it.
func prefixHashes(body []byte) []uint64 {
	blocks := min(len(body)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for index := range blocks {
		_, _ = digest.Write(body[index*prefixBlockBytes : (index+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// responseWriter writes an answer to the caller, as a stream of events if the request asks for one and as one JSON
// document otherwise.
type responseWriter struct {
	server  *Server
	ec      echo.Context
	call    modelcall.Call
	request openai.Request
	isChat  bool
	// createdUnix is the time of the response in seconds since 1970.
	createdUnix int64
	// bufferedText collects the tokens of an answer that is not streamed.
	bufferedText strings.Builder
	// streamStarted is set once the header of a streamed answer has been sent.
	streamStarted bool
}

// Begin sets the Engines header field to the engines of an attempt. It does nothing once a stream has started, because
// the header has then been sent.
func (rw *responseWriter) Begin(engines []id.Engine) {
	if !rw.streamStarted {
		rw.ec.Response().Header().Set("Engines", joinEngines(engines))
	}
}

// Token sends one token to the caller, or buffers it if the answer is not streamed.
func (rw *responseWriter) Token(_ int, text string) error {
	if !rw.request.Stream {
		rw.bufferedText.WriteString(text)
		return nil
	}
	if !rw.streamStarted {
		rw.startStream()
	}
	return rw.sendJSON(rw.newChunk(text, nil))
}

// startStream sends the header of a streamed answer.
func (rw *responseWriter) startStream() {
	rw.streamStarted = true
	response := rw.ec.Response()
	response.Header().Set("Content-Type", "text/event-stream")
	response.Header().Set("Cache-Control", "no-cache")
	response.WriteHeader(http.StatusOK)
}

// sendJSON sends a value as the JSON data of an event.
func (rw *responseWriter) sendJSON(body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return rw.writeEvent(string(encoded))
}

// writeEvent sends an event and flushes it to the caller.
func (rw *responseWriter) writeEvent(data string) error {
	response := rw.ec.Response()
	if _, err := io.WriteString(response, "data: "+data+"\n\n"); err != nil {
		return err
	}
	return http.NewResponseController(response.Writer).Flush()
}

// newCompletion returns a completion, or a chunk of one, with a single choice.
func (rw *responseWriter) newCompletion(object string, choice openai.Choice) openai.Completion {
	return openai.Completion{
		ID:      "cmpl-" + string(rw.call.RequestID),
		Object:  object,
		Created: rw.createdUnix,
		Model:   rw.call.Model,
		Choices: []openai.Choice{choice},
	}
}

// newChunk returns a chunk of a streamed answer.
func (rw *responseWriter) newChunk(text string, finishReason *string) openai.Completion {
	if rw.isChat {
		return rw.newCompletion("chat.completion.chunk", openai.Choice{
			Delta:        &openai.Message{Role: "assistant", Content: text},
			FinishReason: finishReason,
		})
	}
	return rw.newCompletion("text_completion", openai.Choice{Text: &text, FinishReason: finishReason})
}

// finish completes the response, also that of a caller that has gone: one that has closed only its side of the connection
// reads on, and a handler that writes nothing sends an empty success. An incomplete answer never has a finish reason or the
// final [DONE] event, so that the caller can't take it for a complete one. If the caller has gone during a stream, finish
// panics with http.ErrAbortHandler.
func (rw *responseWriter) finish(summary modelcall.Summary, oc outcome.Outcome) error {
	switch {
	case oc.Reason == outcome.CallerGone && rw.streamStarted:
		panic(http.ErrAbortHandler)
	case !oc.OK() && rw.streamStarted:
		return rw.sendJSON(newErrorBody(oc))
	case !oc.OK():
		return rw.server.writeError(rw.ec, oc)
	case rw.request.Stream:
		return rw.finishStream(summary)
	default:
		return rw.finishUnstreamed(summary)
	}
}

// finishStream sends the finish reason, the usage if the request asks for it, and the final event.
func (rw *responseWriter) finishStream(summary modelcall.Summary) error {
	if !rw.streamStarted {
		rw.startStream()
	}
	if err := rw.sendJSON(rw.newChunk("", &summary.FinishReason)); err != nil {
		return err
	}
	if rw.request.StreamOptions.IncludeUsage {
		usageChunk := rw.newChunk("", nil)
		usageChunk.Choices = []openai.Choice{}
		usageChunk.Usage = newUsage(summary)
		if err := rw.sendJSON(usageChunk); err != nil {
			return err
		}
	}
	return rw.writeEvent("[DONE]")
}

// finishUnstreamed sends the buffered answer as one JSON document.
func (rw *responseWriter) finishUnstreamed(summary modelcall.Summary) error {
	text := rw.bufferedText.String()
	choice := openai.Choice{FinishReason: &summary.FinishReason}
	object := "text_completion"
	if rw.isChat {
		object = "chat.completion"
		choice.Message = &openai.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	completion := rw.newCompletion(object, choice)
	completion.Usage = newUsage(summary)
	firstToken := strconv.FormatInt(summary.TimeToFirstToken.Milliseconds(), 10)
	rw.ec.Response().Header().Set("Time-To-First-Token-Ms", firstToken)
	return rw.ec.JSON(http.StatusOK, completion)
}

func joinEngines(engines []id.Engine) string {
	texts := make([]string, len(engines))
	for index, name := range engines {
		texts[index] = string(name)
	}
	return strings.Join(texts, ",")
}

func newUsage(summary modelcall.Summary) *openai.Usage {
	tokens := id.Tokens(summary.DeliveredTokens)
	return &openai.Usage{
		PromptTokens:     summary.PromptTokens,
		CompletionTokens: tokens,
		TotalTokens:      summary.PromptTokens + tokens,
	}
}
