package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// relayFunc is a RelayServer that is a function.
type relayFunc func(ctx context.Context, call peerrelay.Call) (peerrelay.Answer, error)

func (rf relayFunc) Handle(ctx context.Context, call peerrelay.Call, _ time.Time) (peerrelay.Answer, error) {
	return rf(ctx, call)
}

// startRelay starts the peers' port of a host with a relay. It returns a client, and the host as a member.
func startRelay(t *testing.T, relay relayFunc) (*RelayClient, membership.Member) {
	server := httptest.NewServer(NewServer(LocalComponents{RelayServer: relay}, timer.NewSystem()).Handler())
	t.Cleanup(server.Close)
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	t.Cleanup(pool.Close)
	client := NewRelayClient(pool, func(context.Context, membership.Member) {})
	return client, membership.Member{Host: "peer", PeerAddress: server.Listener.Addr().String()}
}

// fullCall returns a call with a value in each field that is passed on, and bytes that are not valid UTF-8.
func fullCall() peerrelay.Call {
	return peerrelay.Call{
		Kind: peerrelay.Send, From: "entry", Address: "10.0.0.1:80", Timeout: 3 * time.Second,
		Attempt: forward.Attempt{
			Request: &forward.Request{
				ID: "r1", Method: http.MethodPost, Target: "/a?b=\xff%20", HostName: "host.example", Header: http.Header{"X-Text": {"\xe4\xf6", "second"}, "Empty": {""}},
				Body: bytes.Repeat([]byte{0, 1, 0xff, '\n'}, 10_000), Organisation: "org",
			},
			Server: "s1", Address: "10.0.0.1:80", Remaining: 2500 * time.Millisecond, ResumeAfter: "12",
			Helpers: []batch.Part{{Engine: "s2", Address: "10.0.0.2:80", Ticket: "t1"}, {Engine: "s3", Address: "10.0.0.3:80"}}, NewConnection: true, Urgency: -1,
		},
	}
}

// fullResponse returns the head of a response with a value in each field that is passed on.
func fullResponse() forward.Response {
	return forward.Response{
		Status: http.StatusServiceUnavailable, Header: http.Header{"X-Seal": {"\xfe1"}, "Set": {"a", "b"}}, Length: -1, EndsWithConnection: true, NotRun: true, Misdirected: true, Leaving: true,
		RequestLimit: requestlimit.Named{Rate: 12.5, Invalid: "bad", ColdFor: 1200 * time.Millisecond}, RetryAfter: 250 * time.Millisecond, FailedEngine: "10.0.0.2:80", Load: &balance.Load{Running: 1, Waiting: 2, Slots: 3},
	}
}

// TestRelayedCallArrivesUnchanged checks that a call and the head and the body of its response pass a relay unchanged.
func TestRelayedCallArrivesUnchanged(t *testing.T) {
	var received peerrelay.Call
	client, peer := startRelay(t, func(_ context.Context, call peerrelay.Call) (peerrelay.Answer, error) {
		received = call
		response := fullResponse()
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader("first "), strings.NewReader(strings.Repeat("x", 100_000))))
		return peerrelay.Answer{Response: response, Probe: forward.ReachableThroughPeer, ReachesOther: true, Granted: true}, nil
	})
	answer, err := client.Relay(t.Context(), peer, fullCall())
	assert.NilError(t, err)
	assert.DeepEqual(t, received, fullCall())
	body, err := io.ReadAll(answer.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "first "+strings.Repeat("x", 100_000))
	assert.NilError(t, answer.Response.Body.Close())
	answer.Response.Body = nil
	assert.DeepEqual(t, answer, peerrelay.Answer{Response: fullResponse(), Probe: forward.ReachableThroughPeer, ReachesOther: true, Granted: true})
}

// TestRelayedOrder checks that a call without a response passes a relay.
func TestRelayedOrder(t *testing.T) {
	want := peerrelay.Call{Kind: peerrelay.Reserve, From: "entry", Address: "10.0.0.1:80", Timeout: time.Second, Engine: "e1", Ticket: "t1", Tokens: 5000, TTL: 3500 * time.Millisecond}
	client, peer := startRelay(t, func(_ context.Context, call peerrelay.Call) (peerrelay.Answer, error) {
		assert.DeepEqual(t, call, want)
		return peerrelay.Answer{Granted: true}, nil
	})
	for range 3 {
		answer, err := client.Relay(t.Context(), peer, want)
		assert.NilError(t, err)
		assert.Assert(t, answer.Granted)
	}
}

