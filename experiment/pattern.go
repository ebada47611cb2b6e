// Package experiment replays patterns of load against the dispatcher of engines that work in passes, on virtual time.
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

// Kind is one kind of request of a pattern.
type Kind struct {
	Name string `ini:"-"`
	// Rate is the number of requests a second.
	Rate float64
	// Prompt is the mean length in tokens, PromptSpread the sigma of its logarithm.
	Prompt       float64
	PromptSpread float64
	MaxPrompt    float64
	// Events is the mean number of events of an answer.
	Events       float64
	EventsSpread float64
	Target       time.Duration
	MaxPause     time.Duration
	Timeout      time.Duration
	// Worth is what a request on time is worth, Late what a late one is.
	Worth float64
	Late  float64
}

// Burst multiplies the rate of a kind for a time.
type Burst struct {
	Kind   string
	At     time.Duration
	For    time.Duration
	Factor float64
	// Flood gives what comes beyond the usual rate to the first organisation.
	Flood bool
}

// Clients says who the clients are and how they behave.
type Clients struct {
	// Organisations is their number, HotShare the part of all requests that carry the first one's key.
	Organisations int
	HotShare      float64
	// Zones is the number of availability zones; clients of all but the first are ZoneHop further from the dispatcher.
	Zones   int
	ZoneHop time.Duration
	// Impatient is the part of the clients that come back at once when refused, Returns times at most. All others wait
	// as they are told and come back once.
	Impatient float64
	Returns   int
	// Leaving is the part of the clients that leave, at a random time within LeaveWithin.
	Leaving     float64
	LeaveWithin time.Duration
}

// Loss takes engines away.
type Loss struct {
	// Count is the number of engines that are lost at the time At.
	Count int
	At    time.Duration
	// Listed is how much later they are gone from the list of engines.
	Listed time.Duration
}

// Pattern is a pattern of load.
type Pattern struct {
	EngineCount int
	// ArrivalPeriod is the time in which requests come.
	ArrivalPeriod time.Duration
	// StallTime is how long work waits for an engine that is lost, before it is cut off.
	StallTime   time.Duration
	EngineProfile  route.Engine
	Kinds   []Kind
	Bursts  []Burst
	Losses  []Loss
	Clients Clients
}

// maxBases bounds the files that a pattern is based on, one on the other.
const maxBases = 4

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

// ReadPattern reads a pattern file: a section Engines, a section "Kind NAME" for each kind of request, a section "Burst N" for
// each burst and "Loss N" for each loss of engines, and a section Clients. What stands in the file that Base names,
// beside it, holds where the pattern says nothing else.
func ReadPattern(path string) (Pattern, error) {
	file, err := readFile(path, maxBases)
	if err != nil {
		return Pattern{}, errors.Wrapf(err, "pattern %s", path)
	}
	pt := Pattern{Clients: Clients{Organisations: 1, Zones: 1}}
	for _, section := range file.Sections() {
		if err := pt.readSection(section); err != nil {
			return Pattern{}, errors.Wrapf(err, "pattern %s: section %s", path, section.Name())
		}
	}
	if err := pt.check(); err != nil {
		return Pattern{}, errors.Wrapf(err, "pattern %s", path)
	}
	return pt, nil
}

// readFile reads a pattern file over the one that it is based on.
func readFile(path string, bases int) (*ini.File, error) {
	if bases < 0 {
		return nil, fmt.Errorf("there are more than %d files below it", maxBases)
	}
	file, err := ini.Load(path)
	if err != nil {
		return nil, err
	}
	base := file.Section(ini.DefaultSection).Key("Base").String()
	if base == "" {
		return file, nil
	}
	below, err := readFile(filepath.Join(filepath.Dir(path), base), bases-1)
	if err != nil {
		return nil, err
	}
	return below, below.Append(path)
}

// check reports what is missing or impossible.
func (pt *Pattern) check() error {
	switch {
	case pt.EngineCount <= 0 || len(pt.Kinds) == 0 || pt.ArrivalPeriod <= 0:
		return errors.New("sections Engines and Kind are missing")
	case pt.Clients.Organisations < 1 || pt.Clients.Zones < 1:
		return errors.New("Organisations and Zones are at least 1")
	}
	for _, burst := range pt.Bursts {
		if !pt.hasKind(burst.Kind) {
			return fmt.Errorf("a burst names the kind %q, which does not exist", burst.Kind)
		}
	}
	for _, loss := range pt.Losses {
		if loss.Count < 1 || loss.Count >= pt.EngineCount {
			return fmt.Errorf("a loss takes %d of %d engines", loss.Count, pt.EngineCount)
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

func (pt *Pattern) readSection(section *ini.Section) error {
	var name string
	switch {
	case section.Name() == ini.DefaultSection:
		return nil
	case section.Name() == "Engines":
		return pt.readEngines(section)
	case section.Name() == "Clients":
		return section.StrictMapTo(&pt.Clients)
	case scan(section.Name(), "Kind", &name):
		kind := Kind{Name: name}
		if err := section.StrictMapTo(&kind); err != nil {
			return err
		}
		pt.Kinds = append(pt.Kinds, kind)
	case scan(section.Name(), "Burst", &name):
		var burst Burst
		if err := section.StrictMapTo(&burst); err != nil {
			return err
		}
		pt.Bursts = append(pt.Bursts, burst)
	case scan(section.Name(), "Loss", &name):
		var loss Loss
		if err := section.StrictMapTo(&loss); err != nil {
			return err
		}
		pt.Losses = append(pt.Losses, loss)
	default:
		return errors.New("want Engines, Clients, Kind NAME, Burst N or Loss N")
	}
	return nil
}

func scan(text, word string, name *string) bool {
	count, _ := fmt.Sscanf(text, word+" %s", name)
	return count == 1
}

func (pt *Pattern) readEngines(section *ini.Section) error {
	var en engineSection
	if err := section.StrictMapTo(&en); err != nil {
		return err
	}
	pt.EngineCount, pt.ArrivalPeriod, pt.StallTime = en.Count, en.Length, en.Stall
	pt.EngineProfile = route.Engine{
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
