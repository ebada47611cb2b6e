package backend

import "bytes"

// maxHeadLines is the number of lines of a head: the status line, maxHeadFields fields and the empty line.
const maxHeadLines = 1 + maxHeadFields + 1

// headLineCounter counts the lines of a head as its bytes arrive, up to the empty line that ends it. The parsed form of a
// field takes many times its bytes, so that the fields have to be counted before they are parsed.
type headLineCounter struct {
	// inHead says that the empty line has not been read.
	inHead bool
	// lines is the number of complete lines.
	lines int
	// lineBytes is the number of bytes of the current line, firstByte the first of them.
	lineBytes int
	firstByte byte
}

// advance adds the next bytes of a connection, of which those after the head are ignored. It returns errTooManyFields
// if the head has too many lines. A continued line of a field counts as a line.
func (hc *headLineCounter) advance(chunk []byte) error {
	for hc.inHead && len(chunk) > 0 {
		line, rest, complete := bytes.Cut(chunk, []byte{'\n'})
		if hc.lineBytes == 0 && len(line) > 0 {
			hc.firstByte = line[0]
		}
		hc.lineBytes += len(line)
		if !complete {
			return nil
		}
		chunk = rest
		hc.lines++
		if hc.lines > maxHeadLines {
			return errTooManyFields
		}
		hc.inHead = hc.lineBytes > 1 || hc.lineBytes == 1 && hc.firstByte != '\r'
		hc.lineBytes = 0
	}
	return nil
}
