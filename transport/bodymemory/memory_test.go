package bodymemory

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// TestMemory reads bodies with and without an announced length from a memory of 1 MB. What does not fit must be
// rejected before it is read if its length is announced, short bodies never, and released memory must be usable again.
func TestMemory(t *testing.T) {
	const limit = 1 << 20
	for _, announced := range []bool{true, false} {
		memory := New(limit, 0)
		read := func(length int) (body io.Reader, release func(), content int, err error) {
			request := &http.Request{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", length))), ContentLength: -1}
			if announced {
				request.ContentLength = int64(length)
			}
			release = memory.Limit(request)
			bytesRead, err := io.ReadAll(request.Body)
			return request.Body, release, len(bytesRead), err
		}
		_, releaseFirst, content, err := read(600_000)
		assert.NilError(t, err)
		assert.Equal(t, content, 600_000)
		body, releaseSecond, content, err := read(600_000)
		assert.Assert(t, errors.Is(err, ErrExhausted), "%v", err)
		assert.Assert(t, !announced || content == 0, "%d bytes", content)
		discarded, err := io.Copy(io.Discard, body)
		assert.NilError(t, err)
		assert.Equal(t, content+int(discarded), 600_000)
		releaseSecond()
		for range 100 {
			_, _, content, err = read(UncountedBytes)
			assert.NilError(t, err)
			assert.Equal(t, content, UncountedBytes)
		}
		releaseFirst()
		_, release, content, err := read(600_000)
		assert.NilError(t, err)
		assert.Equal(t, content, 600_000)
		release()
		assert.Equal(t, memory.Reserved(), int64(0))
	}
}

// TestReadBody reads bodies of several lengths, whose lengths are announced or not, in pieces.
func TestReadBody(t *testing.T) {
	for _, length := range []int{0, 1, 511, 512, 513, 70_000, 9 << 20} {
		for _, announced := range []int64{-1, int64(length)} {
			sent := strings.Repeat("x", length)
			for _, body := range []io.Reader{strings.NewReader(sent), iotest.DataErrReader(strings.NewReader(sent)), iotest.HalfReader(strings.NewReader(sent))} {
				content, err := Read(body, announced)
				assert.NilError(t, err)
				assert.Assert(t, string(content) == sent, "%d bytes of %d", len(content), length)
			}
			_, err := Read(io.MultiReader(strings.NewReader(sent), iotest.ErrReader(io.ErrUnexpectedEOF)), announced)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}

// TestManyShortBodiesExceedMemory reads short bodies, with and without an announced length, until their memory is used up.
// Small ones must be read nevertheless, long ones have memory of their own, and released memory must be usable again.
func TestManyShortBodiesExceedMemory(t *testing.T) {
	const limit, shortLimit, length, tries = 1 << 20, 200_000, 40_000, 100
	for _, announced := range []bool{true, false} {
		memory := New(limit, shortLimit)
		read := func(length int) (release func(), err error) {
			request := &http.Request{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", length))), ContentLength: -1}
			if announced {
				request.ContentLength = int64(length)
			}
			release = memory.Limit(request)
			_, err = io.ReadAll(request.Body)
			return release, err
		}
		var releases []func()
		accepted := 0
		for range tries {
			release, err := read(length)
			releases = append(releases, release)
			if err == nil {
				accepted++
				continue
			}
			assert.ErrorIs(t, err, ErrExhausted)
		}
		maxAccepted := shortLimit / length
		if !announced {
			maxAccepted += limit / stepBytes
		}
		assert.Assert(t, accepted >= shortLimit/length && accepted <= maxAccepted, "%d", accepted)
		release, err := read(smallBytes)
		assert.NilError(t, err)
		release()
		if announced {
			release, err = read(600_000)
			assert.NilError(t, err)
			release()
		}
		for _, release := range releases {
			release()
		}
		_, err = read(length)
		assert.NilError(t, err)
	}
}
