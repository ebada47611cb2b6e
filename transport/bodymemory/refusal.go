package bodymemory

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// refusalRetryAfter is when a client may repeat a request whose body found no memory.
const refusalRetryAfter = 500 * time.Millisecond

// Refusal returns the refusal of a request whose body could not be read because of a Memory, and false for other errors.
func Refusal(err error) (outcome.Outcome, bool) {
	switch {
	case errors.Is(err, ErrExhausted):
		return outcome.Refuse(outcome.Overloaded, err.Error()).WithRetryAfter(refusalRetryAfter), true
	case errors.Is(err, ErrStalled):
		return outcome.Refuse(outcome.BodyStalled, err.Error()).WithRetryAfter(refusalRetryAfter), true
	default:
		return outcome.Outcome{}, false
	}
}
