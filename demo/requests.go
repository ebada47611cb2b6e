package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Request is a request of the demo.
type Request struct {
	Name         string
	Organisation id.Organisation
	// PromptTokens is the estimated number of tokens in the prompt, 0 for a booking.
	PromptTokens id.Tokens
}

// Result is the outcome of a request and a line of the demo's table.
type Result struct {
	Request Request
	// TimeToFirstToken is the time until the first event of the answer; for a booking it equals TotalTime.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// Outcome is "finished", "replayed" or "failed", or the Request-Outcome header of an error response.
	Outcome string
	// Host is the entry host that served the request, Engines the engines that ran it, as named in the response header.
	Host    string
	Engines string
	// Problem says what is wrong with the response; it is empty if the response is right.
	Problem string
}

// newChatBody returns the body of a streaming chat request with about the requested number of prompt tokens.
func newChatBody(request Request) []byte {
	promptLine := fmt.Sprintf("%s of %s: pour 40 m2 of screed at dawn, pump on site by five. ", request.Name, request.Organisation)
	const bytesPerToken = 4
	const envelopeBytes = 120 // approximate size of the JSON around the prompt
	repeats := max(1, (int(request.PromptTokens)*bytesPerToken-envelopeBytes)/len(promptLine))
	body, err := json.Marshal(struct {
		Model    id.Model         `json:"model"`
		Stream   bool             `json:"stream"`
		Messages []openai.Message `json:"messages"`
	}{Model, true, []openai.Message{{Role: "user", Content: strings.Repeat(promptLine, repeats)}}})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return body
}

// SendChat sends a chat request to a host and checks the whole streamed answer. The result has the estimated size of
// the prompt that was actually sent.
func SendChat(ctx context.Context, address string, request Request) Result {
	body := newChatBody(request)
	request.PromptTokens = id.EstimateTokens(len(body))
	result := Result{Request: request, Outcome: "finished"}
	startedAt := time.Now()
	httpRequest, err := newPostRequest(ctx, "http://"+address+"/v1/chat/completions", request.Organisation, body)
	if err != nil {
		return result.withProblem(err)
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return result.withProblem(err)
	}
	defer func() { _ = response.Body.Close() }()
	result.Host = response.Header.Get("Entry-Host")
	result.Engines = response.Header.Get("Engines")
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		result.Outcome = response.Header.Get("Request-Outcome")
		return result.withProblem(errors.Errorf("status %d: %s", response.StatusCode, text))
	}
	text, firstTokenAt, err := readStream(response.Body)
	if err != nil {
		return result.withProblem(err)
	}
	result.TimeToFirstToken = firstTokenAt.Sub(startedAt)
	result.TotalTime = time.Since(startedAt)
	if want := engine.NaturalAnswerText(body); text != want {
		return result.withProblem(errors.New("the streamed answer differs from the engine's answer to this prompt"))
	}
	return result
}

// withProblem returns the result with a problem. A result that counted as finished becomes a failed one.
func (rs Result) withProblem(err error) Result {
	rs.Problem = err.Error()
	if rs.Outcome == "finished" {
		rs.Outcome = "failed"
	}
	return rs
}

// newPostRequest returns a POST request with a JSON body and the key of an organisation.
func newPostRequest(ctx context.Context, url string, organisation id.Organisation, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+OrganisationAPIKey(organisation))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// readStream reads a stream of server-sent events. It returns the text of the answer and the time of its first event,
// or an error if the stream ends without its end event.
func readStream(body io.Reader) (string, time.Time, error) {
	const maxLineBytes = 1 << 20
	var text strings.Builder
	var firstTokenAt time.Time
	done := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if firstTokenAt.IsZero() {
			firstTokenAt = time.Now()
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk openai.Completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", firstTokenAt, errors.Wrap(err, "decode chunk")
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if !done {
		return "", firstTokenAt, errors.New("the stream ended without a [DONE] event")
	}
	return text.String(), firstTokenAt, scanner.Err()
}

// SendBooking sends a booking with an idempotency key and returns the body of the response, too. The outcome is
// "replayed" if the response was recorded for an earlier request with that key.
func SendBooking(ctx context.Context, address, idempotencyKey string, request Request) (Result, string) {
	result := Result{Request: request, Outcome: "finished"}
	startedAt := time.Now()
	httpRequest, err := newPostRequest(ctx, "http://"+address+"/v1/services/"+string(BookingService)+"/bookings", request.Organisation, []byte(`{"Pump":"P-12"}`))
	if err != nil {
		return result.withProblem(err), ""
	}
	httpRequest.Header.Set("Idempotency-Key", idempotencyKey)
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return result.withProblem(err), ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return result.withProblem(err), ""
	}
	result.Host = response.Header.Get("Entry-Host")
	result.TimeToFirstToken = time.Since(startedAt)
	result.TotalTime = result.TimeToFirstToken
	if response.StatusCode != http.StatusOK {
		result.Outcome = response.Header.Get("Request-Outcome")
		return result.withProblem(errors.Errorf("status %d: %s", response.StatusCode, text)), ""
	}
	if response.Header.Get("Idempotency-Replayed") != "" {
		result.Outcome = "replayed"
	}
	return result, string(text)
}
