package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// scriptedAnswer is an answer of a server.
type scriptedAnswer struct {
	status      int
	contentType string
	body        string
	// breaksOff says that the connection breaks off after the body, notRun that the server says it did not run the request.
	breaksOff bool
	notRun    bool
}

// answeringServers gives the answers to the attempts in order.
type answeringServers struct {
	fakeServers
	answers []scriptedAnswer
}

// brokenReader is the end of a connection that breaks off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (sv *answeringServers) Send(context.Context, forward.Attempt) (forward.Response, error) {
	answer := sv.answers[0]
	sv.answers = sv.answers[1:]
	body := io.Reader(strings.NewReader(answer.body))
	if answer.breaksOff {
		body = io.MultiReader(body, brokenReader{})
	}
	response := forward.Response{Status: answer.status, Length: -1, NotRun: answer.notRun, Header: http.Header{}, Body: io.NopCloser(body)}
	if answer.contentType != "" {
		response.Header.Set("Content-Type", answer.contentType)
	}
	return response, nil
}

const (
	event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	errorHead              = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\r\n\r\n"
	eventStreamType        = "text/event-stream"
)

// stream returns a complete stream of events, brokenStream one that breaks off.
func stream(body string) scriptedAnswer {
	return scriptedAnswer{status: http.StatusOK, contentType: eventStreamType, body: body}
}

func brokenStream(body string) scriptedAnswer {
	return scriptedAnswer{status: http.StatusOK, contentType: eventStreamType, body: body, breaksOff: true}
}

// TestErrorInsideStream checks that a client gets nothing but the events of its stream in order, whatever the engines
// answer after a stream broke off. The stream goes on at an engine that resumes it; if there is none, it is not complete.
func TestErrorInsideStream(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []scriptedAnswer
		// forwarded is the part of the stream that comes from these answers.
		forwarded string
	}{
		{"error with a text", []scriptedAnswer{brokenStream(event1), {status: http.StatusInternalServerError, contentType: "text/plain", body: "failed\n\n"}}, event1},
		{"error with events", []scriptedAnswer{brokenStream(event1), {status: http.StatusBadGateway, contentType: eventStreamType, body: event2}}, event1},
		{"error as if the request were wrong", []scriptedAnswer{brokenStream(event1), {status: http.StatusNotFound, contentType: "text/plain", body: "no such stream\n\n"}}, event1},
		{"not run", []scriptedAnswer{brokenStream(event1), {status: http.StatusServiceUnavailable, body: "full\n\n", notRun: true}}, event1},
		{"head of an error in the first stream", []scriptedAnswer{stream(event1 + errorHead)}, event1},
		{"text of an error in the first stream", []scriptedAnswer{stream(event1 + "Internal Server Error\n\n")}, event1},
		{"head of an error in the resumed stream", []scriptedAnswer{brokenStream(event1), stream(event2 + errorHead)}, event1 + event2},
		{"text of the status of a success", []scriptedAnswer{brokenStream(event1), {status: http.StatusOK, contentType: "text/plain", body: event2 + event3}}, event1},
		{"object with the status of a success", []scriptedAnswer{brokenStream(event1), {status: http.StatusOK, contentType: "application/json", body: "\n"}}, event1},
		{"no type with the status of a success", []scriptedAnswer{brokenStream(event1), {status: http.StatusOK, body: ": failed\n\n"}}, event1},
		{"resumed stream without events", []scriptedAnswer{brokenStream(event1), stream("")}, event1},
		{"resumed stream from the start", []scriptedAnswer{brokenStream(event1 + event2), stream(event1 + event2 + event3)}, event1 + event2},
		{"resumed stream with the last event", []scriptedAnswer{brokenStream(event1 + event2), stream(event2 + event3)}, event1 + event2},
		{"resumed stream that goes back", []scriptedAnswer{brokenStream(event1), stream(event2 + event1 + event3)}, event1 + event2},
		{"head of an error as the resumed stream", []scriptedAnswer{brokenStream(event1), stream(errorHead)}, event1},
	} {
		for _, resumed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumed %t", tc.name, resumed), func(t *testing.T) {
				var grants []batch.Grant
				for ix := range tc.answers {
					grants = append(grants, grantOn(fmt.Sprint(ix), fmt.Sprint("engine-", ix)))
				}
				servers := &answeringServers{answers: tc.answers}
				want := tc.forwarded
				if resumed {
					grants = append(grants, grantOn("last", "last"))
					rest := strings.TrimPrefix(event1+event2+event3, tc.forwarded)
					servers.answers = append(servers.answers[:len(tc.answers):len(tc.answers)], stream(rest))
					want += rest
				}
				rn := newRunner(forward.Dependencies{Sender: servers, Dispatcher: &fakeDispatcher{grants: grants}, Fleet: fakeFleet{}})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
					Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 4},
				}, client)
				assert.Equal(t, client.body.String(), want)
				assert.Equal(t, result.Complete, resumed, "%+v", result)
				assert.Assert(t, result.HeadSent)
			})
		}
	}
}

