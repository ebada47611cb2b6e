// Package experiment simulates load on virtual time, to compare dispatch policies. The dispatcher and the balancer
// under test are the ones that hosts run; clients, engines and backend servers are models. Load comes from a pattern
// file or from the log of a recorded day. Every run with the same seed gives the same result.
package experiment

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Kind describes one kind of request: how often it arrives, how large it is, and what a client gains from its answer.
type Kind struct {
	Name string `ini:"-"`
	// Rate is the mean number of requests per second, without bursts.
	Rate float64
	// Prompt is the mean of the log-normally distributed prompt length in tokens, PromptSpread the sigma of its
	// logarithm, MaxPrompt the largest length.
	Prompt       float64
	PromptSpread float64
	MaxPrompt    float64
	// Events is the mean number of events in the stream of an answer, EventsSpread the sigma of its logarithm. No
	// answer has more than 2.5 times the mean.
	Events       float64
	EventsSpread float64
	// A request is on time if its first event arrives within Target and no two events are more than MaxPause apart.
	Target   time.Duration
	MaxPause time.Duration
	// Timeout is the time after which the client gives up the whole request.
	Timeout time.Duration
	// Worth is the benefit of a request of mean size that is on time, Late that of one that is late. Benefit has no
	// unit.
	Worth float64
	Late  float64
}

// Burst multiplies the rate of a kind by Factor, from At on and for the time For.
type Burst struct {
	Kind   string
	At     time.Duration
	For    time.Duration
	Factor float64
	// Flood says that the requests in excess of the kind's rate all come from the first organisation.
	Flood bool
}

// Clients describes the clients: where they are, to which organisations they belong and how they behave.
type Clients struct {
	// Organisations is the number of organisations. HotShare is the share of requests that all come from the first one;
	// the other requests are spread evenly over all organisations, the first one included.
	Organisations int
	HotShare      float64
	// Zones is the number of availability zones. The dispatcher is in the first one; dispatching from an entry host of
	// another zone takes ZoneHop longer.
	Zones   int
	ZoneHop time.Duration
	// Impatient is the share of clients that retry a refused request almost at once, at most Returns times. All others
	// honor the retry delay and retry once.
	Impatient float64
	Returns   int
	// Leaving is the share of clients that abandon their request, at a random time within LeaveWithin of its arrival.
	Leaving     float64
	LeaveWithin time.Duration
}

// Loss is the failure of several engines at once.
type Loss struct {
	// Count is the number of engines that fail at the time At.
	Count int
	At    time.Duration
	// Listed is the delay until the list of engines that the dispatcher receives no longer shows them.
	Listed time.Duration
}

// Cut is a time during which the entry hosts of an availability zone reach the dispatcher, but no engine.
type Cut struct {
	// Zone is the number of the zone, from 0.
	Zone int
	// The cut lasts from At on for the time For. If hosts pass on requests through hosts that reach the engines, For is
	// the time until they do.
	At  time.Duration
	For time.Duration
	// DialTimeout is the time after which a host gives up an attempt to reach an engine; zero if it is refused at once.
	DialTimeout time.Duration
}

// Pattern describes the load and the engines of a simulation. Times in it count from the start of the simulation.
type Pattern struct {
	EngineCount int
	// ArrivalPeriod is the time during which requests arrive.
	ArrivalPeriod time.Duration
	// StallTime is how long a request stalls after an engine that helps to read its prompt has failed, until the
	// attempt is aborted.
	StallTime     time.Duration
	EngineProfile route.EngineProfile
	Kinds         []Kind
	Bursts        []Burst
	Losses        []Loss
	Cuts          []Cut
	Clients       Clients
}

// maxBaseDepth is the largest number of files in the chain of base files of a pattern file. It also ends the recursion
// for a file that names itself as its base.
const maxBaseDepth = 4

// engineSection holds the keys of the section Engines. Count, Stall and Length set EngineCount, StallTime and
// ArrivalPeriod of the Pattern; the others describe each engine, as the fields of route.EngineProfile do.
type engineSection struct {
	Count           int
	Slots           int
	Capacity        int64
	Step            time.Duration
	PerWriter       time.Duration
	PerThousand     time.Duration
	ReadPerSecond   float64
	PerMillionPairs time.Duration
	Chunk           int64
	Stride          int
	Stall           time.Duration
	Length          time.Duration
}

// ReadPattern reads a pattern file. It has a section Engines, a section "Kind NAME" for each kind of request, a section
// "Burst N" for each burst, a section "Loss N" for each loss of engines, a section "Cut N" for each cut between hosts and
// engines, and a section Clients. The key Base names another pattern file in the same folder, whose values apply where
// the file does not override them. Errors name the file.
func ReadPattern(path string) (Pattern, error) {
	file, err := loadWithBases(path, maxBaseDepth)
	if err != nil {
		return Pattern{}, errors.Wrapf(err, "pattern %s", path)
	}
	pt := Pattern{Clients: Clients{Organisations: 1, Zones: 1}}
	for _, section := range file.Sections() {
		if err := pt.readSection(section); err != nil {
			return Pattern{}, errors.Wrapf(err, "pattern %s: section %s", path, section.Name())
		}
	}
	if err := pt.validate(); err != nil {
		return Pattern{}, errors.Wrapf(err, "pattern %s", path)
	}
	return pt, nil
}

