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

// Request is one request of the demo.
type Request struct {
	Name         string
	Organisation id.Organisation
	// PromptTokens is the approximate length of the prompt.
	PromptTokens id.Tokens
}

// Result is one line of the demo's table.
type Result struct {
	Request    Request
	TimeToFirstToken time.Duration
	TotalTime      time.Duration
	Outcome    string
	Host       string
	Engines    string
	// Problem says what is wrong with the answer; it is empty when the answer is right.
	Problem string
}

// newBody returns the body of a chat request with about the wanted number of tokens.
func newBody(rq Request) []byte {
	line := fmt.Sprintf("%s of %s: pour 40 m2 of screed at dawn, pump on site by five. ", rq.Name, rq.Organisation)
	const bytesPerToken = 4
	const frame = 120
	size := max(1, (int(rq.PromptTokens)*bytesPerToken-frame)/len(line))
	body, err := json.Marshal(struct {
		Model    id.Model         `json:"model"`
		Stream   bool             `json:"stream"`
		Messages []openai.Message `json:"messages"`
	}{Model, true, []openai.Message{{Role: "user", Content: strings.Repeat(line, size)}}})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return body
}

// SendChat sends a request to an address and checks the whole streamed answer.
func SendChat(ctx context.Context, address string, rq Request) Result {
	body := newBody(rq)
	rq.PromptTokens = id.EstimateTokens(len(body))
	result := Result{Request: rq, Outcome: "finished"}
	started := time.Now()
	post, err := newPost(ctx, "http://"+address+"/v1/chat/completions", rq.Organisation, body)
	if err != nil {
		return result.wrong(err)
	}
	answer, err := http.DefaultClient.Do(post)
	if err != nil {
		return result.wrong(err)
	}
	defer func() { _ = answer.Body.Close() }()
	result.Host = answer.Header.Get("Entry-Host")
	result.Engines = answer.Header.Get("Engines")
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		result.Outcome = answer.Header.Get("Request-Outcome")
		return result.wrong(errors.Errorf("status %d: %s", answer.StatusCode, text))
	}
	text, first, err := readStream(answer.Body)
	if err != nil {
		return result.wrong(err)
	}
	result.TimeToFirstToken = first.Sub(started)
	result.TotalTime = time.Since(started)
	if want := engine.NaturalAnswerText(body); text != want {
		return result.wrong(errors.New("the answer is not the engine's answer to this prompt"))
	}
	return result
}

func (rs Result) wrong(err error) Result {
	rs.Problem = err.Error()
	if rs.Outcome == "finished" {
		rs.Outcome = "failed"
	}
	return rs
}

func newPost(ctx context.Context, url string, org id.Organisation, body []byte) (*http.Request, error) {
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	post.Header.Set("Authorization", "Bearer "+APIKeyOf(org))
	post.Header.Set("Content-Type", "application/json")
	return post, nil
}

// readStream returns the text of a streamed answer and when its first token arrived.
func readStream(body io.Reader) (string, time.Time, error) {
	const maxLine = 1 << 20
	var text strings.Builder
	var first time.Time
	done := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk openai.Completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", first, errors.Wrap(err, "decode chunk")
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if !done {
		return "", first, errors.New("the stream ended before its end mark")
	}
	return text.String(), first, scanner.Err()
}

// SendBooking sends one booking with an idempotency key.
func SendBooking(ctx context.Context, address, key string, rq Request) (Result, string) {
	result := Result{Request: rq, Outcome: "finished"}
	started := time.Now()
	post, err := newPost(ctx, "http://"+address+"/v1/services/"+string(BookingService)+"/bookings", rq.Organisation, []byte(`{"Pump":"P-12"}`))
	if err != nil {
		return result.wrong(err), ""
	}
	post.Header.Set("Idempotency-Key", key)
	answer, err := http.DefaultClient.Do(post)
	if err != nil {
		return result.wrong(err), ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return result.wrong(err), ""
	}
	result.Host = answer.Header.Get("Entry-Host")
	result.TimeToFirstToken = time.Since(started)
	result.TotalTime = result.TimeToFirstToken
	if answer.StatusCode != http.StatusOK {
		result.Outcome = answer.Header.Get("Request-Outcome")
		return result.wrong(errors.Errorf("status %d: %s", answer.StatusCode, text)), ""
	}
	if answer.Header.Get("Idempotency-Replayed") != "" {
		result.Outcome = "replayed"
	}
	return result, string(text)
}
