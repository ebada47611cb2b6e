package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/site"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	platformHostCount   = 3
	platformEngineCount = 4
	platformDomain      = "shop.example"
	platformAPIKey      = "key-of-acme"
	// platformReadyTimeout bounds the time until all hosts are ready.
	platformReadyTimeout = 20 * time.Second
)

// RunPlatform runs entry hosts with stand-ins for the store and the servers of the users' platform, sends one request
// of each kind to the first host and prints a table of the responses.
func RunPlatform(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := standin.NewStore()
	defer store.Close()
	for index := range platformEngineCount {
		server := standin.NewServer(fmt.Sprint("engine-", index+1), "models", "zone-a")
		defer server.Close()
		store.ListServer(server)
	}
	bookServer := standin.NewServer("book-1", "books", "zone-a")
	defer bookServer.Close()
	store.ListServer(bookServer)
	if err := store.PublishDesiredState(standin.ExampleDesiredState(platformDomain, platformAPIKey)); err != nil {
		return err
	}
	var hosts []*site.Host
	runErrors := make(chan error, platformHostCount)
	for index := range platformHostCount {
		host, err := newPlatformHost(store.Address(), index, hosts)
		if err != nil {
			return err
		}
		hosts = append(hosts, host)
		go func() { runErrors <- host.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range hosts {
			<-runErrors
		}
	}()
	if err := waitPlatformHostsReady(ctx, hosts); err != nil {
		return err
	}
	return sendPlatformRequests(ctx, out, hosts)
}

// newPlatformHost returns an entry host that joins the others through their peer addresses.
func newPlatformHost(storeAddress string, index int, others []*site.Host) (*site.Host, error) {
	const anyPort = "127.0.0.1:0"
	hostSettings := settings.Default()
	hostSettings.Host = settings.Host{
		Name: id.Host(fmt.Sprint("host-", index+1)), AvailabilityZone: "zone-a", CallerAddress: anyPort, PeerAddress: anyPort,
		OperatorAddress: anyPort, ReadyAddress: anyPort, DirectoryAddress: anyPort,
	}
	hostSettings.Platform = settings.Platform{URL: "http://" + storeAddress, Kind: settings.KindStore}
	hostSettings.Callers.KeepAddresses = time.Second
	hostSettings.Operators.ShutdownTimeout = time.Second
	for _, other := range others {
		hostSettings.Peers.Seeds = append(hostSettings.Peers.Seeds, other.Settings().Host.PeerAddress)
	}
	return site.New(site.WithSettings(hostSettings))
}

// waitPlatformHostsReady waits until all hosts are ready. If that takes too long, the error contains a host's reason.
func waitPlatformHostsReady(ctx context.Context, hosts []*site.Host) error {
	const pollInterval = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, platformReadyTimeout)
	defer cancel()
	for _, host := range hosts {
		for {
			if ready, reason := host.Ready(); ready {
				break
			} else if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready: %s", host.Settings().Host.Name, reason)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// sendPlatformRequests asks the directory for the hosts, sends one request of each kind and prints the table.
func sendPlatformRequests(ctx context.Context, out io.Writer, hosts []*site.Host) error {
	hostSettings := hosts[0].Settings().Host
	response, err := http.Get(standin.DirectoryURL(hostSettings.DirectoryAddress, platformDomain))
	if err != nil {
		return errors.Wrap(err, "query the directory")
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct{ Addresses []string }
	if err := json.NewDecoder(response.Body).Decode(&directory); err != nil {
		return errors.Wrap(err, "decode the directory's response")
	}
	_, _ = fmt.Fprintf(out, "the directory names %d hosts\n", len(directory.Addresses))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Request\tStatus\tServer\tEvents\tTime")
	for _, request := range []struct{ name, method, path, tokenCounts string }{
		{"short question", http.MethodPost, "/chat/a", "4960,255"},
		{"long schedule, read by several engines", http.MethodPost, "/chat/b", "45000,255"},
		{"tender larger than an engine", http.MethodPost, "/chat/c", "400000,255"},
		{"booking that may not be repeated", http.MethodPost, "/order/d", ""},
		{"look-up", http.MethodGet, "/read/e", ""},
		{"unknown path", http.MethodGet, "/nowhere/f", ""},
	} {
		row, err := sendPlatformRequest(ctx, hostSettings.CallerAddress, request.method, request.path, request.tokenCounts)
		if err != nil {
			return errors.Wrap(err, request.name)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\n", request.name, row)
	}
	return table.Flush()
}

// sendPlatformRequest sends a request and returns its columns of the table: status, server, number of events and
// duration.
func sendPlatformRequest(ctx context.Context, address, method, path, tokenCounts string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("the prompt"))
	if err != nil {
		return "", err
	}
	request.Host = platformDomain
	standin.SetRequestHeaders(request.Header, "demo-"+path, platformAPIKey, tokenCounts)
	startedAt := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d\t%s\t%d\t%s", response.StatusCode, standin.RespondingServer(response.Header), strings.Count(string(body), "data:"),
		time.Since(startedAt).Round(time.Millisecond)), nil
}
