package caller

import (
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

	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// prefixBlockBytes is the size of the blocks of a body that are hashed to find cached prefixes.
	prefixBlockBytes = 1024
	maxPrefixBlocks  = 32
)

// complete serves a chat completion or a plain completion.
func (sv *Server) complete(ec echo.Context, chat bool) error {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	org, plan, oc := sv.authorize(ec)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	body, oc := sv.readBody(ec)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	rq, oc := parseRequest(body, chat)
	if !oc.OK() {
		return sv.refuse(ec, oc)
	}
	if oc := sv.checkPlan(plan, rq, body); !oc.OK() {
		return sv.refuse(ec, oc)
	}
	call := sv.newCall(org, plan, rq, body)
	trace.SpanFromContext(ec.Request().Context()).SetAttributes(
		attribute.String("request", string(call.RequestID)),
		attribute.String("organisation", string(org.Name)),
		attribute.Int64("prompt_tokens", int64(call.PromptTokens)),
	)
	ec.Response().Header().Set("X-Request-Id", string(call.RequestID))
	ec.Response().Header().Set("Entry-Host", string(sv.config.Host))
	ctx := ec.Request().Context()
	if oc := sv.parts.Limits.Spend(ctx, quota.SpendRequest{Organisation: org.Name, Request: call.RequestID, PromptTokens: call.PromptTokens}); !oc.OK() {
		return sv.refuse(ec, oc)
	}
	defer sv.parts.Limits.Release(call.RequestID)
	return sv.run(ec, call, rq, chat)
}

func (sv *Server) run(ec echo.Context, call serve.Call, rq openai.Request, chat bool) error {
	an := &answer{server: sv, ec: ec, call: call, request: rq, chat: chat, created: sv.clock.Now().Unix()}
	summary, oc := sv.parts.Models.Run(ec.Request().Context(), call, an)
	band := bandName(call.PromptTokens)
	sv.metrics.Tagged(map[string]string{"outcome": oc.Kind.String(), "band": band}).Counter("requests").Inc(1)
	if oc.OK() {
		sv.metrics.Tagged(map[string]string{"band": band}).Timer("time_to_first_token").Record(summary.TimeToFirstToken)
	}
	return an.finish(summary, oc)
}

func bandName(prompt id.Tokens) string {
	switch {
	case prompt <= 4096:
		return "4k"
	case prompt <= 32_768:
		return "32k"
	case prompt <= 100_000:
		return "100k"
	case prompt <= 400_000:
		return "400k"
	default:
		return "1M"
	}
}

