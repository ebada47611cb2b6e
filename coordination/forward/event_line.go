package forward

import (
	"bytes"
	"net/http"
	"strings"
)

// hasEventStream reports whether the body of a response with the given header is a stream of events.
func hasEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// lineKind is what a line of an event stream is.
type lineKind int

const (
	// commentOrBlank is a comment or an empty line.
	commentOrBlank lineKind = iota
	// knownField is one of the fields of server-sent events.
	knownField
	// unknownField is a line with another name, such as the field with which an engine reports a change of its weights.
	unknownField
	// invalidLine is a line that is no field, such as the status line of an HTTP response or a line of JSON.
	invalidLine
)

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// classifyLine returns what a line of an event stream is. A line with another name than those of the known fields has to
// be a token, as in names of HTTP header fields, and a colon. If continues is set, the line is the first piece of a longer
// one, which may lack the colon.
func classifyLine(line []byte, continues bool) lineKind {
	name, _, hasColon := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	switch string(name) {
	case "":
		return commentOrBlank
	case "data", "event", "id", "retry":
		return knownField
	}
	if !hasColon && !continues || !isToken(name) {
		return invalidLine
	}
	return unknownField
}

// isToken reports whether text consists of characters that names of HTTP header fields may have.
func isToken(text []byte) bool {
	for _, char := range text {
		isAlphanumeric := '0' <= char && char <= '9' || 'a' <= char|0x20 && char|0x20 <= 'z'
		if !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(char)) {
			return false
		}
	}
	return true
}

// eventLineFilter passes on the bytes of an event stream up to the first line that can't be part of an event.
type eventLineFilter struct {
	// started says that the first line of the stream has been checked, insideLine that the current line has been.
	started    bool
	insideLine bool
	// undecided holds the start of the current line, which is not known to be valid yet.
	undecided []byte
}

// next adds the next bytes of the stream. It returns the bytes to pass on, which are valid until the next call, and
// errNotAnEvent if a line that can't be part of an event follows them.
func (lf *eventLineFilter) next(chunk []byte) ([]byte, error) {
	if len(lf.undecided) > 0 {
		chunk = append(lf.undecided, chunk...)
		lf.undecided = nil
	}
	position := 0
	for position < len(chunk) {
		rest := chunk[position:]
		lineEnd := bytes.IndexByte(rest, '\n')
		if !lf.insideLine {
			line := rest
			if !lf.started {
				if lineEnd < 0 && len(line) < len(byteOrderMark) && bytes.HasPrefix(byteOrderMark, line) {
					return lf.hold(chunk, position), nil
				}
				line = bytes.TrimPrefix(line, byteOrderMark)
			}
			line, _, _ = bytes.Cut(line, []byte("\n"))
			name, _, isDecided := bytes.Cut(line, []byte(":"))
			isDecided = isDecided || lineEnd >= 0
			switch {
			case classifyLine(line, !isDecided) == invalidLine || len(name) > maxFieldNameBytes:
				return chunk[:position], errNotAnEvent
			case !isDecided:
				return lf.hold(chunk, position), nil
			}
			lf.started = true
		}
		if lf.insideLine = lineEnd < 0; lf.insideLine {
			position = len(chunk)
			break
		}
		position += lineEnd + 1
	}
	return chunk[:position], nil
}

// maxFieldNameBytes limits the name of a field in a line of an event stream.
const maxFieldNameBytes = 256

// hold keeps the bytes from a position on as undecided and returns those before it.
func (lf *eventLineFilter) hold(chunk []byte, position int) []byte {
	lf.undecided = bytes.Clone(chunk[position:])
	return chunk[:position]
}