// TestStreamWithoutIDsIsNotResumed checks that a stream is not resumed after an event with data but without an id, because
// no request can ask an engine to go on after it.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for _, tc := range []struct {
		first    string
		complete bool
	}{{"data: a\n\n", false}, {event1 + "data: b\n\n", false}, {"data: a\n\n" + event1, true}, {event1 + ": comment\n\nretry: 10\n\n", true}} {
		dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
		rn := newRunner(forward.Dependencies{Sender: &answeringServers{answers: []scriptedAnswer{brokenStream(tc.first), stream(event2)}}, Dispatcher: dispatcher, Fleet: fakeFleet{}})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 4},
		}, client)
		assert.Equal(t, result.Complete, tc.complete, "%+v", result)
		assert.Assert(t, strings.HasPrefix(client.body.String(), tc.first))
		assert.Equal(t, strings.Count(client.body.String(), event2) == 1, tc.complete)
	}
}

// TestResumedStreamsPassUnchanged checks that events of a resumed stream are forwarded whose ids rise in any steps, or that
// have no ids or ones that are no numbers, and that a stream that may not be resumed is forwarded whatever its ids are.
func TestResumedStreamsPassUnchanged(t *testing.T) {
	const otherEvents = "id: 9\ndata: b\n\n: comment\n\ndata: no id\n\nid: 10\ndata: c\n\nid: a\ndata: d\n\nid: b\ndata: e\n\nid: 99999999999999999999\ndata: f\n\n"
	for _, tc := range []struct {
		name        string
		resumable   bool
		lastEventID string
		answers     []scriptedAnswer
		want        string
	}{
		{"other ids", true, "", []scriptedAnswer{brokenStream(event1), stream(otherEvents)}, event1 + otherEvents},
		{"resumed by the client", true, "8", []scriptedAnswer{brokenStream(""), stream(otherEvents)}, otherEvents},
		{"resumed by the client, nothing left", true, "3", []scriptedAnswer{stream("")}, ""},
		{"only events without ids left", true, "", []scriptedAnswer{brokenStream(event1), stream("data: [DONE]\n\n")}, event1 + "data: [DONE]\n\n"},
		{"not resumable", false, "8", []scriptedAnswer{stream(event1 + event2 + event1)}, event1 + event2 + event1},
		{"resumed by the client from the start", true, "1", []scriptedAnswer{stream(event1 + event2), stream(event2 + event3)}, event2 + event3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
			rn := newRunner(forward.Dependencies{Sender: &answeringServers{answers: tc.answers}, Dispatcher: dispatcher, Fleet: fakeFleet{}})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{
				ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second), LastEventID: tc.lastEventID,
				Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: tc.resumable, MaxAttempts: 4},
			}, client)
			assert.Assert(t, result.Complete, "%+v", result)
			assert.Equal(t, client.body.String(), tc.want)
		})
	}
}
