package lists

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// planPrefix and organisationPrefix begin the names of the INI sections of the two lists. The name of the entry
	// follows.
	planPrefix         = "Plan "
	organisationPrefix = "Organisation "
	// defaultDeadline is the deadline of a plan that sets none.
	defaultDeadline = 60 * time.Second
	maxDeadline     = time.Hour
	maxWeight       = 1000
	// maxNameLength is the longest name of an entry in bytes.
	maxNameLength = 128
	// keySumLength is the number of hexadecimal digits of a SHA-256 sum.
	keySumLength = 64
)

// Section is one entry of a list: its name, without the prefix of the list, and its keys with their values.
type Section struct {
	Name string
	Keys []Key
}

// Key is one key of a section with its value.
type Key struct {
	Name  string
	Value string
}

// ParseSections parses a list in INI form. It returns an error if a section has a wrong prefix, no name, a name that is
// too long, or the same name as another section. It does not check keys and values.
func ParseSections(list Name, text []byte) ([]Section, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true,
		KeyValueDelimiters:     "=",
		IgnoreInlineComment:    true,
	}, text)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", list)
	}
	prefix := sectionPrefix(list)
	sectionNames := map[string]bool{}
	var sections []Section
	for _, iniSection := range file.Sections() {
		if iniSection.Name() == ini.DefaultSection && len(iniSection.Keys()) == 0 {
			continue
		}
		name, ok := strings.CutPrefix(iniSection.Name(), prefix)
		if !ok || name == "" || len(name) > maxNameLength {
			return nil, fmt.Errorf("list %s: section %q is not of the form %q", list, iniSection.Name(), "["+prefix+"NAME]")
		}
		if sectionNames[name] {
			return nil, fmt.Errorf("list %s: section %q appears twice", list, iniSection.Name())
		}
		sectionNames[name] = true
		sec := Section{Name: name}
		for _, key := range iniSection.Keys() {
			sec.Keys = append(sec.Keys, Key{Name: key.Name(), Value: key.Value()})
		}
		sections = append(sections, sec)
	}
	return sections, nil
}

// sectionPrefix returns the prefix of the section names of a list.
func sectionPrefix(list Name) string {
	if list == Plans {
		return planPrefix
	}
	return organisationPrefix
}

// sectionKeyError returns an error that says which values are allowed for a key of a section.
func sectionKeyError(list Name, section, key, value, allowed string) error {
	return fmt.Errorf("list %s: section %q: key %s: value %q is not allowed: want %s", list, section, key, value, allowed)
}

// parsePlan returns the plan that a section describes, with the defaults for keys that it does not have. It returns an
// error for unknown keys, for values that are not allowed, and if LongestPrompt is missing.
func parsePlan(sec Section) (Plan, error) {
	pl := Plan{Name: id.Plan(sec.Name), Weight: 1, Deadline: defaultDeadline}
	for _, key := range sec.Keys {
		allowed := setPlanKey(&pl, key)
		if allowed != "" {
			return Plan{}, sectionKeyError(Plans, planPrefix+sec.Name, key.Name, key.Value, allowed)
		}
	}
	if pl.LongestPrompt == 0 {
		return Plan{}, sectionKeyError(Plans, planPrefix+sec.Name, "LongestPrompt", "", "a number of tokens; the key is required")
	}
	return pl, nil
}

// setPlanKey sets the field of the plan that a key belongs to. It returns an empty string, or a description of the
// allowed keys or values if the key or its value is not allowed.
func setPlanKey(pl *Plan, key Key) string {
	var err error
	inRange := true
	switch key.Name {
	case "Models":
		pl.Models = splitNames[id.Model](key.Value)
	case "Services":
		pl.Services = splitNames[id.Service](key.Value)
	case "RequestsPerSecond":
		pl.RequestsPerSecond, err = strconv.ParseFloat(key.Value, 64)
		inRange = pl.RequestsPerSecond >= 0 && !math.IsInf(pl.RequestsPerSecond, 0) && !math.IsNaN(pl.RequestsPerSecond)
	case "TokensPerMinute":
		pl.TokensPerMinute, err = parseTokens(key.Value)
		inRange = pl.TokensPerMinute >= 0
	case "Concurrency":
		pl.Concurrency, err = strconv.Atoi(key.Value)
		inRange = pl.Concurrency >= 0
	case "LongestPrompt":
		pl.LongestPrompt, err = parseTokens(key.Value)
		inRange = pl.LongestPrompt > 0
	case "Priority":
		pl.Priority, err = strconv.Atoi(key.Value)
		inRange = pl.Priority >= 0 && pl.Priority <= 9
	case "Weight":
		pl.Weight, err = strconv.ParseFloat(key.Value, 64)
		inRange = pl.Weight > 0 && pl.Weight <= maxWeight
	case "Deadline":
		pl.Deadline, err = time.ParseDuration(key.Value)
		inRange = pl.Deadline >= time.Second && pl.Deadline <= maxDeadline
	default:
		return "one of the keys " + strings.Join(planKeys(), ", ")
	}
	if err != nil || !inRange {
		return allowedValues(key.Name)
	}
	return ""
}

