package forward

import (
	"bytes"
	"strings"
)

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
