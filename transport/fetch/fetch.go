// Package fetch reads JSON documents over HTTP.
package fetch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// MaxHeadBytes limits the head of a response that an HTTP client of a host accepts.
const MaxHeadBytes = 40 << 10

// JSON sends a GET request to a URL and decodes the JSON body of the response into value. It reads at most maxBytes
// bytes of the body. A status other than 200 is an error, and so is a body that breaks off, even after the document.
func JSON(ctx context.Context, client *http.Client, url string, maxBytes int64, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d from %s", response.StatusCode, url)
	}
	body := io.LimitReader(response.Body, maxBytes)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		return errors.Wrapf(err, "decode response from %s", url)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return errors.Wrapf(err, "read the end of the response from %s", url)
	}
	return nil
}
