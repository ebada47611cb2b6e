// Package settings reads and checks the settings file of an entry host.
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

// Settings are the settings of one entry host. Each field is a section of the settings file, and the fields of its type
// are the keys.
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
	// CallerAddress, PeerAddress and OperatorAddress are the IP:port at which the host listens for callers, for other
	// hosts, and for operators.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// ReadyAddress and DirectoryAddress are the IP:port at which a host on the users' platform answers readiness checks
	// and lookups of caller addresses. They are empty elsewhere.
	ReadyAddress     string
	DirectoryAddress string
	// AnnouncedPeerAddress is the IP:port at which other hosts reach this one; empty if that is PeerAddress.
	AnnouncedPeerAddress string
}

// EffectivePeerAddress returns the IP:port at which other hosts reach this one.
func (ht Host) EffectivePeerAddress() string {
	if ht.AnnouncedPeerAddress != "" {
		return ht.AnnouncedPeerAddress
	}
	return ht.PeerAddress
}

// Platform says which platform the host uses.
type Platform struct {
	URL string
	// Kind is Log for the product's own log service, or Store for the users' platform.
	Kind string
}

// Values of Platform.Kind.
const (
	KindLog   = "Log"
	KindStore = "Store"
)

// Retries bounds the requests that all hosts together send to a second backend server.
type Retries struct {
	// Share is the number of retries allowed per request to a service.
	Share float64
	// Slack is the number of retries allowed beyond Share.
	Slack float64
}

// Memory bounds how long engine memory is reserved.
type Memory struct {
	// FreeWithin is the time after its last use within which reserved memory must be free again.
	FreeWithin time.Duration
	// UnusedWithin is the longest time for which memory may be reserved without being used.
	UnusedWithin time.Duration
}

// Limits are the limits that the platform sets on the process.
type Limits struct {
	// MemoryMegabytes is the memory use at which the platform ends the process; 0 for no limit.
	MemoryMegabytes float64
	// MaxConnections is the number of clients' connections that may be open at a time; 0 for as many as fit in
	// MemoryMegabytes.
	MaxConnections int
	// StallTime is how long a client whose request has begun to arrive may make no progress while other clients need its
	// memory or its connection.
	StallTime time.Duration
	// ProcessorShare is the number of processor cores that the process may use, usually a fraction; 0 if it is unknown.
	ProcessorShare float64
}

// Peers says how a host finds other hosts.
type Peers struct {
	// Seeds are peer addresses of hosts that the host contacts to join, in addition to those of the platform's host
	// list.
	Seeds []string
}

// Callers bounds what callers may send.
type Callers struct {
	MaxBodyBytes      int64
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	IdleTimeout       time.Duration
	// KeepAddresses is how long callers may use the list of host addresses before they must request it again.
	KeepAddresses time.Duration
	// MaxAddresses bounds the length of the list of host addresses.
	MaxAddresses int
}

// Engines describes the engines for the dispatcher's predictions, and reserves a part of them.
type Engines struct {
	// PrefillTokensPerSecond is the rate at which an engine processes prompts.
	PrefillTokensPerSecond float64
	// MaxStreams is the largest number of streams that an engine runs at a time.
	MaxStreams int
	// ShortShare is the fraction of each engine's memory and streams that is reserved for short prompts.
	ShortShare float64
	// ColdOverage and ColdSlack bound the requests to a cold server in any one second, counted over all hosts: the number of
	// requests a second that it takes, times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
}

// Claims bounds the age of idempotency keys.
type Claims struct {
	// Retention is how long the platform's log retains claims. Keys older than Retention minus Margin are refused.
	Retention time.Duration
	// Margin allows for clocks that differ between hosts and callers.
	Margin time.Duration
}

// Logs sets the format and the volume of log lines. Lines beyond the limits are dropped and counted.
type Logs struct {
	// Format is Text or JSON.
	Format string
	// Level is the lowest level that is logged: Debug, Info, Warn or Error.
	Level string
	// MaxBytesPerSecond bounds the log lines written in a second.
	MaxBytesPerSecond int
	// MaxPendingBytes bounds the log lines that wait for a slow reader.
	MaxPendingBytes int
}

// Traces says where spans are exported.
type Traces struct {
	// Export is None, File or OTLP.
	Export string
	// File is the path of the file to which spans are appended if Export is File.
	File string
	// Endpoint is the URL of the collector to which spans are sent if Export is OTLP.
	Endpoint string
}

// Operators holds the limits of operators' actions on the host.
type Operators struct {
	// ShutdownTimeout bounds how long a host that shuts down waits for requests in flight.
	ShutdownTimeout time.Duration
}

