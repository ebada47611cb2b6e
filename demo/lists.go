package demo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	protocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

// OrganisationAPIKey returns the key with which an organisation sends requests in the demo.
func OrganisationAPIKey(organisation id.Organisation) string {
	return "demo-key-" + string(organisation)
}

// listText returns the text of a list: a plan without tight limits, or the organisations, which all have that plan.
func listText(list lists.Name, organisations []id.Organisation) string {
	if list == lists.Plans {
		return fmt.Sprintf("[Plan crew]\nModels = %s\nServices = %s\nRequestsPerSecond = 100\nTokensPerMinute = 10000000\n"+
			"Concurrency = 50\nLongestPrompt = 1000000\nDeadline = 25s\n", Model, BookingService)
	}
	var text strings.Builder
	for _, organisation := range organisations {
		sum := sha256.Sum256([]byte(OrganisationAPIKey(organisation)))
		fmt.Fprintf(&text, "[Organisation %s]\nPlan = crew\nKeySHA256 = %s\n", organisation, id.Hex(sum[:]))
	}
	return text.String()
}

// publishList publishes the first version of a list. It returns an error if the list is not accepted.
func publishList(ctx context.Context, client *operator.Client, list lists.Name, text string) error {
	response, err := client.Publish(ctx, list, protocol.PublishRequest{Base: id.NoOffset, Text: text, Operator: "demo"})
	if err != nil {
		return err
	}
	if !response.Accepted {
		return errors.Errorf("publish list %s: %s", list, response.Problem)
	}
	return nil
}
