package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	protocol "github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/standin/engine"
)

// bodyRecorder is an HTTP transport that keeps the body of the last request that a client library sent, so that a test
// can compute the answer that a stand-in engine gives to it.
type bodyRecorder struct {
	transport http.RoundTripper
	body      []byte
}

func (br *bodyRecorder) RoundTrip(rq *http.Request) (*http.Response, error) {
	if rq.ContentLength > 0 {
		reader, err := rq.GetBody()
		if err != nil {
			return nil, err
		}
		br.body = make([]byte, rq.ContentLength)
		if _, err := readAndClose(reader, br.body); err != nil {
			return nil, err
		}
	}
	return br.transport.RoundTrip(rq)
}

// newOpenAIClient returns an OpenAI client that sends requests to a host with the API key of an organisation and does
// not retry, and the recorder of its request bodies.
func newOpenAIClient(address, org string) (openai.Client, *bodyRecorder) {
	recorder := &bodyRecorder{transport: http.DefaultTransport}
	return openai.NewClient(
		option.WithBaseURL("http://"+address+"/v1"),
		option.WithAPIKey("key-"+org),
		option.WithHTTPClient(&http.Client{Transport: recorder}),
		option.WithMaxRetries(0),
	), recorder
}

// chatParams returns a chat request whose prompt starts with promptStart and is filled up to about promptTokens tokens
// of 4 bytes, including about 100 bytes of JSON. The text that fills it up has 26 bytes.
func chatParams(promptStart string, promptTokens int) openai.ChatCompletionNewParams {
	content := promptStart + strings.Repeat(" pour the slab and cure it", max(0, promptTokens*4-len(promptStart)-100)/26)
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
	}
}

// streamAndVerify sends a streaming chat request through the OpenAI client. It returns an error if the request fails,
// or if the answer is not exactly the one that a stand-in engine gives to this request.
func streamAndVerify(address, org, promptStart string, promptTokens int) error {
	client, recorder := newOpenAIClient(address, org)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams(promptStart, promptTokens))
	var content strings.Builder
	finishReason := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			content.WriteString(choice.Delta.Content)
			finishReason += choice.FinishReason
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if want := engine.NaturalAnswerText(recorder.body); content.String() != want || finishReason != "stop" {
		return fmt.Errorf("answer %q with finish reason %q, want %q", content.String(), finishReason, want)
	}
	return nil
}

// TestRequestsEndToEnd sends each kind of request through hosts of a fleet without faults.
func TestRequestsEndToEnd(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 2, engineFlags: []string{"--speed", "20"}})
	addresses := fl.callerAddresses(fl.hosts[0])
	assert.Assert(t, cmp.Len(addresses, 3))

	t.Run("models", func(t *testing.T) {
		client, _ := newOpenAIClient(addresses[0], "acme")
		models, err := client.Models.List(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, cmp.Len(models.Data, 1))
		assert.Equal(t, models.Data[0].ID, model)
	})
	t.Run("mixed lengths at once", func(t *testing.T) {
		promptLengths := []int{250, 1000, 4000, 60_000, 1_000_000, 1200, 30_000, 800}
		errs := make([]error, len(promptLengths))
		var group sync.WaitGroup
		for ix, promptTokens := range promptLengths {
			org := []string{"acme", "zenith"}[ix%2]
			group.Go(func() {
				errs[ix] = streamAndVerify(addresses[ix%3], org, fmt.Sprintf("request %d of %s", ix, org), promptTokens)
			})
		}
		group.Wait()
		for ix, err := range errs {
			assert.NilError(t, err, "prompt of %d tokens", promptLengths[ix])
		}
	})
	t.Run("not streamed", func(t *testing.T) {
		client, recorder := newOpenAIClient(addresses[1], "zenith")
		completion, err := client.Chat.Completions.New(context.Background(), chatParams("one question", 300))
		assert.NilError(t, err)
		assert.Equal(t, completion.Choices[0].Message.Content, engine.NaturalAnswerText(recorder.body))
		assert.Equal(t, completion.Choices[0].FinishReason, "stop")
		assert.Assert(t, completion.Usage.CompletionTokens > 0)
	})
	t.Run("prompt exceeds the fleet", func(t *testing.T) {
		rs := fl.send(http.MethodPost, addresses[0], "/v1/chat/completions", "acme", chatRequestBody("dossier", 1_900_000, false), nil)
		assert.Equal(t, rs.status, http.StatusRequestEntityTooLarge)
		assert.Assert(t, cmp.Contains(rs.body, "prompt_exceeds_fleet"))
		assert.Assert(t, cmp.Contains(rs.body, `"outcome":"not_run"`))
	})
	t.Run("booking repeated with its key", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		header := map[string]string{"Idempotency-Key": key}
		first := fl.send(http.MethodPost, addresses[0], "/v1/services/"+bookingService+"/pumps?day=1", "acme", []byte("pump 7"), header)
		assert.NilError(t, first.err)
		assert.Equal(t, first.status, http.StatusOK, first.body)
		assert.Assert(t, cmp.Contains(first.body, "POST /pumps?day=1 pump 7"))
		second := fl.send(http.MethodPost, addresses[1], "/v1/services/"+bookingService+"/pumps?day=1", "acme", []byte("pump 7"), header)
		assert.Equal(t, second.body, first.body)
		assert.Equal(t, second.header.Get("Idempotency-Replayed"), "true")
		assert.Assert(t, cmp.Len(fl.requestsRunByServers(), 1))
	})
	t.Run("refusals", func(t *testing.T) { checkRefusals(t, fl, addresses[0]) })
}

