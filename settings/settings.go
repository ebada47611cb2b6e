// Package settings reads and checks the settings of an entry host.
package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Settings are the settings of one entry host.
type Settings struct {
	Host      Host
	Platform  Platform
	Peers     Peers
	Callers   Callers
	Engines   Engines
	Claims    Claims
	Logs      Logs
	Traces    Traces
	Operators Operators
	Retries   Retries
	Limits    Limits
	Memory    Memory
}

// Host names the host and its addresses.
type Host struct {
	Name             id.Host
	AvailabilityZone id.AvailabilityZone
	// CallerAddress, PeerAddress and OperatorAddress are IP:port to listen at.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// ReadyAddress and DirectoryAddress are IP:port to listen at on the users' platform; empty elsewhere.
	ReadyAddress     string
	DirectoryAddress string
	// AnnouncedPeerAddress is the IP:port at which other hosts reach this one; empty where that is PeerAddress.
	AnnouncedPeerAddress string
}

// EffectivePeerAddress returns the IP:port at which other hosts reach the host.
func (ht Host) EffectivePeerAddress() string {
	if ht.AnnouncedPeerAddress != "" {
		return ht.AnnouncedPeerAddress
	}
	return ht.PeerAddress
}

// Platform says where the platform is.
type Platform struct {
	URL string
	// Kind is Log for the product's own log service, or Store for the users' platform.
	Kind string
}

// Kinds of platforms.
const (
	KindLog   = "Log"
	KindStore = "Store"
)

// Retries bounds what is sent to a second backend server, over all hosts together.
type Retries struct {
	// Share is the part of a service's requests that may be added as retries, beside Slack.
	Share float64
	Slack float64
}

// Memory bounds the use of engines' memory.
type Memory struct {
	// FreeWithin is the time within which memory is free again after its last use, UnusedWithin the time for which
	// it may be set aside without being used.
	FreeWithin   time.Duration
	UnusedWithin time.Duration
}

// Limits bounds what the process uses.
type Limits struct {
	// MemoryMegabytes is the memory at which the process is ended; 0 for no bound.
	MemoryMegabytes float64
	// ProcessorShare is the part of a core that the process may use; 0 if it is not known.
	ProcessorShare float64
}

// Peers says how to find other hosts.
type Peers struct {
	// Seeds are peer addresses of hosts to join by, beside the platform's host list.
	Seeds []string
}

// Callers bounds what callers may send.
type Callers struct {
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	IdleTimeout       time.Duration
	// KeepAddresses is how long callers keep the list of addresses.
	KeepAddresses time.Duration
	// MaxAddresses bounds the list of addresses.
	MaxAddresses int
}

// Engines describes the engines for predictions.
type Engines struct {
	PrefillTokensPerSecond float64
	MaxStreams             int
	// ShortShare is the part of memory and streams kept for short prompts.
	ShortShare float64
}

// Claims bounds idempotency keys.
type Claims struct {
	// Retention is how long the platform's log keeps claims; older keys are refused.
	Retention time.Duration
	// Margin is taken off the retention for clocks that differ.
	Margin time.Duration
}

// Logs sets the form of log lines.
type Logs struct {
	// Format is Text or JSON.
	Format string
	// Level is Debug, Info, Warn or Error.
	Level string
	// MaxBytesPerSecond bounds the lines of a second, MaxPendingBytes those that wait for a reader. What is beyond is
	// dropped and counted.
	MaxBytesPerSecond int
	MaxPendingBytes   int
}

// Traces says where spans go.
type Traces struct {
	// Export is None, File or OTLP.
	Export string
	// File is the path that spans are appended to.
	File string
	// Endpoint is the URL of an OTLP collector.
	Endpoint string
}

// Operators bounds what the operators' interface does.
type Operators struct {
	// ShutdownTimeout bounds the wait for requests in flight.
	ShutdownTimeout time.Duration
}

