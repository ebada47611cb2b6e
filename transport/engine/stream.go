package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
)

const maxFrameBytes = 1 << 20

// stream reads frames from server-sent events.
type stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newStream(body io.ReadCloser) *stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxFrameBytes)
	return &stream{body: body, scanner: scanner}
}

// Next returns the next frame.
func (st *stream) Next() (serve.Frame, error) {
	for st.scanner.Scan() {
		data, ok := bytes.CutPrefix(st.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var frame engine.Frame
		if err := json.Unmarshal(data, &frame); err != nil {
			return serve.Frame{}, errors.Wrap(err, "decode frame")
		}
		return convert(frame), nil
	}
	if err := st.scanner.Err(); err != nil {
		return serve.Frame{}, errors.Wrap(err, "read frame")
	}
	return serve.Frame{}, io.ErrUnexpectedEOF
}

func convert(frame engine.Frame) serve.Frame {
	kind := serve.Token
	switch frame.Kind {
	case engine.FollowerReady:
		kind = serve.FollowerReady
	case engine.AnswerEnd:
		kind = serve.AnswerEnd
	case engine.Token:
	}
	return serve.Frame{
		Attempt:      frame.Attempt,
		Kind:         kind,
		TokenIndex:   frame.Index,
		Text:         frame.Text,
		TokenCount:   frame.Count,
		FinishReason: frame.FinishReason,
		PromptTokens: frame.PromptTokens,
	}
}

// Close releases the connection.
func (st *stream) Close() {
	_ = st.body.Close()
}
