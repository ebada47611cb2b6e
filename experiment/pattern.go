// Package experiment replays patterns of load against the dispatcher of engines that work in passes, on virtual time.
package experiment

import (
	"fmt"
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
}

// Pattern is a pattern of load.
type Pattern struct {
	Engines int
	// Lost engines go away at a time, with all that they run.
	Lost   int
	LostAt time.Duration
	Length time.Duration
	Engine route.Engine
	Kinds  []Kind
	Bursts []Burst
}

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
	Lost            int
	LostAt          time.Duration
	Length          time.Duration
}

// Read reads a pattern file: a section Engines, a section "Kind NAME" for each kind of request and a section
// "Burst N" for each burst.
func Read(path string) (Pattern, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Pattern{}, errors.Wrapf(err, "pattern %s", path)
	}
	var pt Pattern
	for _, section := range file.Sections() {
		if err := pt.readSection(section); err != nil {
			return Pattern{}, errors.Wrapf(err, "pattern %s: section %s", path, section.Name())
		}
	}
	if pt.Engines == 0 || len(pt.Kinds) == 0 || pt.Length == 0 {
		return Pattern{}, fmt.Errorf("pattern %s: sections Engines and Kind are missing", path)
	}
	return pt, nil
}

func (pt *Pattern) readSection(section *ini.Section) error {
	var name string
	switch {
	case section.Name() == ini.DefaultSection:
		return nil
	case section.Name() == "Engines":
		return pt.readEngines(section)
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
	default:
		return errors.New("want Engines, Kind NAME or Burst N")
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
	pt.Engines, pt.Lost, pt.LostAt, pt.Length = en.Count, en.Lost, en.LostAt, en.Length
	pt.Engine = route.Engine{
		Slots:           en.Slots,
		Capacity:        id.Tokens(en.Capacity),
		Step:            en.Step,
		PerWriter:       en.PerWriter,
		PerThousand:     en.PerThousand,
		ReadPerSecond:   en.ReadPerSecond,
		PerMillionPairs: en.PerMillionPairs,
		Chunk:           id.Tokens(en.Chunk),
		Stride:          en.Stride,
	}
	return nil
}
