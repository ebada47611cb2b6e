package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/transport/platform"
)

// TestEndlessAppendResponse has the platform's log answer an append with a long body. The call must end without waiting
// for its deadline.
func TestEndlessAppendResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = writer.Write([]byte(`{"Offset":7,"Text":"` + strings.Repeat("x", 8<<20)))
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	}))
	defer server.Close()
	client := platform.NewClient(server.URL, func(next http.RoundTripper) http.RoundTripper { return next })
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, result := client.Append(ctx, "stream", []byte("record"))
	assert.Equal(t, result, platform.MaybeStored)
	assert.NilError(t, ctx.Err())
}
