package site

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
)

// ExampleDesiredState returns a desired state with one tenant, a route to model engines, and two routes to a plain
// service named books: one for requests that may be repeated and one for those that must not be.
func ExampleDesiredState(host, apiKey string) map[string]any {
	newRoute := func(name, prefix, kind, service string, maxAttempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 10_000, "TargetLatencyMs": 3000,
			"Priority": 1, "Service": service, "MaxAttempts": maxAttempts, "Sticky": service == "models", "Resumable": service == "models",
			"TargetGapMs": 1000,
		}
	}
	return map[string]any{
		"Version": 1,
		"Routes": []any{
			newRoute("chat", "/chat/", "streaming", "models", 2),
			newRoute("read", "/read/", "idempotent", "books", 2),
			newRoute("order", "/order/", "non_idempotent", "books", 1),
		},
		"Services": []any{
			map[string]any{"Name": "books", "HealthPath": "/healthz", "MaxConnections": 50},
			map[string]any{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 50, "Engine": map[string]any{
				"Slots": 8, "KvCapacityTokens": 315_000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003,
				"read_per_s": 177_000.0, "pairs_per_m": 0.184, "chunk": 2048,
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
		"Tenants": []any{map[string]any{"Name": "acme", "ApiKeys": []string{apiKey}}},
	}
}

// PublishDesiredState publishes a desired state in the store.
func (st *Store) PublishDesiredState(desiredState map[string]any) error {
	body, err := json.Marshal(desiredState)
	if err != nil {
		return errors.Wrap(err, "encode the desired state")
	}
	st.Put("keyed.op", "config", body)
	return nil
}

// ListServer adds a server to the server list as ready, or updates its entry.
func (st *Store) ListServer(sv *Server) { st.Put("keyed.servers", sv.ID, sv.ListEntry("ready")) }

// SetRequestHeaders sets the header fields of a client's request. The token counts are those of the prompt and of the
// answer, separated by a comma; they are empty for plain services.
func SetRequestHeaders(header http.Header, attempt, apiKey, tokenCounts string) {
	header.Set("X-Attempt-Id", attempt)
	header.Set("Api-Key", apiKey)
	header.Set("X-Deadline-Ms", "10000")
	if tokenCounts != "" {
		header.Set("X-Token-Count", tokenCounts)
		header.Set("X-Model", "m")
	}
}

// RespondingServer returns the server that sent a response, or "-" if the entry host responded itself.
func RespondingServer(header http.Header) string {
	if name, ok := strings.CutPrefix(header.Get("X-Response-Seal"), "seal-of-"); ok {
		return name
	}
	return "-"
}

// DirectoryURL returns the URL at which clients look up the entry hosts for a host name. The address is the directory's
// IP:port.
func DirectoryURL(address, host string) string {
	return "http://" + address + "/-/resolve?Name=" + url.QueryEscape(host) + "&Zone=zone-a"
}