// Default returns the settings that apply to keys that a file leaves out. The required keys have no defaults.
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
		Engines:   Engines{PrefillTokensPerSecond: 80_000, MaxStreams: 128, ShortShare: 0.1, ColdOverage: 1.5, ColdSlack: 5},
		Claims:    Claims{Retention: 24 * time.Hour, Margin: 10 * time.Minute},
		Logs:      Logs{Format: "Text", Level: "Info", MaxBytesPerSecond: 512 << 10, MaxPendingBytes: 256 << 10},
		Traces:    Traces{Export: "None"},
		Operators: Operators{ShutdownTimeout: 10 * time.Minute},
		Platform:  Platform{Kind: KindLog},
		Retries:   Retries{Share: 0.1, Slack: 50},
		Limits:    Limits{StallTime: time.Second},
		Memory:    Memory{FreeWithin: 4 * time.Second, UnusedWithin: 9 * time.Second},
	}
}

// Read reads and checks the settings file at path. Its errors name the file, section and key, and what is allowed.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse parses and checks the text of a settings file. It uses path in errors only.
func Parse(path string, text []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:  "=",
		IgnoreInlineComment: true,
		AllowShadows:        false,
	}, text)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "settings %s", path)
	}
	settings := Default()
	for _, section := range file.Sections() {
		if err := parseSection(path, &settings, section); err != nil {
			return Settings{}, err
		}
	}
	return settings, validate(path, settings)
}

// parseSection stores the keys of a section in settings. It rejects unknown sections and keys, so that a misspelled key
// does not silently leave the default in force.
func parseSection(path string, settings *Settings, section *ini.Section) error {
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return nil
	}
	sectionKeys := keysInSection(section.Name())
	if len(sectionKeys) == 0 {
		return fmt.Errorf("settings %s: section %q does not exist; want one of %s", path, section.Name(), strings.Join(Sections(), ", "))
	}
	for _, key := range section.Keys() {
		index := slices.IndexFunc(sectionKeys, func(candidate Key) bool { return candidate.Name == key.Name() })
		if index < 0 {
			return fmt.Errorf("settings %s: section %s: key %q does not exist; want one of %s", path, section.Name(), key.Name(), joinKeyNames(sectionKeys))
		}
		if key.Value() == "" {
			// The platform fills in an empty value for a field that it does not have; the default then applies.
			continue
		}
		if !sectionKeys[index].parse(settings, key.Value()) {
			return fmt.Errorf("settings %s: section %s: key %s: value %q is not allowed; want %s", path, section.Name(), key.Name(), key.Value(), sectionKeys[index].Allowed)
		}
	}
	return nil
}

func joinKeyNames(keys []Key) string {
	keyNames := make([]string, len(keys))
	for index, key := range keys {
		keyNames[index] = key.Name
	}
	return strings.Join(keyNames, ", ")
}

// validate checks that the required keys have values, and that keys that depend on each other agree.
func validate(path string, settings Settings) error {
	requiredKeys := []struct {
		section, key, value string
	}{
		{"Host", "Name", string(settings.Host.Name)},
		{"Host", "AvailabilityZone", string(settings.Host.AvailabilityZone)},
		{"Host", "CallerAddress", settings.Host.CallerAddress},
		{"Host", "PeerAddress", settings.Host.PeerAddress},
		{"Host", "OperatorAddress", settings.Host.OperatorAddress},
		{"Platform", "URL", settings.Platform.URL},
	}
	for _, requiredKey := range requiredKeys {
		if requiredKey.value == "" {
			return fmt.Errorf("settings %s: section %s: key %s is missing; want %s", path, requiredKey.section, requiredKey.key, allowedValues(requiredKey.section, requiredKey.key))
		}
	}
	if settings.Platform.Kind == KindStore && (settings.Host.ReadyAddress == "" || settings.Host.DirectoryAddress == "") {
		return fmt.Errorf("settings %s: section Host: keys ReadyAddress and DirectoryAddress are missing; a platform of kind %s needs them", path, KindStore)
	}
	if settings.Traces.Export == "File" && settings.Traces.File == "" {
		return fmt.Errorf("settings %s: section Traces: key File is missing; want %s", path, allowedValues("Traces", "File"))
	}
	if settings.Traces.Export == "OTLP" && settings.Traces.Endpoint == "" {
		return fmt.Errorf("settings %s: section Traces: key Endpoint is missing; want %s", path, allowedValues("Traces", "Endpoint"))
	}
	if settings.Claims.Margin >= settings.Claims.Retention {
		return fmt.Errorf("settings %s: section Claims: key Margin: value %q is not allowed; want a duration below Retention", path, settings.Claims.Margin)
	}
	return nil
}
