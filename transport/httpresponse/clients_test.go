package httpresponse_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func noTracing(next http.RoundTripper) http.RoundTripper { return next }

// clients are the clients of a host and of the command line that use net/http. Each call reports whether it takes a response
// for an answer. Status is the one that the client expects of a sound response, Body its body.
var clients = []struct {
	name, status, body string
	accepts            func(ctx context.Context, address string) bool
}{
	{"load of an engine", "200 OK", "{}", func(ctx context.Context, address string) bool {
		client := engine.NewClient(timer.NewSystem(), noTracing)
		defer client.Close()
		_, err := client.FetchLoad(ctx, address)
		return err == nil
	}},
	{"stream of an engine", "200 OK", "data: {}\n\n", func(ctx context.Context, address string) bool {
		client := engine.NewClient(timer.NewSystem(), noTracing)
		defer client.Close()
		opened := client.Open(ctx, modelcall.StreamRequest{Address: address, Attempt: "a"})
		if opened.Stream == nil {
			return opened.FailureCause != retry.Interrupted
		}
		defer opened.Stream.Close()
		_, err := opened.Stream.Next()
		return err == nil
	}},
	{"refusal of an engine", "503 Service Unavailable", `{"Reason":"draining"}`, func(ctx context.Context, address string) bool {
		client := engine.NewClient(timer.NewSystem(), noTracing)
		defer client.Close()
		return client.Open(ctx, modelcall.StreamRequest{Address: address, Attempt: "a"}).FailureCause == retry.BackendRefused
	}},
	{"cancellation", "204 No Content", "", func(ctx context.Context, address string) bool {
		client := engine.NewClient(timer.NewSystem(), noTracing)
		defer client.Close()
		return client.CancelAttempt(ctx, address, "a") == nil
	}},
	{"order", "204 No Content", "", func(ctx context.Context, address string) bool {
		client := engine.NewClient(timer.NewSystem(), noTracing)
		defer client.Close()
		accepted, err := client.SendOrder(ctx, placement.Order{Address: address, Kind: placement.LoadModel}, 1)
		return accepted && err == nil
	}},
	{"service", "200 OK", "text", sendToService(servicecall.Request{Method: http.MethodGet, Path: "/"})},
	{"service, with a body", "200 OK", "text", sendToService(servicecall.Request{Method: http.MethodPost, Path: "/", Body: []byte("body")})},
	{"service, at most once", "200 OK", "text", sendToService(servicecall.Request{Method: http.MethodPost, Path: "/", AtMostOnce: true})},
	{"hosts of the platform", "200 OK", "{}", func(ctx context.Context, address string) bool {
		client := platform.NewClient("http://"+address, noTracing)
		defer client.Close()
		_, err := client.Hosts(ctx)
		return err == nil
	}},
	{"append to the platform's log", "200 OK", `{"Offset":7}`, func(ctx context.Context, address string) bool {
		client := platform.NewClient("http://"+address, noTracing)
		defer client.Close()
		_, result := client.Append(ctx, "stream", []byte("record"))
		return result == platform.Stored
	}},
	{"refused append", "503 Service Unavailable", "", func(ctx context.Context, address string) bool {
		client := platform.NewClient("http://"+address, noTracing)
		defer client.Close()
		_, result := client.Append(ctx, "stream", []byte("record"))
		return result == platform.NotStored
	}},
	{"operator", "200 OK", "{}", func(ctx context.Context, address string) bool {
		_, err := operator.NewClient("http://" + address).Status(ctx)
		return err == nil
	}},
}

// sendToService returns a call that sends a request to a plain service.
func sendToService(request servicecall.Request) func(context.Context, string) bool {
	return func(ctx context.Context, address string) bool {
		client := service.NewClient(timer.NewSystem(), noTracing)
		defer client.Close()
		sent := request
		sent.Header = http.Header{}
		_, result := client.Send(ctx, address, sent)
		return result != servicecall.MayHaveRun
	}
}

// TestClientsRejectBrokenHeads has servers answer each client with what it expects behind heads that are no HTTP, with a
// length and without. Sound heads, also unusual ones, must be accepted.
func TestClientsRejectBrokenHeads(t *testing.T) {
	type head struct{ status, field string }
	broken := map[string]head{
		"status 000":          {status: "000 None"},
		"status 099":          {status: "099 None"},
		"blank in a name":     {field: "A B: c"},
		"blank before colon":  {field: "A : c"},
		"control byte":        {field: "A\x01: c"},
		"tab before colon":    {field: "A\t: c"},
		"name not of a token": {field: "A(B): c"},
		"no name":             {field: ": c"},
		"null in a value":     {field: "A: b\x00"},
		"CR in a value":       {field: "A: b\rc: d"},
		"other protocol":      {status: "101 Switching Protocols"},
		"status 600":          {status: "600 Own"},
	}
	sound := map[string]head{
		"plain":                     {},
		"all characters of a token": {field: "!#$%&'*+-.^_`|~0aZ: c"},
		"bytes above ASCII":         {field: "A: \xe4"},
	}
	for _, client := range clients {
		check := func(heads map[string]head, want bool) {
			for name, head := range heads {
				for _, framing := range []string{"Content-Length: ", ""} {
					status, field := client.status, ""
					if head.status != "" {
						status = head.status
					}
					if head.field != "" {
						field = head.field + "\r\n"
					}
					if framing != "" {
						framing = lengthField(client.status, client.body)
					}
					response := "HTTP/1.1 " + status + "\r\n" + field + framing + "\r\n" + client.body
					cs := testutil.StartCutServer(t)
					cs.Prepare("", response, len(response), false)
					assert.Check(t, client.accepts(t.Context(), cs.Address()) == want, "%s: %s: %q", client.name, name, response)
				}
			}
		}
		check(broken, false)
		check(sound, true)
	}
}

// lengthField returns the header field with the length of a body, or nothing for a status whose responses have none.
func lengthField(status, body string) string {
	if strings.HasPrefix(status, "204") {
		return ""
	}
	return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
}
