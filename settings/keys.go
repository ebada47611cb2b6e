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
	// Allowed describes the allowed values. Error messages quote it.
	Allowed string

	// parse stores a value in settings and reports whether it is allowed. It may change settings even if it is not.
	parse func(settings *Settings, value string) bool
}

const (
	allowedName                = "1 to 64 letters, digits, dots, hyphens or underscores"
	allowedAddress             = "an IP address with a port, such as 10.0.0.1:8000"
	allowedPositiveDuration    = "a duration above 0, such as 30s"
	allowedNonNegativeNumber   = "a number from 0 on"
	allowedNonNegativeDuration = "a duration from 0 on, such as 30s"
	maxNameLength              = 64
)

// Keys returns the description of every key in the order of the settings reference.
func Keys() []Key {
	return []Key{
		{"Host", "Name", allowedName, func(settings *Settings, value string) bool { return setName(&settings.Host.Name, value) }},
		{"Host", "AvailabilityZone", allowedName, func(settings *Settings, value string) bool { return setName(&settings.Host.AvailabilityZone, value) }},
		{"Host", "CallerAddress", allowedAddress, func(settings *Settings, value string) bool { return setAddress(&settings.Host.CallerAddress, value) }},
		{"Host", "PeerAddress", allowedAddress, func(settings *Settings, value string) bool { return setAddress(&settings.Host.PeerAddress, value) }},
		{"Host", "AnnouncedPeerAddress", allowedAddress, func(settings *Settings, value string) bool {
			return setAddress(&settings.Host.AnnouncedPeerAddress, value)
		}},
		{"Host", "OperatorAddress", allowedAddress, func(settings *Settings, value string) bool { return setAddress(&settings.Host.OperatorAddress, value) }},
		{"Host", "ReadyAddress", allowedAddress, func(settings *Settings, value string) bool { return setAddress(&settings.Host.ReadyAddress, value) }},
		{"Host", "DirectoryAddress", allowedAddress, func(settings *Settings, value string) bool { return setAddress(&settings.Host.DirectoryAddress, value) }},
		{"Platform", "Kind", "Log or Store", func(settings *Settings, value string) bool {
			return setChoice(&settings.Platform.Kind, value, KindLog, KindStore)
		}},
		{"Platform", "URL", "an http or https URL", func(settings *Settings, value string) bool { return setURL(&settings.Platform.URL, value) }},
		{"Peers", "Seeds", "IP addresses with ports, separated by commas", func(settings *Settings, value string) bool { return setAddresses(&settings.Peers.Seeds, value) }},
		{"Callers", "MaxBodyBytes", "a whole number from 1024 to 1073741824", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Callers.MaxBodyBytes, value, 1024, 1<<30)
		}},
		{"Callers", "MaxHeaderBytes", "a whole number from 1024 to 1048576", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Callers.MaxHeaderBytes, value, 1024, 1<<20)
		}},
		{"Callers", "ReadHeaderTimeout", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Callers.ReadHeaderTimeout, value)
		}},
		{"Callers", "ReadTimeout", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Callers.ReadTimeout, value)
		}},
		{"Callers", "IdleTimeout", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Callers.IdleTimeout, value)
		}},
		{"Callers", "KeepAddresses", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Callers.KeepAddresses, value)
		}},
		{"Callers", "MaxAddresses", "a whole number from 1 to 1000", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Callers.MaxAddresses, value, 1, 1000)
		}},
		{"Engines", "PrefillTokensPerSecond", "a number above 0", func(settings *Settings, value string) bool {
			return setFloatInRange(&settings.Engines.PrefillTokensPerSecond, value, 1, 1e9)
		}},
		{"Engines", "MaxStreams", "a whole number from 1 to 100000", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Engines.MaxStreams, value, 1, 100_000)
		}},
		{"Engines", "ShortShare", "a number from 0 to 0.9", func(settings *Settings, value string) bool {
			return setFloatInRange(&settings.Engines.ShortShare, value, 0, 0.9)
		}},
		{"Engines", "ColdOverage", allowedNonNegativeNumber, func(settings *Settings, value string) bool {
			return setCappedNumber(&settings.Engines.ColdOverage, value, 1000)
		}},
		{"Engines", "ColdSlack", allowedNonNegativeNumber, func(settings *Settings, value string) bool {
			return setCappedNumber(&settings.Engines.ColdSlack, value, 1_000_000)
		}},
		{"Claims", "Retention", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Claims.Retention, value)
		}},
		{"Claims", "Margin", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Claims.Margin, value)
		}},
		{"Logs", "Format", "Text or JSON", func(settings *Settings, value string) bool {
			return setChoice(&settings.Logs.Format, value, "Text", "JSON")
		}},
		{"Logs", "Level", "Debug, Info, Warn or Error", func(settings *Settings, value string) bool {
			return setChoice(&settings.Logs.Level, value, "Debug", "Info", "Warn", "Error")
		}},
		{"Logs", "MaxBytesPerSecond", "a whole number from 4096 to 1073741824", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Logs.MaxBytesPerSecond, value, 4<<10, 1<<30)
		}},
		{"Logs", "MaxPendingBytes", "a whole number from 4096 to 1073741824", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Logs.MaxPendingBytes, value, 4<<10, 1<<30)
		}},
		{"Traces", "Export", "None, File or OTLP", func(settings *Settings, value string) bool {
			return setChoice(&settings.Traces.Export, value, "None", "File", "OTLP")
		}},
		{"Traces", "File", "the path of a file", func(settings *Settings, value string) bool { return setNonEmpty(&settings.Traces.File, value) }},
		{"Traces", "Endpoint", "an http or https URL", func(settings *Settings, value string) bool { return setURL(&settings.Traces.Endpoint, value) }},
		{"Retries", "Share", allowedNonNegativeNumber, func(settings *Settings, value string) bool {
			return setCappedNumber(&settings.Retries.Share, value, 1000)
		}},
		{"Retries", "Slack", allowedNonNegativeNumber, func(settings *Settings, value string) bool {
			return setCappedNumber(&settings.Retries.Slack, value, 1_000_000)
		}},
		{"Limits", "MemoryMegabytes", allowedNonNegativeNumber, func(settings *Settings, value string) bool {
			return setCappedNumber(&settings.Limits.MemoryMegabytes, value, 1_000_000)
		}},
		{"Limits", "MaxConnections", "a whole number from 0 to 1000000", func(settings *Settings, value string) bool {
			return setIntInRange(&settings.Limits.MaxConnections, value, 0, 1_000_000)
		}},
		{"Limits", "StallTime", allowedPositiveDuration, func(settings *Settings, value string) bool {
			return setPositiveDuration(&settings.Limits.StallTime, value)
		}},
		{"Limits", "ProcessorShare", allowedNonNegativeNumber, func(settings *Settings, value string) bool {
			return setCappedNumber(&settings.Limits.ProcessorShare, value, 1000)
		}},
		{"Memory", "FreeWithin", allowedNonNegativeDuration, func(settings *Settings, value string) bool {
			return setCappedDuration(&settings.Memory.FreeWithin, value, maxDuration)
		}},
		{"Memory", "UnusedWithin", allowedNonNegativeDuration, func(settings *Settings, value string) bool {
			return setCappedDuration(&settings.Memory.UnusedWithin, value, maxDuration)
		}},
		{"Operators", "ShutdownTimeout", allowedNonNegativeDuration, func(settings *Settings, value string) bool {
			return setCappedDuration(&settings.Operators.ShutdownTimeout, value, maxDuration)
		}},
	}
}

