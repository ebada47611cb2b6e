package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// The organisations that send requests in the demo.
const (
	foremanOrganisation   id.Organisation = "osu-floors"
	schedulerOrganisation id.Organisation = "tema-screeds"
	bidderOrganisation    id.Organisation = "kumasi-build"
)

// Run starts a fleet, sends it a few requests, prints a table of the results and returns an error if one is wrong.
func Run(ctx context.Context, out io.Writer) error {
	printProgress(out, "starting 3 entry hosts in 3 availability zones, 4 engines, 2 backend servers and the platform")
	fleet, err := Start(ctx, slog.New(slog.DiscardHandler), []id.Organisation{foremanOrganisation, schedulerOrganisation, bidderOrganisation})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	results := sendAll(ctx, out, fleet)
	printTable(out, results)
	for _, result := range results {
		if result.Problem != "" {
			return errors.Errorf("%s: %s", result.Request.Name, result.Problem)
		}
	}
	return nil
}

// printProgress prints a line that says what the demo is doing.
func printProgress(out io.Writer, text string) {
	_, _ = fmt.Fprintln(out, "...", text)
}

// sendAll sends prompts of very different lengths at the same time, spread over the hosts, and then one booking twice.
// It starts the long tender pack and the long schedule first, and the short questions beside them without waiting.
func sendAll(ctx context.Context, out io.Writer, fleet *Fleet) []Result {
	requests := []Request{
		{Name: "tender pack", Organisation: bidderOrganisation, PromptTokens: 1_000_000},
		{Name: "long schedule", Organisation: schedulerOrganisation, PromptTokens: 60_000},
		{Name: "short question", Organisation: foremanOrganisation, PromptTokens: 1_000},
		{Name: "short question 2", Organisation: foremanOrganisation, PromptTokens: 1_500},
	}
	addresses := fleet.Addresses()
	results := make([]Result, len(requests))
	var group sync.WaitGroup
	for index, request := range requests {
		printProgress(out, fmt.Sprintf("sending %s (%d tokens) of %s", request.Name, request.PromptTokens, request.Organisation))
		group.Go(func() {
			results[index] = SendChat(ctx, addresses[index%len(addresses)], request)
			printProgress(out, request.Name+" "+results[index].Outcome)
		})
	}
	group.Wait()
	return append(results, bookTwice(ctx, out, fleet)...)
}

// bookTwice sends the same booking to one host and then to another. The second host must replay the first response,
// and the booking must run only once.
func bookTwice(ctx context.Context, out io.Writer, fleet *Fleet) []Result {
	printProgress(out, "sending one booking twice, to two hosts")
	addresses := fleet.Addresses()
	idempotencyKey := uuid.Must(uuid.NewV7()).String()
	first, firstResponse := SendBooking(ctx, addresses[0], idempotencyKey, Request{Name: "booking", Organisation: foremanOrganisation})
	second, secondResponse := SendBooking(ctx, addresses[1], idempotencyKey, Request{Name: "booking again", Organisation: foremanOrganisation})
	if second.Problem == "" && (secondResponse != firstResponse || second.Outcome != "replayed") {
		second.Problem = "the repeated request did not get the recorded response"
	}
	bookingRuns := 0
	for _, server := range fleet.BookingServers {
		bookingRuns += len(server.Ledger())
	}
	if bookingRuns != 1 {
		second.Problem = fmt.Sprintf("the booking ran %d times", bookingRuns)
	}
	return []Result{first, second}
}

// printTable prints a line for each result.
func printTable(out io.Writer, results []Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nREQUEST\tORGANISATION\tPROMPT TOKENS\tFIRST TOKEN\tTOTAL\tOUTCOME\tHOST\tENGINES")
	for _, result := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
			result.Request.Name, result.Request.Organisation, result.Request.PromptTokens,
			result.TimeToFirstToken.Round(time.Millisecond), result.TotalTime.Round(time.Millisecond),
			result.Outcome, result.Host, result.Engines)
	}
	_ = table.Flush()
}

// connectionInfo says how programs reach the demo. It is printed as JSON under these field names.
type connectionInfo struct {
	BaseURL string
	Key     string
	Model   id.Model
}

// Serve starts a fleet, prints its connectionInfo and an example curl command, and serves until the context ends.
func Serve(ctx context.Context, out io.Writer) error {
	fleet, err := Start(ctx, slog.New(slog.DiscardHandler), []id.Organisation{foremanOrganisation})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	info := connectionInfo{BaseURL: "http://" + fleet.Addresses()[0] + "/v1", Key: OrganisationAPIKey(foremanOrganisation), Model: Model}
	encoded, err := json.Marshal(info)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s\n", encoded)
	_, _ = fmt.Fprintf(out, "curl -N %s/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"When can the pump come?\"}]}'\n",
		info.BaseURL, info.Key, info.Model)
	<-ctx.Done()
	return nil
}
