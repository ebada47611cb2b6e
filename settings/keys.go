package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Key describes one key of the settings file.
type Key struct {
	Section string
	Name    string
	// Allowed says which values are allowed.
	Allowed string

	set func(st *Settings, value string) bool
}

const (
	allowedName     = "1 to 64 letters, digits, dots, hyphens or underscores"
	allowedAddress  = "an IP address with a port, such as 10.0.0.1:8000"
	allowedDuration = "a duration above 0, such as 30s"
	allowedCount    = "a number from 0 on"
	allowedPeriod   = "a duration from 0 on, such as 30s"
	maxNameLength   = 64
)

// Keys returns the description of every key in the order of the settings reference.
func Keys() []Key {
	return []Key{
		{"Host", "Name", allowedName, func(st *Settings, value string) bool { return setName(&st.Host.Name, value) }},
		{"Host", "AvailabilityZone", allowedName, func(st *Settings, value string) bool { return setName(&st.Host.AvailabilityZone, value) }},
		{"Host", "CallerAddress", allowedAddress, func(st *Settings, value string) bool { return setAddress(&st.Host.CallerAddress, value) }},
		{"Host", "PeerAddress", allowedAddress, func(st *Settings, value string) bool { return setAddress(&st.Host.PeerAddress, value) }},
		{"Host", "AnnouncedPeerAddress", allowedAddress, func(st *Settings, value string) bool {
			return setAddress(&st.Host.AnnouncedPeerAddress, value)
		}},
		{"Host", "OperatorAddress", allowedAddress, func(st *Settings, value string) bool { return setAddress(&st.Host.OperatorAddress, value) }},
		{"Host", "ReadyAddress", allowedAddress, func(st *Settings, value string) bool { return setAddress(&st.Host.ReadyAddress, value) }},
		{"Host", "DirectoryAddress", allowedAddress, func(st *Settings, value string) bool { return setAddress(&st.Host.DirectoryAddress, value) }},
		{"Platform", "Kind", "Log or Store", func(st *Settings, value string) bool {
			return setChoice(&st.Platform.Kind, value, KindLog, KindStore)
		}},
		{"Platform", "URL", "an http or https URL", func(st *Settings, value string) bool { return setURL(&st.Platform.URL, value) }},
		{"Peers", "Seeds", "IP addresses with ports, separated by commas", func(st *Settings, value string) bool { return setAddresses(&st.Peers.Seeds, value) }},
		{"Callers", "MaxBodyBytes", "a whole number from 1024 to 1073741824", func(st *Settings, value string) bool {
			return setInt(&st.Callers.MaxBodyBytes, value, 1024, 1<<30)
		}},
		{"Callers", "MaxHeaderBytes", "a whole number from 1024 to 1048576", func(st *Settings, value string) bool {
			return setInt(&st.Callers.MaxHeaderBytes, value, 1024, 1<<20)
		}},
		{"Callers", "ReadHeaderTimeout", allowedDuration, func(st *Settings, value string) bool { return setDuration(&st.Callers.ReadHeaderTimeout, value) }},
		{"Callers", "ReadTimeout", allowedDuration, func(st *Settings, value string) bool { return setDuration(&st.Callers.ReadTimeout, value) }},
		{"Callers", "IdleTimeout", allowedDuration, func(st *Settings, value string) bool { return setDuration(&st.Callers.IdleTimeout, value) }},
		{"Callers", "KeepAddresses", allowedDuration, func(st *Settings, value string) bool { return setDuration(&st.Callers.KeepAddresses, value) }},
		{"Callers", "MaxAddresses", "a whole number from 1 to 1000", func(st *Settings, value string) bool {
			return setInt(&st.Callers.MaxAddresses, value, 1, 1000)
		}},
		{"Engines", "PrefillTokensPerSecond", "a number above 0", func(st *Settings, value string) bool {
			return setFloat(&st.Engines.PrefillTokensPerSecond, value, 1, 1e9)
		}},
		{"Engines", "MaxStreams", "a whole number from 1 to 100000", func(st *Settings, value string) bool {
			return setInt(&st.Engines.MaxStreams, value, 1, 100_000)
		}},
		{"Engines", "ShortShare", "a number from 0 to 0.9", func(st *Settings, value string) bool {
			return setFloat(&st.Engines.ShortShare, value, 0, 0.9)
		}},
		{"Claims", "Retention", allowedDuration, func(st *Settings, value string) bool { return setDuration(&st.Claims.Retention, value) }},
		{"Claims", "Margin", allowedDuration, func(st *Settings, value string) bool { return setDuration(&st.Claims.Margin, value) }},
		{"Logs", "Format", "Text or JSON", func(st *Settings, value string) bool { return setChoice(&st.Logs.Format, value, "Text", "JSON") }},
		{"Logs", "Level", "Debug, Info, Warn or Error", func(st *Settings, value string) bool {
			return setChoice(&st.Logs.Level, value, "Debug", "Info", "Warn", "Error")
		}},
		{"Logs", "MaxBytesPerSecond", "a whole number from 4096 to 1073741824", func(st *Settings, value string) bool {
			return setInt(&st.Logs.MaxBytesPerSecond, value, 4<<10, 1<<30)
		}},
		{"Logs", "MaxPendingBytes", "a whole number from 4096 to 1073741824", func(st *Settings, value string) bool {
			return setInt(&st.Logs.MaxPendingBytes, value, 4<<10, 1<<30)
		}},
		{"Traces", "Export", "None, File or OTLP", func(st *Settings, value string) bool {
			return setChoice(&st.Traces.Export, value, "None", "File", "OTLP")
		}},
		{"Traces", "File", "the path of a file", func(st *Settings, value string) bool { return setText(&st.Traces.File, value) }},
		{"Traces", "Endpoint", "an http or https URL", func(st *Settings, value string) bool { return setURL(&st.Traces.Endpoint, value) }},
		{"Retries", "Share", allowedCount, func(st *Settings, value string) bool { return setCount(&st.Retries.Share, value, 1000) }},
		{"Retries", "Slack", allowedCount, func(st *Settings, value string) bool { return setCount(&st.Retries.Slack, value, 1_000_000) }},
		{"Limits", "MemoryMegabytes", allowedCount, func(st *Settings, value string) bool {
			return setCount(&st.Limits.MemoryMegabytes, value, 1_000_000)
		}},
		{"Limits", "ProcessorShare", allowedCount, func(st *Settings, value string) bool {
			return setCount(&st.Limits.ProcessorShare, value, 1000)
		}},
		{"Memory", "FreeWithin", allowedPeriod, func(st *Settings, value string) bool {
			return setPeriod(&st.Memory.FreeWithin, value, maxPeriod)
		}},
		{"Memory", "UnusedWithin", allowedPeriod, func(st *Settings, value string) bool {
			return setPeriod(&st.Memory.UnusedWithin, value, maxPeriod)
		}},
		{"Operators", "ShutdownTimeout", allowedPeriod, func(st *Settings, value string) bool {
			return setPeriod(&st.Operators.ShutdownTimeout, value, maxPeriod)
		}},
	}
}

