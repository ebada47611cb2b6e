package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

const (
	callTimeout    = 10 * time.Second
	maxAnswerBytes = 64 << 20
)

func conflictText(list lists.Name, current, base id.Offset) string {
	return fmt.Sprintf("list %s is at revision %d, the edit was made from revision %d", list, current, base)
}

// Client asks one host.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the host whose operators' interface is at a URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: callTimeout}}
}

// Show returns a list.
func (cl *Client) Show(ctx context.Context, list lists.Name) (operator.List, error) {
	var answer operator.List
	err := cl.call(ctx, http.MethodGet, operator.ListsPath+string(list), nil, &answer)
	return answer, err
}

// Publish replaces a list's content.
func (cl *Client) Publish(ctx context.Context, list lists.Name, rq operator.PublishRequest) (operator.PublishResponse, error) {
	var answer operator.PublishResponse
	err := cl.call(ctx, http.MethodPost, operator.ListsPath+string(list), rq, &answer)
	return answer, err
}

// History returns what became of the latest edits.
func (cl *Client) History(ctx context.Context) (operator.History, error) {
	var answer operator.History
	err := cl.call(ctx, http.MethodGet, operator.HistoryPath, nil, &answer)
	return answer, err
}

// Status returns what the host knows of the fleet.
func (cl *Client) Status(ctx context.Context) (operator.Status, error) {
	var answer operator.Status
	err := cl.call(ctx, http.MethodGet, operator.StatusPath, nil, &answer)
	return answer, err
}

func (cl *Client) call(ctx context.Context, method, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	rq, err := http.NewRequestWithContext(ctx, method, cl.base+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "ask host")
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := cl.http.Do(rq)
	if err != nil {
		return errors.Wrap(err, "ask host")
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read host's answer")
	}
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("host %s answered status %d: %s", cl.base, rs.StatusCode, bytes.TrimSpace(text))
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return errors.Wrap(err, "decode host's answer")
	}
	return nil
}