// checkRefusals checks the status, code and outcome of requests that a host must refuse without running them.
func checkRefusals(t *testing.T, fl *fleet, address string) {
	cases := []struct {
		name, method, path, org string
		body                    []byte
		header                  map[string]string
		wantStatus              int
		wantCode                string
	}{
		{"not JSON", "POST", "/v1/chat/completions", "acme", []byte("{"), nil, 400, "bad_request"},
		{"no messages", "POST", "/v1/chat/completions", "acme", []byte(`{"model":"lever-8b"}`), nil, 400, "bad_request"},
		{"unknown API key", "POST", "/v1/chat/completions", "nobody", chatRequestBody("x", 10, false), nil, 401, "invalid_api_key"},
		{"unknown model", "POST", "/v1/chat/completions", "acme", []byte(`{"model":"other","messages":[]}`), nil, 404, "not_found"},
		{"unknown path", "POST", "/v1/other", "acme", nil, nil, 404, "not_found"},
		{"unknown service", "POST", "/v1/services/other/x", "acme", nil, nil, 404, "not_found"},
		{"prompt too long", "POST", "/v1/chat/completions", "acme", chatRequestBody("x", 5_000_000, false), nil, 413, "prompt_too_long"},
		{"idempotency key without time", "POST", "/v1/services/bookings-app/x", "acme", nil, map[string]string{"Idempotency-Key": "k"}, 400, "bad_request"},
		{"idempotency key too old", "POST", "/v1/services/bookings-app/x", "acme", nil, map[string]string{
			"Idempotency-Key": "k", "Idempotency-Issued-At": time.Now().Add(-48 * time.Hour).Format(time.RFC3339),
		}, 400, "idempotency_key_too_old"},
	}
	for _, tc := range cases {
		rs := fl.send(tc.method, address, tc.path, tc.org, tc.body, tc.header)
		assert.NilError(t, rs.err, tc.name)
		assert.Equal(t, rs.status, tc.wantStatus, "%s: %s", tc.name, rs.body)
		var body protocol.Error
		assert.NilError(t, json.Unmarshal([]byte(rs.body), &body), tc.name)
		assert.Equal(t, body.Error.Code, tc.wantCode, tc.name)
		assert.Equal(t, body.Error.Outcome, "not_run", tc.name)
	}
}

// TestEngineKilledMidStream kills the engine of a stream after the first event. The client must receive the complete
// answer without an error or a repetition.
func TestEngineKilledMidStream(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 0})
	address := fl.callerAddresses(fl.hosts[0])[0]
	client, recorder := newOpenAIClient(address, "acme")
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("a question with a long answer 7", 500))
	var content strings.Builder
	killed := false
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			content.WriteString(choice.Delta.Content)
		}
		if !killed {
			killed = true
			fl.kill(fl.engineHoldingMemory())
		}
	}
	assert.NilError(t, stream.Err())
	assert.Assert(t, killed)
	assert.Equal(t, content.String(), engine.NaturalAnswerText(recorder.body))
}

// engineHoldingMemory waits until an engine holds memory for an attempt and returns that engine.
func (fl *fleet) engineHoldingMemory() *process {
	fl.t.Helper()
	var holder *process
	fl.eventually("an engine holds memory", func() bool {
		for _, en := range fl.engines {
			if len(fl.heldAttempts(en)) > 0 {
				holder = en
				return true
			}
		}
		return false
	})
	return holder
}

// TestHostKilled kills a host. The other hosts must stop advertising it and continue to serve short and long prompts.
func TestHostKilled(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 0, engineFlags: []string{"--speed", "5"}})
	fl.kill(fl.hosts[0])
	survivor := fl.hosts[1]
	fl.eventually("the dead host is no longer advertised", func() bool {
		return len(fl.callerAddresses(survivor)) == 2
	})
	for ix, address := range fl.callerAddresses(survivor) {
		assert.NilError(t, streamAndVerify(address, "acme", fmt.Sprintf("after the loss %d", ix), 2000))
		assert.NilError(t, streamAndVerify(address, "acme", fmt.Sprintf("long after the loss %d", ix), 50_000))
	}
}

// TestPlatformStopped kills the platform. Chat requests, and requests to services without an idempotency key, must
// still be served. A booking with a key must be refused as not run, because its claim cannot be recorded.
func TestPlatformStopped(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 2, engineFlags: []string{"--speed", "5"}})
	fl.kill(fl.platform)
	for ix, host := range fl.hosts {
		assert.NilError(t, streamAndVerify(host.address, "acme", fmt.Sprintf("without platform %d", ix), 2000))
	}
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	refused := fl.send(http.MethodPost, fl.hosts[0].address, "/v1/services/"+bookingService+"/pumps", "acme", nil, header)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Assert(t, cmp.Contains(refused.body, `"outcome":"not_run"`))
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Assert(t, cmp.Len(fl.requestsRunByServers(), 0))
	withoutKey := fl.send(http.MethodGet, fl.hosts[0].address, "/v1/services/"+bookingService+"/pumps", "acme", nil, nil)
	assert.Equal(t, withoutKey.status, http.StatusOK, withoutKey.body)
}