// Sections returns the names of the sections in order.
func Sections() []string {
	var sections []string
	for _, ky := range Keys() {
		if !slices.Contains(sections, ky.Section) {
			sections = append(sections, ky.Section)
		}
	}
	return sections
}

func keysOf(section string) []Key {
	var keys []Key
	for _, ky := range Keys() {
		if ky.Section == section {
			keys = append(keys, ky)
		}
	}
	return keys
}

func allowedOf(section, name string) string {
	for _, ky := range keysOf(section) {
		if ky.Name == name {
			return ky.Allowed
		}
	}
	return ""
}

func setName[N ~string](target *N, value string) bool {
	for _, ch := range value {
		letter := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !letter && !strings.ContainsRune(".-_", ch) {
			return false
		}
	}
	*target = N(value)
	return value != "" && len(value) <= maxNameLength
}

func setAddress(target *string, value string) bool {
	address, err := netip.ParseAddrPort(value)
	*target = value
	return err == nil && address.IsValid()
}

func setAddresses(target *[]string, value string) bool {
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		var address string
		if !setAddress(&address, part) {
			return false
		}
		*target = append(*target, address)
	}
	return true
}

func setURL(target *string, value string) bool {
	parsed, err := url.Parse(value)
	*target = strings.TrimSuffix(value, "/")
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func setText(target *string, value string) bool {
	*target = value
	return value != ""
}

func setChoice(target *string, value string, choices ...string) bool {
	*target = value
	return slices.Contains(choices, value)
}

func setDuration(target *time.Duration, value string) bool {
	parsed, err := time.ParseDuration(value)
	*target = parsed
	return err == nil && parsed > 0
}

func setInt[N ~int | ~int64](target *N, value string, least, most int64) bool {
	parsed, err := strconv.ParseInt(value, 10, 64)
	*target = N(parsed)
	return err == nil && parsed >= least && parsed <= most
}

func setFloat(target *float64, value string, least, most float64) bool {
	parsed, err := strconv.ParseFloat(value, 64)
	*target = parsed
	return err == nil && parsed >= least && parsed <= most
}

// setCount takes a number that the platform writes: fractions and zero are allowed, what is above the most counts as
// the most.
func setCount(target *float64, value string, most float64) bool {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return false
	}
	*target = min(parsed, most)
	return parsed >= 0
}

// maxPeriod bounds durations that the platform writes; longer ones count as this.
const maxPeriod = 24 * time.Hour

// setPeriod takes a duration that the platform writes in seconds or milliseconds, in any notation of numbers, or one with
// units.
func setPeriod(target *time.Duration, value string, most time.Duration) bool {
	if parsed, err := time.ParseDuration(value); err == nil {
		*target = min(parsed, most)
		return parsed >= 0
	}
	unit := time.Millisecond
	number, found := strings.CutSuffix(value, "ms")
	if !found {
		unit = time.Second
		number, found = strings.CutSuffix(value, "s")
	}
	var count float64
	if !found || !setCount(&count, number, float64(most/unit)) {
		return false
	}
	*target = time.Duration(count * float64(unit))
	return true
}
