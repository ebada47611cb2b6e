// Package httpresponse makes HTTP clients reject what is no response. net/http accepts heads outside the grammar of RFC 9110
// and RFC 9112.
package httpresponse

import "fmt"

// Status codes of HTTP (RFC 9110, section 15).
const (
	lowestStatus  = 100
	highestStatus = 599
)

// CheckHead returns an error if the status of a response is none of HTTP.
func CheckHead(status int) error {
	if status < lowestStatus || status > highestStatus {
		return fmt.Errorf("the answer has the status %03d, which is none of HTTP", status)
	}
	return nil
}
