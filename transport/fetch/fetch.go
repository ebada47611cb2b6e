// Package fetch reads JSON from outside systems over HTTP.
package fetch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// JSON asks for a URL and decodes an answer of at most limit bytes. Any status but 200 is an error.
func JSON(ctx context.Context, client *http.Client, url string, limit int64, answer any) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	rs, err := client.Do(rq)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d from %s", rs.StatusCode, url)
	}
	if err := json.NewDecoder(io.LimitReader(rs.Body, limit)).Decode(answer); err != nil {
		return errors.Wrapf(err, "decode answer of %s", url)
	}
	return nil
}