// TestRelayFailures checks what the errors of calls through a peer say of what was sent.
func TestRelayFailures(t *testing.T) {
	handler := func(err error) relayFunc {
		return func(context.Context, peerrelay.Call) (peerrelay.Answer, error) { return peerrelay.Answer{}, err }
	}
	for _, tc := range []struct {
		name    string
		relay   relayFunc
		reason  peerrelay.Reason
		notSent bool
		refused bool
	}{
		{"refused by the peer", handler(&peerrelay.Failure{Reason: peerrelay.Busy, NotSent: true}), peerrelay.Busy, true, false},
		{"server refuses", handler(&peerrelay.Failure{Reason: peerrelay.ServerUnreachable, NotSent: true, ConnectionRefused: true, ReachesOther: true}), peerrelay.ServerUnreachable, true, true},
		{"exchange failed", handler(&peerrelay.Failure{Reason: peerrelay.ExchangeFailed}), peerrelay.ExchangeFailed, false, false},
		{"unknown error", handler(errors.New("unknown")), peerrelay.ExchangeFailed, false, false},
		{"the peer ends", func(context.Context, peerrelay.Call) (peerrelay.Answer, error) { panic(http.ErrAbortHandler) }, peerrelay.PeerUnreachable, false, false},
		{"status out of range", func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
			return peerrelay.Answer{Response: forward.Response{Status: 7, Body: http.NoBody}}, nil
		}, peerrelay.PeerUnreachable, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, peer := startRelay(t, tc.relay)
			_, err := client.Relay(t.Context(), peer, fullCall())
			var failure *peerrelay.Failure
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Reason, tc.reason)
			assert.Equal(t, errors.Is(err, forward.ErrNotSent), tc.notSent)
			assert.Equal(t, errors.Is(err, forward.ErrConnectionRefused), tc.refused)
		})
	}
}

// TestLongHeadPassesRelay guards against answers that are lost because the head of a response, which the client of servers
// accepts, is too long for a frame: characters that JSON escapes take six bytes.
func TestLongHeadPassesRelay(t *testing.T) {
	const headBytes = 64 << 10
	value := strings.Repeat("<", headBytes)
	client, peer := startRelay(t, func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
		return peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Header: http.Header{"Long": {value}}, Body: http.NoBody}}, nil
	})
	call := fullCall()
	call.Attempt.Header.Set("Long", value)
	answer, err := client.Relay(t.Context(), peer, call)
	assert.NilError(t, err)
	assert.Equal(t, answer.Response.Header.Get("Long"), value)
	assert.NilError(t, answer.Response.Body.Close())
}

// TestHostWithoutRelay checks that a call to a host that knows no relayed calls, or that listens no more, was not sent.
func TestHostWithoutRelay(t *testing.T) {
	server := httptest.NewServer(NewServer(LocalComponents{}, timer.NewSystem()).Handler())
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	refused := 0
	client := NewRelayClient(pool, func(context.Context, membership.Member) { refused++ })
	peer := membership.Member{Host: "peer", PeerAddress: server.Listener.Addr().String()}
	_, err := client.Relay(t.Context(), peer, fullCall())
	assert.ErrorIs(t, err, forward.ErrNotSent)
	server.Close()
	_, err = client.Relay(t.Context(), peer, fullCall())
	assert.ErrorIs(t, err, forward.ErrNotSent)
	assert.Equal(t, refused, 1)
}

// TestRelayedBodyThatBreaksOff checks that a response whose server, peer or connection fails never looks complete.
func TestRelayedBodyThatBreaksOff(t *testing.T) {
	for name, end := range map[string]func() error{
		"server": func() error { return errors.New("the server failed") },
		"peer":   func() error { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			client, peer := startRelay(t, func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
				return peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Body: io.NopCloser(io.MultiReader(strings.NewReader("begin"), errorReader(end)))}}, nil
			})
			answer, err := client.Relay(t.Context(), peer, fullCall())
			assert.NilError(t, err)
			body, err := io.ReadAll(answer.Response.Body)
			assert.Equal(t, string(body), "begin")
			assert.Assert(t, err != nil && !errors.Is(err, forward.ErrNotSent), "%v", err)
			assert.NilError(t, answer.Response.Body.Close())
		})
	}
}

// errorReader is a reader that fails.
type errorReader func() error

func (er errorReader) Read([]byte) (int, error) { return 0, er() }

// TestEventsPassRelayAtOnce checks that each part of a response is passed on while the next one is still missing.
func TestEventsPassRelayAtOnce(t *testing.T) {
	reader, writer := io.Pipe()
	client, peer := startRelay(t, func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
		return peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Body: reader}}, nil
	})
	answer, err := client.Relay(t.Context(), peer, fullCall())
	assert.NilError(t, err)
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"} {
		_, err := io.WriteString(writer, event)
		assert.NilError(t, err)
		received := make([]byte, len(event))
		_, err = io.ReadFull(answer.Response.Body, received)
		assert.NilError(t, err)
		assert.Equal(t, string(received), event)
	}
	assert.NilError(t, writer.Close())
	_, err = answer.Response.Body.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, answer.Response.Body.Close())
}

