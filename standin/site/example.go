package site

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
)

// ExampleDesiredState returns a desired state with a route to model engines and two to a plain service named books.
func ExampleDesiredState(host, key string) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 10_000, "TargetLatencyMs": 3000,
			"Priority": 1, "Service": service, "MaxAttempts": attempts, "Sticky": service == "models", "Resumable": service == "models",
			"TargetGapMs": 1000,
		}
	}
	return map[string]any{
		"Version": 1,
		"Routes": []any{
			route("chat", "/chat/", "streaming", "models", 2),
			route("read", "/read/", "idempotent", "books", 2),
			route("order", "/order/", "non_idempotent", "books", 1),
		},
		"Services": []any{
			map[string]any{"Name": "books", "HealthPath": "/healthz", "MaxConnections": 50},
			map[string]any{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 50, "Engine": map[string]any{
				"Slots": 8, "KvCapacityTokens": 315_000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003,
				"read_per_s": 177_000.0, "pairs_per_m": 0.184, "chunk": 2048,
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
		"Tenants": []any{map[string]any{"Name": "acme", "ApiKeys": []string{key}}},
	}
}

// PublishDesiredState puts a desired state into the store.
func (st *Store) PublishDesiredState(table map[string]any) error {
	body, err := json.Marshal(table)
	if err != nil {
		return errors.Wrap(err, "encode the desired state")
	}
	st.Put("keyed.op", "config", body)
	return nil
}

// ListServer puts a server into the list of servers as ready.
func (st *Store) ListServer(sv *Server) { st.Put("keyed.servers", sv.ID, sv.ListEntry("ready")) }

// SetRequestHeaders sets the header fields of a client's request. The sizes of a prompt and its answer are empty for plain services.
func SetRequestHeaders(header http.Header, attempt, key, tokens string) {
	header.Set("X-Attempt-Id", attempt)
	header.Set("Api-Key", key)
	header.Set("X-Deadline-Ms", "10000")
	if tokens != "" {
		header.Set("X-Token-Count", tokens)
		header.Set("X-Model", "m")
	}
}

// ServerOfResponse returns the server that made an answer, or a dash for an answer of the system's own.
func ServerOfResponse(header http.Header) string {
	if name, ok := strings.CutPrefix(header.Get("X-Response-Seal"), "seal-of-"); ok {
		return name
	}
	return "-"
}

// DirectoryURL returns where clients ask which hosts to use.
func DirectoryURL(address, host string) string {
	return "http://" + address + "/-/resolve?Name=" + url.QueryEscape(host) + "&Zone=zone-a"
}
