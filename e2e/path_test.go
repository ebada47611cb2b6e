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

// seen keeps the body that a client library sent, to compute the answer that belongs to it.
type seen struct {
	next http.RoundTripper
	body []byte
}

func (sn *seen) RoundTrip(rq *http.Request) (*http.Response, error) {
	if rq.ContentLength > 0 {
		reader, err := rq.GetBody()
		if err != nil {
			return nil, err
		}
		sn.body = make([]byte, rq.ContentLength)
		if _, err := readFull(reader, sn.body); err != nil {
			return nil, err
		}
	}
	return sn.next.RoundTrip(rq)
}

func newOpenAI(address, org string) (openai.Client, *seen) {
	sn := &seen{next: http.DefaultTransport}
	return openai.NewClient(
		option.WithBaseURL("http://"+address+"/v1"),
		option.WithAPIKey("key-"+org),
		option.WithHTTPClient(&http.Client{Transport: sn}),
		option.WithMaxRetries(0),
	), sn
}

func chatParams(text string, tokens int) openai.ChatCompletionNewParams {
	content := text + strings.Repeat(" pour the slab and cure it", max(0, tokens*4-len(text)-100)/26)
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
	}
}

// askStream asks through the OpenAI client and returns what is wrong with the answer.
func askStream(address, org, text string, tokens int) error {
	client, sn := newOpenAI(address, org)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams(text, tokens))
	var got strings.Builder
	finish := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got.WriteString(choice.Delta.Content)
			finish += choice.FinishReason
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if want := engine.NaturalAnswerText(sn.body); got.String() != want || finish != "stop" {
		return fmt.Errorf("answer %q with finish reason %q, want %q", got.String(), finish, want)
	}
	return nil
}

func TestRequestsEndToEnd(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 2, engineFlags: []string{"--speed", "20"}})
	addresses := fl.addresses(fl.hosts[0])
	assert.Assert(t, cmp.Len(addresses, 3))

	t.Run("models", func(t *testing.T) {
		client, _ := newOpenAI(addresses[0], "acme")
		models, err := client.Models.List(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, cmp.Len(models.Data, 1))
		assert.Equal(t, models.Data[0].ID, model)
	})
	t.Run("mixed lengths at once", func(t *testing.T) {
		lengths := []int{250, 1000, 4000, 60_000, 1_000_000, 1200, 30_000, 800}
		errs := make([]error, len(lengths))
		var group sync.WaitGroup
		for ix, length := range lengths {
			org := []string{"acme", "zenith"}[ix%2]
			group.Go(func() {
				errs[ix] = askStream(addresses[ix%3], org, fmt.Sprintf("request %d of %s", ix, org), length)
			})
		}
		group.Wait()
		for ix, err := range errs {
			assert.NilError(t, err, "prompt of %d tokens", lengths[ix])
		}
	})
	t.Run("not streamed", func(t *testing.T) {
		client, sn := newOpenAI(addresses[1], "zenith")
		completion, err := client.Chat.Completions.New(context.Background(), chatParams("one question", 300))
		assert.NilError(t, err)
		assert.Equal(t, completion.Choices[0].Message.Content, engine.NaturalAnswerText(sn.body))
		assert.Equal(t, completion.Choices[0].FinishReason, "stop")
		assert.Assert(t, completion.Usage.CompletionTokens > 0)
	})
	t.Run("longer than the fleet", func(t *testing.T) {
		rs := fl.send(http.MethodPost, addresses[0], "/v1/chat/completions", "acme", chatBody("dossier", 1_900_000, false), nil)
		assert.Equal(t, rs.status, http.StatusRequestEntityTooLarge)
		assert.Assert(t, cmp.Contains(rs.body, "prompt_exceeds_fleet"))
		assert.Assert(t, cmp.Contains(rs.body, `"outcome":"not_run"`))
	})
	t.Run("booking sent twice", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		header := map[string]string{"Idempotency-Key": key}
		first := fl.send(http.MethodPost, addresses[0], "/v1/services/"+booking+"/pumps?day=1", "acme", []byte("pump 7"), header)
		assert.NilError(t, first.err)
		assert.Equal(t, first.status, http.StatusOK, first.body)
		assert.Assert(t, cmp.Contains(first.body, "POST /pumps?day=1 pump 7"))
		second := fl.send(http.MethodPost, addresses[1], "/v1/services/"+booking+"/pumps?day=1", "acme", []byte("pump 7"), header)
		assert.Equal(t, second.body, first.body)
		assert.Equal(t, second.header.Get("Idempotency-Replayed"), "true")
		assert.Assert(t, cmp.Len(fl.ran(), 1))
	})
	t.Run("refusals", func(t *testing.T) { checkRefusals(t, fl, addresses[0]) })
}

