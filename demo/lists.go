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

// APIKeyOf returns the demo's key of an organisation.
func APIKeyOf(org id.Organisation) string {
	return "demo-key-" + string(org)
}

func listText(list lists.Name, organisations []id.Organisation) string {
	if list == lists.Plans {
		return fmt.Sprintf("[Plan crew]\nModels = %s\nServices = %s\nRequestsPerSecond = 100\nTokensPerMinute = 10000000\n"+
			"Concurrency = 50\nLongestPrompt = 1000000\nDeadline = 25s\n", Model, BookingService)
	}
	var sb strings.Builder
	for _, org := range organisations {
		sum := sha256.Sum256([]byte(APIKeyOf(org)))
		fmt.Fprintf(&sb, "[Organisation %s]\nPlan = crew\nKeySHA256 = %s\n", org, id.Hex(sum[:]))
	}
	return sb.String()
}

func publishList(ctx context.Context, client *operator.Client, list lists.Name, text string) error {
	answer, err := client.Publish(ctx, list, protocol.PublishRequest{Base: id.NoOffset, Text: text, Operator: "demo"})
	if err != nil {
		return err
	}
	if !answer.Accepted {
		return errors.Errorf("publish list %s: %s", list, answer.Problem)
	}
	return nil
}
