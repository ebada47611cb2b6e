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
	platformHosts   = 3
	platformEngines = 4
	platformName    = "shop.example"
	platformKey     = "key-of-acme"
	// readyWithin bounds the start of the hosts.
	readyWithin = 20 * time.Second
)

// RunPlatform runs entry hosts on a stand-in of the users' platform, sends one request of each kind and prints a table.
func RunPlatform(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := standin.NewStore()
	defer store.Close()
	for number := range platformEngines {
		sv := standin.NewServer(fmt.Sprint("engine-", number+1), "models", "zone-a")
		defer sv.Close()
		store.ListServer(sv)
	}
	book := standin.NewServer("book-1", "books", "zone-a")
	defer book.Close()
	store.ListServer(book)
	if err := store.PublishDesiredState(standin.ExampleDesiredState(platformName, platformKey)); err != nil {
		return err
	}
	var hosts []*site.Host
	ended := make(chan error, platformHosts)
	for number := range platformHosts {
		ht, err := newPlatformHost(store.Address(), number, hosts)
		if err != nil {
			return err
		}
		hosts = append(hosts, ht)
		go func() { ended <- ht.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range hosts {
			<-ended
		}
	}()
	if err := waitReady(ctx, hosts); err != nil {
		return err
	}
	return showRequests(ctx, out, hosts)
}

func newPlatformHost(store string, number int, others []*site.Host) (*site.Host, error) {
	const anyPort = "127.0.0.1:0"
	st := settings.Default()
	st.Host = settings.Host{
		Name: id.Host(fmt.Sprint("host-", number+1)), AvailabilityZone: "zone-a", CallerAddress: anyPort, PeerAddress: anyPort,
		OperatorAddress: anyPort, ReadyAddress: anyPort, DirectoryAddress: anyPort,
	}
	st.Platform = settings.Platform{URL: "http://" + store, Kind: settings.KindStore}
	st.Callers.KeepAddresses = time.Second
	st.Operators.ShutdownTimeout = time.Second
	for _, other := range others {
		st.Peers.Seeds = append(st.Peers.Seeds, other.Settings().Host.PeerAddress)
	}
	return site.New(site.WithSettings(st))
}

func waitReady(ctx context.Context, hosts []*site.Host) error {
	const lookPeriod = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, ht := range hosts {
		for {
			if ready, why := ht.Ready(); ready {
				break
			} else if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready: %s", ht.Settings().Host.Name, why)
			}
			time.Sleep(lookPeriod)
		}
	}
	return nil
}

func showRequests(ctx context.Context, out io.Writer, hosts []*site.Host) error {
	address := hosts[0].Settings().Host
	rs, err := http.Get(standin.DirectoryURL(address.DirectoryAddress, platformName))
	if err != nil {
		return errors.Wrap(err, "ask the directory")
	}
	defer func() { _ = rs.Body.Close() }()
	var known struct{ Addresses []string }
	if err := json.NewDecoder(rs.Body).Decode(&known); err != nil {
		return errors.Wrap(err, "read the directory's answer")
	}
	_, _ = fmt.Fprintf(out, "the directory names %d hosts\n", len(known.Addresses))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Request\tStatus\tServer\tEvents\tTime")
	for _, rq := range []struct{ name, method, path, tokens string }{
		{"short question", http.MethodPost, "/chat/a", "4960,255"},
		{"long schedule, read by several engines", http.MethodPost, "/chat/b", "45000,255"},
		{"tender larger than an engine", http.MethodPost, "/chat/c", "400000,255"},
		{"booking that may not be repeated", http.MethodPost, "/order/d", ""},
		{"look-up", http.MethodGet, "/read/e", ""},
		{"unknown path", http.MethodGet, "/nowhere/f", ""},
	} {
		row, err := sendOne(ctx, address.CallerAddress, rq.method, rq.path, rq.tokens)
		if err != nil {
			return errors.Wrap(err, rq.name)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\n", rq.name, row)
	}
	return table.Flush()
}

func sendOne(ctx context.Context, address, method, path, tokens string) (string, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("the prompt"))
	if err != nil {
		return "", err
	}
	rq.Host = platformName
	standin.SetRequestHeaders(rq.Header, "demo-"+path, platformKey, tokens)
	started := time.Now()
	rs, err := http.DefaultTransport.RoundTrip(rq)
	if err != nil {
		return "", err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d\t%s\t%d\t%s", rs.StatusCode, standin.ServerOfResponse(rs.Header), strings.Count(string(body), "data:"),
		time.Since(started).Round(time.Millisecond)), nil
}