func checkRefusals(t *testing.T, fl *fleet, address string) {
	cases := []struct {
		name, method, path, org string
		body                    []byte
		header                  map[string]string
		status                  int
		code                    string
	}{
		{"not JSON", "POST", "/v1/chat/completions", "acme", []byte("{"), nil, 400, "bad_request"},
		{"no messages", "POST", "/v1/chat/completions", "acme", []byte(`{"model":"lever-8b"}`), nil, 400, "bad_request"},
		{"unknown key", "POST", "/v1/chat/completions", "nobody", chatBody("x", 10, false), nil, 401, "invalid_api_key"},
		{"unknown model", "POST", "/v1/chat/completions", "acme", []byte(`{"model":"other","messages":[]}`), nil, 404, "not_found"},
		{"unknown path", "POST", "/v1/other", "acme", nil, nil, 404, "not_found"},
		{"unknown service", "POST", "/v1/services/other/x", "acme", nil, nil, 404, "not_found"},
		{"too long", "POST", "/v1/chat/completions", "acme", chatBody("x", 5_000_000, false), nil, 413, "prompt_too_long"},
		{"key without time", "POST", "/v1/services/bookings-app/x", "acme", nil, map[string]string{"Idempotency-Key": "k"}, 400, "bad_request"},
		{"key too old", "POST", "/v1/services/bookings-app/x", "acme", nil, map[string]string{
			"Idempotency-Key": "k", "Idempotency-Issued-At": time.Now().Add(-48 * time.Hour).Format(time.RFC3339),
		}, 400, "idempotency_key_too_old"},
	}
	for _, tc := range cases {
		rs := fl.send(tc.method, address, tc.path, tc.org, tc.body, tc.header)
		assert.NilError(t, rs.err, tc.name)
		assert.Equal(t, rs.status, tc.status, "%s: %s", tc.name, rs.body)
		var body protocol.Error
		assert.NilError(t, json.Unmarshal([]byte(rs.body), &body), tc.name)
		assert.Equal(t, body.Error.Code, tc.code, tc.name)
		assert.Equal(t, body.Error.Outcome, "not_run", tc.name)
	}
}

func TestEngineKilledMidStream(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 0})
	address := fl.addresses(fl.hosts[0])[0]
	client, sn := newOpenAI(address, "acme")
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("a question with a long answer 7", 500))
	var got strings.Builder
	killed := false
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got.WriteString(choice.Delta.Content)
		}
		if !killed {
			killed = true
			fl.kill(fl.holder())
		}
	}
	assert.NilError(t, stream.Err())
	assert.Assert(t, killed)
	assert.Equal(t, got.String(), engine.NaturalAnswerText(sn.body))
}

// holder returns an engine that holds memory.
func (fl *fleet) holder() *process {
	fl.t.Helper()
	var found *process
	fl.eventually("an engine holds memory", func() bool {
		for _, en := range fl.engines {
			if len(fl.held(en)) > 0 {
				found = en
				return true
			}
		}
		return false
	})
	return found
}

func TestHostKilled(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 0, engineFlags: []string{"--speed", "5"}})
	fl.kill(fl.hosts[0])
	survivor := fl.hosts[1]
	fl.eventually("the dead host is no longer advertised", func() bool {
		return len(fl.addresses(survivor)) == 2
	})
	for ix, address := range fl.addresses(survivor) {
		assert.NilError(t, askStream(address, "acme", fmt.Sprintf("after the loss %d", ix), 2000))
		assert.NilError(t, askStream(address, "acme", fmt.Sprintf("long after the loss %d", ix), 50_000))
	}
}

func TestPlatformStopped(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 3, engines: 4, servers: 2, engineFlags: []string{"--speed", "5"}})
	fl.kill(fl.platform)
	for ix, host := range fl.hosts {
		assert.NilError(t, askStream(host.address, "acme", fmt.Sprintf("without platform %d", ix), 2000))
	}
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	refused := fl.send(http.MethodPost, fl.hosts[0].address, "/v1/services/"+booking+"/pumps", "acme", nil, header)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Assert(t, cmp.Contains(refused.body, `"outcome":"not_run"`))
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Assert(t, cmp.Len(fl.ran(), 0))
	plain := fl.send(http.MethodGet, fl.hosts[0].address, "/v1/services/"+booking+"/pumps", "acme", nil, nil)
	assert.Equal(t, plain.status, http.StatusOK, plain.body)
}
