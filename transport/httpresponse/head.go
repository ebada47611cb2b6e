// Package httpresponse makes HTTP clients reject what is no response. net/http accepts heads outside the grammar of RFC 9110
// and RFC 9112, and a connection that was reset may look like one that was closed.
package httpresponse

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// Status codes of HTTP (RFC 9110, section 15).
const (
	lowestStatus  = 100
	highestStatus = 599
)

// CheckHead returns an error if the status or the header of a response is none of HTTP. It rejects 101 Switching Protocols,
// because no host asks for another protocol. The values of fields need no check: net/http rejects control bytes in them.
func CheckHead(status int, header http.Header) error {
	if status < lowestStatus || status > highestStatus {
		return fmt.Errorf("the answer has the status %03d, which is none of HTTP", status)
	}
	if status == http.StatusSwitchingProtocols {
		return errors.New("the answer changes the protocol, which was not asked for")
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("the answer has a field whose name is not a token: %.*q", maxQuotedCharacters, name)
		}
	}
	return nil
}

// maxQuotedCharacters limits what an error quotes of a response, because errors get into logs and messages to other hosts.
const maxQuotedCharacters = 64