func (sv *Server) readBody(ec echo.Context) ([]byte, outcome.Outcome) {
	rq := ec.Request()
	if rq.ContentLength > sv.config.MaxBodyBytes {
		return nil, sv.tooLarge()
	}
	reader := http.MaxBytesReader(ec.Response(), rq.Body, sv.config.MaxBodyBytes)
	var body []byte
	var err error
	if rq.ContentLength > 0 {
		body = make([]byte, rq.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, sv.tooLarge()
	case err != nil:
		return nil, outcome.Refuse(outcome.BadRequest, "the request's body ended early")
	default:
		return body, outcome.Done()
	}
}

func (sv *Server) tooLarge() outcome.Outcome {
	return outcome.Refuse(outcome.PromptTooLong, fmt.Sprintf("the body is longer than %d bytes", sv.config.MaxBodyBytes))
}

func parseRequest(body []byte, chat bool) (openai.Request, outcome.Outcome) {
	var rq openai.Request
	if err := json.Unmarshal(body, &rq); err != nil {
		return rq, outcome.Refuse(outcome.BadRequest, "the body is not a completion request: "+err.Error())
	}
	switch {
	case rq.Model == "":
		return rq, outcome.Refuse(outcome.BadRequest, "the field model is missing")
	case chat && !bool(rq.Messages):
		return rq, outcome.Refuse(outcome.BadRequest, "the field messages is missing")
	case !chat && !bool(rq.Prompt):
		return rq, outcome.Refuse(outcome.BadRequest, "the field prompt is missing")
	case rq.N > 1:
		return rq, outcome.Refuse(outcome.BadRequest, "the field n is above 1; one answer a request is served")
	case rq.MaxAnswerTokens() < 0:
		return rq, outcome.Refuse(outcome.BadRequest, "the field max_tokens is below 0")
	default:
		return rq, outcome.Done()
	}
}

func (sv *Server) checkPlan(plan lists.Plan, rq openai.Request, body []byte) outcome.Outcome {
	if !plan.AllowsModel(rq.Model) {
		current, _ := sv.parts.Lists.Lists()
		if !slices.Contains(current.Models(), rq.Model) {
			return outcome.Refuse(outcome.NotFound, fmt.Sprintf("model %q does not exist", rq.Model))
		}
		return outcome.Refuse(outcome.Forbidden, fmt.Sprintf("plan %q does not allow model %q", plan.Name, rq.Model))
	}
	if prompt := id.EstimateTokens(len(body)); prompt > plan.LongestPrompt {
		return outcome.Refuse(outcome.PromptTooLong, fmt.Sprintf("the prompt has about %d tokens; plan %q allows %d", prompt, plan.Name, plan.LongestPrompt))
	}
	return outcome.Done()
}

func (sv *Server) newCall(org lists.Organisation, plan lists.Plan, rq openai.Request, body []byte) serve.Call {
	name := sv.nextRequest()
	shards := id.RendezvousOrder(string(name), sv.parts.Fleet.Shards())
	return serve.Call{
		RequestID:          name,
		Organisation:       org.Name,
		Weight:             plan.Weight,
		Priority:           int32(plan.Priority),
		Service:            "models",
		Shards:             shards,
		Model:              rq.Model,
		Body:               body,
		PromptTokens:       id.EstimateTokens(len(body)),
		MaxAnswerTokens:    id.Tokens(rq.MaxAnswerTokens()),
		Deadline:           sv.clock.Now().Add(plan.Deadline),
		PrefixHashes:       prefixOf(body),
		ContentFingerprint: id.NewFingerprint(org.Name, body),
	}
}

// prefixOf hashes the leading blocks of a body; each hash covers all blocks before it.
func prefixOf(body []byte) []uint64 {
	blocks := min(len(body)/prefixBlockBytes, maxPrefixBlocks)
	prefix := make([]uint64, 0, blocks)
	dg := xxhash.New()
	for ix := range blocks {
		_, _ = dg.Write(body[ix*prefixBlockBytes : (ix+1)*prefixBlockBytes])
		prefix = append(prefix, dg.Sum64())
	}
	return prefix
}

// answer passes the tokens of an answer to the caller.
type answer struct {
	server  *Server
	ec      echo.Context
	call    serve.Call
	request openai.Request
	chat    bool
	created int64
	text    strings.Builder
	started bool
}

// Begin names the engines in the answer's header, which can't change once the answer is streamed.
func (an *answer) Begin(engines []id.Engine) {
	if !an.started {
		an.ec.Response().Header().Set("Engines", joinEngines(engines))
	}
}

// Token passes one token on, or keeps it for an answer that is not streamed.
func (an *answer) Token(_ int, text string) error {
	if !an.request.Stream {
		an.text.WriteString(text)
		return nil
	}
	if !an.started {
		an.start()
	}
	return an.send(an.chunk(text, nil))
}

func (an *answer) start() {
	an.started = true
	rs := an.ec.Response()
	rs.Header().Set("Content-Type", "text/event-stream")
	rs.Header().Set("Cache-Control", "no-cache")
	rs.WriteHeader(http.StatusOK)
}

func (an *answer) send(body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return an.write(string(encoded))
}

func (an *answer) write(data string) error {
	rs := an.ec.Response()
	if _, err := io.WriteString(rs, "data: "+data+"\n\n"); err != nil {
		return err
	}
	return http.NewResponseController(rs.Writer).Flush()
}

func (an *answer) completion(object string, choice openai.Choice) openai.Completion {
	return openai.Completion{
		ID:      "cmpl-" + string(an.call.RequestID),
		Object:  object,
		Created: an.created,
		Model:   an.call.Model,
		Choices: []openai.Choice{choice},
	}
}

func (an *answer) chunk(text string, finishReason *string) openai.Completion {
	if an.chat {
		return an.completion("chat.completion.chunk", openai.Choice{
			Delta:        &openai.Message{Role: "assistant", Content: text},
			FinishReason: finishReason,
		})
	}
	return an.completion("text_completion", openai.Choice{Text: &text, FinishReason: finishReason})
}

// finish ends the answer. An answer that is not whole never carries a finish reason or the end mark.
func (an *answer) finish(summary serve.Summary, oc outcome.Outcome) error {
	switch {
	case oc.Reason == outcome.CallerGone:
		return nil
	case !oc.OK() && an.started:
		return an.send(errorBody(oc))
	case !oc.OK():
		return an.server.refuse(an.ec, oc)
	case an.request.Stream:
		return an.finishStream(summary)
	default:
		return an.finishWhole(summary)
	}
}

func (an *answer) finishStream(summary serve.Summary) error {
	if !an.started {
		an.start()
	}
	if err := an.send(an.chunk("", &summary.FinishReason)); err != nil {
		return err
	}
	if an.request.StreamOptions.IncludeUsage {
		last := an.chunk("", nil)
		last.Choices = []openai.Choice{}
		last.Usage = usageOf(summary)
		if err := an.send(last); err != nil {
			return err
		}
	}
	return an.write("[DONE]")
}

func (an *answer) finishWhole(summary serve.Summary) error {
	text := an.text.String()
	choice := openai.Choice{FinishReason: &summary.FinishReason}
	object := "text_completion"
	if an.chat {
		object = "chat.completion"
		choice.Message = &openai.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	completion := an.completion(object, choice)
	completion.Usage = usageOf(summary)
	firstToken := strconv.FormatInt(summary.TimeToFirstToken.Milliseconds(), 10)
	an.ec.Response().Header().Set("Time-To-First-Token-Ms", firstToken)
	return an.ec.JSON(http.StatusOK, completion)
}

func joinEngines(engines []id.Engine) string {
	parts := make([]string, len(engines))
	for ix, name := range engines {
		parts[ix] = string(name)
	}
	return strings.Join(parts, ",")
}

func usageOf(summary serve.Summary) *openai.Usage {
	tokens := id.Tokens(summary.DeliveredTokens)
	return &openai.Usage{
		PromptTokens:     summary.PromptTokens,
		CompletionTokens: tokens,
		TotalTokens:      summary.PromptTokens + tokens,
	}
}
