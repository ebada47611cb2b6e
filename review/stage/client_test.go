//go:build review

package stage

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// client is a requester that keeps channels.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// answer is what a requester got.
type answer struct {
	status int
	seal   string
	body   []byte
	// err is why there is no whole answer.
	err error
}

// send sends a request with its own attempt id.
func send(front, method, path, attempt string, deadline time.Duration, body []byte, fields ...string) answer {
	request, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	check(err)
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Api-Key", apiKey)
	for ix := 0; ix+1 < len(fields); ix += 2 {
		request.Header.Set(fields[ix], fields[ix+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), body: content, err: err}
}

// getStatus returns the status of a GET request; 0 if there is none.
func getStatus(url string) int {
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