// Default returns the settings that apply where a file is silent.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxBodyBytes:      16 << 20,
			MaxHeaderBytes:    64 << 10,
			ReadHeaderTimeout: 5 * time.Second,
			ReadTimeout:       time.Minute,
			IdleTimeout:       2 * time.Minute,
			KeepAddresses:     30 * time.Second,
			MaxAddresses:      8,
		},
		Engines:   Engines{PrefillTokensPerSecond: 80_000, MaxStreams: 128, ShortShare: 0.1},
		Claims:    Claims{Retention: 24 * time.Hour, Margin: 10 * time.Minute},
		Logs:      Logs{Format: "Text", Level: "Info", MaxBytesPerSecond: 512 << 10, MaxPendingBytes: 256 << 10},
		Traces:    Traces{Export: "None"},
		Operators: Operators{ShutdownTimeout: 10 * time.Minute},
		Platform:  Platform{Kind: KindLog},
		Retries:   Retries{Share: 0.1, Slack: 50},
		Memory:    Memory{FreeWithin: 4 * time.Second, UnusedWithin: 9 * time.Second},
	}
}

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file. The path is named in errors.
func Parse(path string, text []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:  "=",
		IgnoreInlineComment: true,
		AllowShadows:        false,
	}, text)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "settings %s", path)
	}
	st := Default()
	for _, section := range file.Sections() {
		if err := parseSection(path, &st, section); err != nil {
			return Settings{}, err
		}
	}
	return st, checkRequired(path, st)
}

func parseSection(path string, st *Settings, section *ini.Section) error {
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return nil
	}
	known := keysOf(section.Name())
	if len(known) == 0 {
		return fmt.Errorf("settings %s: section %q does not exist; want one of %s", path, section.Name(), strings.Join(Sections(), ", "))
	}
	for _, key := range section.Keys() {
		at := slices.IndexFunc(known, func(ky Key) bool { return ky.Name == key.Name() })
		if at < 0 {
			return fmt.Errorf("settings %s: section %s: key %q does not exist; want one of %s", path, section.Name(), key.Name(), names(known))
		}
		if key.Value() == "" {
			// The platform writes no value for a field that it lacks.
			continue
		}
		if !known[at].set(st, key.Value()) {
			return fmt.Errorf("settings %s: section %s: key %s: value %q is not allowed; want %s", path, section.Name(), key.Name(), key.Value(), known[at].Allowed)
		}
	}
	return nil
}

func names(keys []Key) string {
	parts := make([]string, len(keys))
	for ix, ky := range keys {
		parts[ix] = ky.Name
	}
	return strings.Join(parts, ", ")
}

func checkRequired(path string, st Settings) error {
	required := []struct {
		section, key, value string
	}{
		{"Host", "Name", string(st.Host.Name)},
		{"Host", "AvailabilityZone", string(st.Host.AvailabilityZone)},
		{"Host", "CallerAddress", st.Host.CallerAddress},
		{"Host", "PeerAddress", st.Host.PeerAddress},
		{"Host", "OperatorAddress", st.Host.OperatorAddress},
		{"Platform", "URL", st.Platform.URL},
	}
	for _, rq := range required {
		if rq.value == "" {
			return fmt.Errorf("settings %s: section %s: key %s is missing; want %s", path, rq.section, rq.key, allowedOf(rq.section, rq.key))
		}
	}
	if st.Platform.Kind == KindStore && (st.Host.ReadyAddress == "" || st.Host.DirectoryAddress == "") {
		return fmt.Errorf("settings %s: section Host: keys ReadyAddress and DirectoryAddress are missing; a platform of kind %s needs them", path, KindStore)
	}
	if st.Traces.Export == "File" && st.Traces.File == "" {
		return fmt.Errorf("settings %s: section Traces: key File is missing; want %s", path, allowedOf("Traces", "File"))
	}
	if st.Traces.Export == "OTLP" && st.Traces.Endpoint == "" {
		return fmt.Errorf("settings %s: section Traces: key Endpoint is missing; want %s", path, allowedOf("Traces", "Endpoint"))
	}
	if st.Claims.Margin >= st.Claims.Retention {
		return fmt.Errorf("settings %s: section Claims: key Margin: value %q is not allowed; want a duration below Retention", path, st.Claims.Margin)
	}
	return nil
}