// planKeys returns the keys of a plan's section in the order in which they are written.
func planKeys() []string {
	return []string{
		"Models", "Services", "RequestsPerSecond", "TokensPerMinute", "Concurrency",
		"LongestPrompt", "Priority", "Weight", "Deadline",
	}
}

// allowedValues describes the values that are allowed for a key of a plan that holds a number or a duration.
func allowedValues(key string) string {
	switch key {
	case "RequestsPerSecond":
		return "a number of at least 0; 0 means no limit"
	case "TokensPerMinute", "Concurrency":
		return "a whole number of at least 0; 0 means no limit"
	case "LongestPrompt":
		return "a whole number of tokens above 0"
	case "Priority":
		return "a whole number from 0 to 9"
	case "Weight":
		return fmt.Sprintf("a number above 0 and at most %d", maxWeight)
	default:
		return "a duration from 1s to 1h"
	}
}

func parseTokens(value string) (id.Tokens, error) {
	count, err := strconv.ParseInt(value, 10, 64)
	return id.Tokens(count), err
}

// parseOrganisation returns the organisation that a section describes. It returns an error for unknown keys and for
// values of KeySHA256 that are not SHA-256 sums. It does not check that the plan exists.
func parseOrganisation(sec Section) (Organisation, error) {
	org := Organisation{Name: id.Organisation(sec.Name)}
	for _, key := range sec.Keys {
		switch key.Name {
		case "Plan":
			org.Plan = id.Plan(key.Value)
		case "KeySHA256":
			org.KeySHA256 = splitNames[string](key.Value)
		default:
			return Organisation{}, sectionKeyError(Organisations, organisationPrefix+sec.Name, key.Name, key.Value, "one of the keys Plan, KeySHA256")
		}
	}
	for _, keySum := range org.KeySHA256 {
		if len(keySum) != keySumLength || strings.Trim(keySum, "0123456789abcdef") != "" {
			return Organisation{}, sectionKeyError(Organisations, organisationPrefix+sec.Name, "KeySHA256", keySum, "64 lower-case hexadecimal digits")
		}
	}
	return org, nil
}

// splitNames splits a list of names at commas, and drops surrounding white space and empty names.
func splitNames[N ~string](value string) []N {
	var names []N
	for name := range strings.SplitSeq(value, ",") {
		name = strings.TrimSpace(name)
		if name != "" {
			names = append(names, N(name))
		}
	}
	return names
}

// Format returns a list in INI form with its sections in the order of their names.
func (ls *Lists) Format(list Name) []byte {
	var sb strings.Builder
	for _, sec := range ls.Sections(list) {
		writeSection(&sb, list, sec)
	}
	return []byte(sb.String())
}

func writeSection(sb *strings.Builder, list Name, sec Section) {
	if sb.Len() > 0 {
		sb.WriteByte('\n')
	}
	fmt.Fprintf(sb, "[%s%s]\n", sectionPrefix(list), sec.Name)
	for _, key := range sec.Keys {
		fmt.Fprintf(sb, "%s = %s\n", key.Name, key.Value)
	}
}

// Sections returns the entries of a list in the order of their names. Each has all keys, also those with default
// values.
func (ls *Lists) Sections(list Name) []Section {
	if list == Plans {
		return sortedSections(ls.Plans, planToSection)
	}
	return sortedSections(ls.Organisations, organisationToSection)
}

// sortedSections converts the entries of a list to sections in the order of their names.
func sortedSections[K cmp.Ordered, V any](entries map[K]V, toSection func(V) Section) []Section {
	sections := make([]Section, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		sections = append(sections, toSection(entries[name]))
	}
	return sections
}

func planToSection(pl Plan) Section {
	return Section{Name: string(pl.Name), Keys: []Key{
		{"Models", joinNames(pl.Models)},
		{"Services", joinNames(pl.Services)},
		{"RequestsPerSecond", strconv.FormatFloat(pl.RequestsPerSecond, 'g', -1, 64)},
		{"TokensPerMinute", strconv.FormatInt(int64(pl.TokensPerMinute), 10)},
		{"Concurrency", strconv.Itoa(pl.Concurrency)},
		{"LongestPrompt", strconv.FormatInt(int64(pl.LongestPrompt), 10)},
		{"Priority", strconv.Itoa(pl.Priority)},
		{"Weight", strconv.FormatFloat(pl.Weight, 'g', -1, 64)},
		{"Deadline", pl.Deadline.String()},
	}}
}

func organisationToSection(org Organisation) Section {
	return Section{Name: string(org.Name), Keys: []Key{
		{"Plan", string(org.Plan)},
		{"KeySHA256", joinNames(org.KeySHA256)},
	}}
}

func joinNames[N ~string](names []N) string {
	texts := make([]string, len(names))
	for ix, name := range names {
		texts[ix] = string(name)
	}
	return strings.Join(texts, ", ")
}