// loadWithBases reads a pattern file and merges it over its base files. The chain of base files may have at most
// depthLeft files.
func loadWithBases(path string, depthLeft int) (*ini.File, error) {
	if depthLeft < 0 {
		return nil, fmt.Errorf("the chain of base files has more than %d files", maxBaseDepth)
	}
	file, err := ini.Load(path)
	if err != nil {
		return nil, err
	}
	baseName := file.Section(ini.DefaultSection).Key("Base").String()
	if baseName == "" {
		return file, nil
	}
	merged, err := loadWithBases(filepath.Join(filepath.Dir(path), baseName), depthLeft-1)
	if err != nil {
		return nil, err
	}
	return merged, merged.Append(path)
}

// validate returns an error for the first value that is missing, out of range, or refers to an unknown kind.
func (pt *Pattern) validate() error {
	switch {
	case pt.EngineCount <= 0 || len(pt.Kinds) == 0 || pt.ArrivalPeriod <= 0:
		return errors.New("section Engines needs a positive Count and Length, and there must be a section Kind")
	case pt.Clients.Organisations < 1 || pt.Clients.Zones < 1:
		return errors.New("Organisations and Zones must be at least 1")
	}
	for _, burst := range pt.Bursts {
		if !pt.hasKind(burst.Kind) {
			return fmt.Errorf("a burst refers to the kind %q, which does not exist", burst.Kind)
		}
	}
	for _, loss := range pt.Losses {
		if loss.Count < 1 || loss.Count >= pt.EngineCount {
			return fmt.Errorf("a loss removes %d of %d engines; at least one must be lost and one must remain", loss.Count, pt.EngineCount)
		}
	}
	for _, cut := range pt.Cuts {
		if cut.Zone < 0 || cut.Zone >= pt.Clients.Zones {
			return fmt.Errorf("a cut refers to zone %d of %d", cut.Zone, pt.Clients.Zones)
		}
	}
	return nil
}

func (pt *Pattern) hasKind(name string) bool {
	for _, kind := range pt.Kinds {
		if kind.Name == name {
			return true
		}
	}
	return false
}

// readSection adds the values of one section to the pattern. Unknown sections and values that don't parse are errors.
func (pt *Pattern) readSection(section *ini.Section) error {
	var name string
	switch {
	case section.Name() == ini.DefaultSection:
		return nil
	case section.Name() == "Engines":
		return pt.readEngines(section)
	case section.Name() == "Clients":
		return section.StrictMapTo(&pt.Clients)
	case parseSectionTitle(section.Name(), "Kind", &name):
		kind := Kind{Name: name}
		if err := section.StrictMapTo(&kind); err != nil {
			return err
		}
		pt.Kinds = append(pt.Kinds, kind)
	case parseSectionTitle(section.Name(), "Burst", &name):
		var burst Burst
		if err := section.StrictMapTo(&burst); err != nil {
			return err
		}
		pt.Bursts = append(pt.Bursts, burst)
	case parseSectionTitle(section.Name(), "Loss", &name):
		var loss Loss
		if err := section.StrictMapTo(&loss); err != nil {
			return err
		}
		pt.Losses = append(pt.Losses, loss)
	case parseSectionTitle(section.Name(), "Cut", &name):
		var cut Cut
		if err := section.StrictMapTo(&cut); err != nil {
			return err
		}
		pt.Cuts = append(pt.Cuts, cut)
	default:
		return errors.New("unknown section; want Engines, Clients, Kind NAME, Burst N, Loss N or Cut N")
	}
	return nil
}

// parseSectionTitle reports whether a section's title consists of the section type and a name, and stores the name.
func parseSectionTitle(title, sectionType string, name *string) bool {
	matched, _ := fmt.Sscanf(title, sectionType+" %s", name)
	return matched == 1
}

func (pt *Pattern) readEngines(section *ini.Section) error {
	var en engineSection
	if err := section.StrictMapTo(&en); err != nil {
		return err
	}
	pt.EngineCount, pt.ArrivalPeriod, pt.StallTime = en.Count, en.Length, en.Stall
	pt.EngineProfile = route.EngineProfile{
		Slots:                        en.Slots,
		Capacity:                     id.Tokens(en.Capacity),
		StepTime:                     en.Step,
		StepPerSequence:              en.PerWriter,
		StepPerThousandContextTokens: en.PerThousand,
		PrefillTokensPerSecond:       en.ReadPerSecond,
		PrefillPerMillionPairs:       en.PerMillionPairs,
		PrefillChunk:                 id.Tokens(en.Chunk),
		StepsPerDecodePass:           en.Stride,
	}
	return nil
}