// Sections returns the names of the sections in the order of the settings reference.
func Sections() []string {
	var sections []string
	for _, key := range Keys() {
		if !slices.Contains(sections, key.Section) {
			sections = append(sections, key.Section)
		}
	}
	return sections
}

func keysInSection(section string) []Key {
	var keys []Key
	for _, key := range Keys() {
		if key.Section == section {
			keys = append(keys, key)
		}
	}
	return keys
}

// allowedValues returns the description of a key's allowed values, empty if there is no such key.
func allowedValues(section, name string) string {
	for _, key := range keysInSection(section) {
		if key.Name == name {
			return key.Allowed
		}
	}
	return ""
}

func setName[N ~string](target *N, value string) bool {
	for _, char := range value {
		alphanumeric := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
		if !alphanumeric && !strings.ContainsRune(".-_", char) {
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

// setAddresses adds the addresses of a comma-separated list to target. Empty items are skipped.
func setAddresses(target *[]string, value string) bool {
	for item := range strings.SplitSeq(value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		var address string
		if !setAddress(&address, item) {
			return false
		}
		*target = append(*target, address)
	}
	return true
}

// setURL stores a URL without a trailing slash, so that paths can be appended to it.
func setURL(target *string, value string) bool {
	parsed, err := url.Parse(value)
	*target = strings.TrimSuffix(value, "/")
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func setNonEmpty(target *string, value string) bool {
	*target = value
	return value != ""
}

func setChoice(target *string, value string, choices ...string) bool {
	*target = value
	return slices.Contains(choices, value)
}

func setPositiveDuration(target *time.Duration, value string) bool {
	parsed, err := time.ParseDuration(value)
	*target = parsed
	return err == nil && parsed > 0
}

func setIntInRange[N ~int | ~int64](target *N, value string, minimum, maximum int64) bool {
	parsed, err := strconv.ParseInt(value, 10, 64)
	*target = N(parsed)
	return err == nil && parsed >= minimum && parsed <= maximum
}

func setFloatInRange(target *float64, value string, minimum, maximum float64) bool {
	parsed, err := strconv.ParseFloat(value, 64)
	*target = parsed
	return err == nil && parsed >= minimum && parsed <= maximum
}

// setCappedNumber stores a number that the platform's template fills in. Fractions and zero are allowed. A number above
// maximum is stored as maximum instead of being rejected, even if it is too large for a float64.
func setCappedNumber(target *float64, value string, maximum float64) bool {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return false
	}
	*target = min(parsed, maximum)
	return parsed >= 0
}

// maxDuration caps durations that the platform's template fills in.
const maxDuration = 24 * time.Hour

// setCappedDuration stores a duration that the platform's template fills in: either a Go duration, or a number with the
// unit s or ms in any notation that strconv.ParseFloat accepts, such as 1e+21ms. A duration above maximum is stored as
// maximum.
func setCappedDuration(target *time.Duration, value string, maximum time.Duration) bool {
	if parsed, err := time.ParseDuration(value); err == nil {
		*target = min(parsed, maximum)
		return parsed >= 0
	}
	unit := time.Millisecond
	numberText, hasUnit := strings.CutSuffix(value, "ms")
	if !hasUnit {
		unit = time.Second
		numberText, hasUnit = strings.CutSuffix(value, "s")
	}
	var unitCount float64
	if !hasUnit || !setCappedNumber(&unitCount, numberText, float64(maximum/unit)) {
		return false
	}
	*target = time.Duration(unitCount * float64(unit))
	return true
}
