// Command standin runs a stand-in for the platform, a model engine or a server of a plain service, for tests and
// trials.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/hibiscuslever/hibiscuslever/command"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/standin/engine"
	"github.com/hibiscuslever/hibiscuslever/standin/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/service"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const readHeaderTimeout = 5 * time.Second

func main() {
	os.Exit(command.Execute(newCommand(), os.Stderr))
}

func newCommand() *cobra.Command {
	root := command.NewRoot("standin",
		"Run a stand-in for an outside system",
		"Run a stand-in for an outside system, for tests and for trying hibiscuslever out.\n"+
			"PUT /standin/fault switches faults on and off, for example {\"Freeze\":true}.")
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand())
	return root
}

// serve serves HTTP requests at an address until the context ends. An address that can't be opened is a usage error.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return command.NewUsageError(errors.Wrapf(err, "flag --address: value %q", address))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func platformCommand() *cobra.Command {
	config := platform.DefaultConfig()
	var address string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform: log, list of hosts and backend servers, and weight store",
		Args:  command.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), address, platform.New(config, timer.NewSystem()).Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:7000", "IP:port to listen at")
	flags.Float64Var(&config.AppendsPerSecond, "appends-per-second", config.AppendsPerSecond, "limit of appends to the log")
	flags.IntVar(&config.RetainRecords, "retain-records", config.RetainRecords, "records that a stream keeps; 0 keeps all")
	flags.DurationVar(&config.Retention, "retention", config.Retention, "how long a stream keeps records; 0 keeps them forever")
	flags.DurationVar(&config.ListLag, "list-lag", config.ListLag, "delay of changes of the list of hosts and backend servers")
	return cmd
}

// hostRegistration is how a stand-in appears in the platform's list of hosts and backend servers.
type hostRegistration struct {
	// address is the IP:port that the stand-in listens at and is listed with.
	address string
	// platformURL is the URL of the platform's stand-in; empty if the stand-in is not listed.
	platformURL string
	zone        string
	service     string
}

func (hr *hostRegistration) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&hr.address, "address", "127.0.0.1:0", "IP:port to listen at")
	flags.StringVar(&hr.platformURL, "platform", "", "URL of the platform's stand-in, to be listed there")
	flags.StringVar(&hr.zone, "zone", "zone-a", "availability zone")
	flags.StringVar(&hr.service, "service", "lever-llm", "service that the host belongs to")
}

// register completes host with the values of the flags and adds it to the platform's list of hosts and backend servers.
// It does nothing without a platform URL.
func (hr *hostRegistration) register(ctx context.Context, host protocol.Host) error {
	if hr.platformURL == "" {
		return nil
	}
	host.Service = id.Service(hr.service)
	host.Address = hr.address
	host.AvailabilityZone = id.AvailabilityZone(hr.zone)
	host.State = protocol.Live
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, hr.platformURL+"/standin/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "register with platform")
	}
	return response.Body.Close()
}

func engineCommand() *cobra.Command {
	config := engine.Config{Batch: batchmodel.DefaultConfig()}
	var registration hostRegistration
	var name, models string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  command.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Name = id.Engine(name)
			for model := range strings.SplitSeq(models, ",") {
				if model != "" {
					config.Models = append(config.Models, id.Model(model))
				}
			}
			config.PlatformURL = registration.platformURL
			config.Crash = func() { os.Exit(command.ExitFailure) }
			server := engine.New(config)
			host := protocol.Host{Kind: protocol.EngineHost, Name: name, ChecksFencing: config.ChecksFencing}
			if err := registration.register(cmd.Context(), host); err != nil {
				return err
			}
			go server.Run(cmd.Context())
			return serve(cmd.Context(), registration.address, server.Handler())
		},
	}
	registration.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&name, "name", "engine-1", "name of the engine")
	flags.StringVar(&models, "models", "lever-8b", "models that are loaded, separated by commas")
	flags.IntVar(&config.ModelSlots, "model-slots", 2, "number of models that fit")
	flags.Float64Var(&config.Speed, "speed", 1, "factor by which steps are faster than the model's")
	flags.Int64Var((*int64)(&config.Batch.MemoryTokens), "memory", int64(config.Batch.MemoryTokens), "KV memory in tokens")
	flags.DurationVar(&config.LoadLag, "load-lag", 500*time.Millisecond, "age of load reports")
	flags.BoolVar(&config.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing token")
	flags.StringVar(&config.CrashMarker, "crash-mark", "", "text that crashes the engine when a prompt contains it")
	flags.DurationVar(&config.CrashAfter, "crash-after", 200*time.Millisecond, "how long a marked prompt runs before the crash")
	return cmd
}

func serviceCommand() *cobra.Command {
	var registration hostRegistration
	var name string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a server of a plain service",
		Args:  command.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			server := service.New(id.BackendServer(name))
			if err := registration.register(cmd.Context(), protocol.Host{Kind: protocol.BackendServerHost, Name: name}); err != nil {
				return err
			}
			return serve(cmd.Context(), registration.address, server.Handler())
		},
	}
	registration.addFlags(cmd)
	cmd.Flags().StringVar(&name, "name", "server-1", "name of the server")
	return cmd
}
