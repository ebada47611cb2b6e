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

const (
	foreman   id.Organisation = "osu-floors"
	scheduler id.Organisation = "tema-screeds"
	bidder    id.Organisation = "kumasi-build"
)

// Run starts a fleet, sends it a few requests, prints a table and fails if an answer is wrong.
func Run(ctx context.Context, out io.Writer) error {
	progress(out, "starting 3 entry hosts in 3 availability zones, 4 engines, 2 backend servers and the platform")
	fl, err := Start(ctx, slog.New(slog.DiscardHandler), []id.Organisation{foreman, scheduler, bidder})
	if err != nil {
		return err
	}
	defer fl.Stop()
	results := runAll(ctx, out, fl)
	printTable(out, results)
	for _, rs := range results {
		if rs.Problem != "" {
			return errors.Errorf("%s: %s", rs.Request.Name, rs.Problem)
		}
	}
	return nil
}

func progress(out io.Writer, text string) {
	_, _ = fmt.Fprintln(out, "...", text)
}

// runAll sends a long pack and a schedule first and short questions beside them, then one booking twice.
func runAll(ctx context.Context, out io.Writer, fl *Fleet) []Result {
	requests := []Request{
		{Name: "tender pack", Organisation: bidder, PromptTokens: 1_000_000},
		{Name: "long schedule", Organisation: scheduler, PromptTokens: 60_000},
		{Name: "short question", Organisation: foreman, PromptTokens: 1_000},
		{Name: "short question 2", Organisation: foreman, PromptTokens: 1_500},
	}
	addresses := fl.Addresses()
	results := make([]Result, len(requests))
	var group sync.WaitGroup
	for ix, rq := range requests {
		progress(out, fmt.Sprintf("sending %s (%d tokens) of %s", rq.Name, rq.PromptTokens, rq.Organisation))
		group.Go(func() {
			results[ix] = SendChat(ctx, addresses[ix%len(addresses)], rq)
			progress(out, rq.Name+" "+results[ix].Outcome)
		})
	}
	group.Wait()
	return append(results, bookTwice(ctx, out, fl)...)
}

// bookTwice sends the same booking to two hosts; the second answer must be the first one's, run once.
func bookTwice(ctx context.Context, out io.Writer, fl *Fleet) []Result {
	progress(out, "sending one booking twice, to two hosts")
	addresses := fl.Addresses()
	key := uuid.Must(uuid.NewV7()).String()
	first, firstText := SendBooking(ctx, addresses[0], key, Request{Name: "booking", Organisation: foreman})
	second, secondText := SendBooking(ctx, addresses[1], key, Request{Name: "booking again", Organisation: foreman})
	if second.Problem == "" && (secondText != firstText || second.Outcome != "replayed") {
		second.Problem = "the repeat did not get the recorded answer"
	}
	ran := 0
	for _, sv := range fl.BookingServers {
		ran += len(sv.Ledger())
	}
	if ran != 1 {
		second.Problem = fmt.Sprintf("the booking ran %d times", ran)
	}
	return []Result{first, second}
}

func printTable(out io.Writer, results []Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nREQUEST\tORGANISATION\tPROMPT TOKENS\tFIRST TOKEN\tTOTAL\tOUTCOME\tHOST\tENGINES")
	for _, rs := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
			rs.Request.Name, rs.Request.Organisation, rs.Request.PromptTokens,
			rs.TimeToFirstToken.Round(time.Millisecond), rs.TotalTime.Round(time.Millisecond),
			rs.Outcome, rs.Host, rs.Engines)
	}
	_ = table.Flush()
}

// ready is the line that tells programs where the demo serves.
type ready struct {
	BaseURL string
	Key     string
	Model   id.Model
}

// Serve starts a fleet, prints how to reach it and serves until the context ends.
func Serve(ctx context.Context, out io.Writer) error {
	fl, err := Start(ctx, slog.New(slog.DiscardHandler), []id.Organisation{foreman})
	if err != nil {
		return err
	}
	defer fl.Stop()
	line := ready{BaseURL: "http://" + fl.Addresses()[0] + "/v1", Key: APIKeyOf(foreman), Model: Model}
	encoded, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s\n", encoded)
	_, _ = fmt.Fprintf(out, "curl -N %s/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"When can the pump come?\"}]}'\n",
		line.BaseURL, line.Key, line.Model)
	<-ctx.Done()
	return nil
}