// TestClientThatLeavesEndsRelayedCall checks that the context of a call at the peer ends when the caller's context ends
// before the response, and when the caller closes the response before its end.
func TestClientThatLeavesEndsRelayedCall(t *testing.T) {
	for _, withResponse := range []bool{false, true} {
		ended := make(chan struct{})
		client, peer := startRelay(t, func(ctx context.Context, _ peerrelay.Call) (peerrelay.Answer, error) {
			reader, writer := io.Pipe()
			context.AfterFunc(ctx, func() {
				_ = writer.CloseWithError(ctx.Err())
				close(ended)
			})
			if withResponse {
				return peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Body: reader}}, nil
			}
			<-ctx.Done()
			return peerrelay.Answer{}, ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		answer, err := client.Relay(ctx, peer, fullCall())
		if withResponse {
			assert.NilError(t, err)
			assert.NilError(t, answer.Response.Body.Close())
		} else {
			assert.Assert(t, err != nil && !errors.Is(err, forward.ErrNotSent))
		}
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatalf("with response %t: the call goes on", withResponse)
		}
		cancel()
	}
}

// TestPeerThatIsFrozen checks that a call to a peer that accepts connections and does not answer ends with its context and
// counts as sent.
func TestPeerThatIsFrozen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	client := NewRelayClient(pool, func(context.Context, membership.Member) {})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = client.Relay(ctx, membership.Member{PeerAddress: listener.Addr().String()}, fullCall())
	assert.Assert(t, err != nil && !errors.Is(err, forward.ErrNotSent), "%v", err)
}

// TestMalformedCallsAreNotSent checks that calls with values out of range, or that would change the lines of a request's
// head, are refused as not sent.
func TestMalformedCallsAreNotSent(t *testing.T) {
	for name, change := range map[string]func(call *peerrelay.Call){
		"line break in the target": func(call *peerrelay.Call) { call.Attempt.Target = "/ HTTP/1.1\r\nX: y" },
		"line break in a field":    func(call *peerrelay.Call) { call.Attempt.Header = http.Header{"A": {"b\r\nC: d"}} },
		"line break in a name":     func(call *peerrelay.Call) { call.Attempt.Header = http.Header{"A\n": {"b"}} },
		"line break in a ticket":   func(call *peerrelay.Call) { call.Attempt.Helpers[0].Ticket = "\n" },
		"no request":               func(call *peerrelay.Call) { call.Attempt.ID = "" },
		"no address":               func(call *peerrelay.Call) { call.Address = "" },
		"too many tokens":          func(call *peerrelay.Call) { call.Tokens = 1 << 40 },
		"too much time":            func(call *peerrelay.Call) { call.Timeout = 1e6 * time.Hour },
		"too long a head": func(call *peerrelay.Call) {
			call.Attempt.Header = http.Header{"A": {strings.Repeat("x", maxRelayHeadBytes)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, peer := startRelay(t, func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
				t.Error("the call arrived")
				return peerrelay.Answer{}, nil
			})
			call := fullCall()
			change(&call)
			_, err := client.Relay(t.Context(), peer, call)
			assert.ErrorIs(t, err, forward.ErrNotSent)
		})
	}
}

// FuzzRelayedCall decodes arbitrary bytes as a call. None may crash the process, and a call that is decoded must be the
// same after it was encoded and decoded again.
func FuzzRelayedCall(f *testing.F) {
	encoded, err := encodeRelayCall(fullCall())
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add(encoded[:40])
	f.Add(binary.BigEndian.AppendUint32(nil, 1<<31))
	f.Add([]byte("\x00\x00\x00\x02{}"))
	f.Add([]byte("\x00\x00\x00\x23" + `{"Kind":"Reserve","Address":"\u0100"}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		call, err := decodeRelayCall(bytes.NewReader(input))
		if err != nil {
			return
		}
		encoded, err := encodeRelayCall(call)
		assert.NilError(t, err)
		again, err := decodeRelayCall(bytes.NewReader(encoded))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, call)
	})
}

// FuzzRelayedResponse reads arbitrary bytes as the response to a call. None may crash the process, and a body is complete
// only if the frame of its end was the last one.
func FuzzRelayedResponse(f *testing.F) {
	var valid bytes.Buffer
	assert.NilError(f, writeJSONFrame(&valid, headFrame, encodeRelayHead(peerrelay.Answer{Response: fullResponse()})))
	assert.NilError(f, writeFrame(&valid, dataFrame, []byte("data")))
	broken := bytes.Clone(valid.Bytes())
	assert.NilError(f, writeFrame(&valid, endFrame, nil))
	f.Add(valid.Bytes())
	f.Add(broken)
	f.Add(append(bytes.Clone(valid.Bytes()), 'x'))
	var failed bytes.Buffer
	assert.NilError(f, writeJSONFrame(&failed, failureFrame, relayFailure{Reason: peerrelay.Busy, NotSent: true}))
	f.Add(failed.Bytes())
	f.Add([]byte("D\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, input []byte) {
		body := newRelayedBody(io.NopCloser(bytes.NewReader(input)))
		_, err := body.readHead(peerrelay.Send)
		if err != nil {
			return
		}
		_, err = io.ReadAll(body)
		endFrameBytes := []byte{byte(endFrame), 0, 0, 0, 0}
		if err == nil && !bytes.HasSuffix(input, endFrameBytes) {
			t.Fatalf("%q is complete", input)
		}
		if errors.Is(err, forward.ErrNotSent) {
			t.Fatalf("%q is not sent although the response began", input)
		}
	})
}
