package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/protocol/engine"
)

// maxEventLineBytes limits a line of a stream, so that hundreds of streams without line ends fit into the memory of a
// small host.
const maxEventLineBytes = 64 << 10

// frameStream reads the frames of an attempt from a stream of server-sent events.
type frameStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newFrameStream(body io.ReadCloser) *frameStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLineBytes)
	return &frameStream{body: body, scanner: scanner}
}

// Next returns the next frame. If the stream ends, it returns io.ErrUnexpectedEOF rather than io.EOF, because callers
// stop reading after the last frame that they need.
func (st *frameStream) Next() (modelcall.Frame, error) {
	for st.scanner.Scan() {
		data, ok := bytes.CutPrefix(st.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var frame engine.Frame
		if err := json.Unmarshal(data, &frame); err != nil {
			return modelcall.Frame{}, errors.Wrap(err, "decode frame")
		}
		return convertFrame(frame), nil
	}
	if err := st.scanner.Err(); err != nil {
		return modelcall.Frame{}, errors.Wrap(err, "read frame")
	}
	return modelcall.Frame{}, io.ErrUnexpectedEOF
}

// convertFrame converts a frame from its wire form. An unknown kind counts as a token.
func convertFrame(frame engine.Frame) modelcall.Frame {
	kind := modelcall.Token
	switch frame.Kind {
	case engine.FollowerReady:
		kind = modelcall.FollowerReady
	case engine.AnswerEnd:
		kind = modelcall.AnswerEnd
	case engine.Token:
	}
	return modelcall.Frame{
		Attempt:      frame.Attempt,
		Kind:         kind,
		TokenIndex:   frame.Index,
		Text:         frame.Text,
		TokenCount:   frame.Count,
		FinishReason: frame.FinishReason,
		PromptTokens: frame.PromptTokens,
	}
}

// Close closes the stream and releases its connection.
func (st *frameStream) Close() {
	_ = st.body.Close()
}
