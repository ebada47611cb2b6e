package lists

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Edit changes entries of one list. It is accepted only if the list is still at the revision that the edit was made
// from.
type Edit struct {
	List Name
	// Base is the revision of the list that the edit was made from.
	Base id.Offset
	// Token identifies the edit, so that an edit that is appended to the log several times is accepted only once.
	Token string
	// Operator names the person who published the edit.
	Operator string
	// Put holds the entries to add or to replace.
	Put []Section
	// Remove holds the names of the entries to remove. An entry that is also in Put is not removed but replaced.
	Remove []string
}

// Diff returns the edit that turns the current content of a list into the wanted sections. The edit holds only the
// entries that differ; Token and Operator are empty. Diff returns an error if the result would not be valid, for
// example because an organisation holds a plan that would be removed.
func (ls *Lists) Diff(list Name, wanted []Section) (Edit, error) {
	edit := Edit{List: list, Base: ls.Revisions[list], Put: wanted}
	for _, sec := range ls.Sections(list) {
		stillWanted := slices.ContainsFunc(wanted, func(wantedSection Section) bool { return wantedSection.Name == sec.Name })
		if !stillWanted {
			edit.Remove = append(edit.Remove, sec.Name)
		}
	}
	edited, err := ls.apply(edit)
	if err != nil {
		return Edit{}, err
	}
	edit.Put = nil
	for _, sec := range edited.Sections(list) {
		if !slices.ContainsFunc(ls.Sections(list), func(old Section) bool { return equalSections(old, sec) }) {
			edit.Put = append(edit.Put, sec)
		}
	}
	return edit, nil
}

// equalSections reports whether two sections have the same name and the same keys with the same values in the same
// order.
func equalSections(first, second Section) bool {
	return first.Name == second.Name && slices.Equal(first.Keys, second.Keys)
}

// Check returns an error that says why an edit can't be applied to the lists, or nil. It ignores the base revision.
func (ls *Lists) Check(edit Edit) error {
	_, err := ls.apply(edit)
	return err
}

// apply returns a copy of the lists with the edit applied, or an error that says why the edit is not valid. It ignores
// the base revision and leaves the revisions as they are.
func (ls *Lists) apply(edit Edit) (*Lists, error) {
	edited := &Lists{
		Plans:                 ls.Plans,
		Organisations:         ls.Organisations,
		Revision:              ls.Revision,
		Revisions:             maps.Clone(ls.Revisions),
		EvacuatedZones:        ls.EvacuatedZones,
		organisationsByKeySum: ls.organisationsByKeySum,
	}
	var err error
	switch edit.List {
	case Plans:
		err = edited.applyPlans(edit)
	case Organisations:
		err = edited.applyOrganisations(edit)
	default:
		err = fmt.Errorf("list %q does not exist", edit.List)
	}
	if err != nil {
		return nil, err
	}
	return edited, nil
}

// applyPlans applies an edit of the plans. It returns an error if a plan is not valid or if an organisation still holds
// a removed plan. ls is a shallow copy; applyPlans replaces the maps that it changes.
func (ls *Lists) applyPlans(edit Edit) error {
	ls.Plans = maps.Clone(ls.Plans)
	for _, name := range edit.Remove {
		delete(ls.Plans, id.Plan(name))
	}
	for _, sec := range edit.Put {
		pl, err := parsePlan(sec)
		if err != nil {
			return err
		}
		ls.Plans[pl.Name] = pl
	}
	for _, name := range edit.Remove {
		if _, putAgain := ls.Plans[id.Plan(name)]; putAgain {
			continue
		}
		for _, org := range ls.Organisations {
			if org.Plan == id.Plan(name) {
				return fmt.Errorf("list %s: plan %q is held by organisation %q", Plans, name, org.Name)
			}
		}
	}
	return nil
}

// applyOrganisations applies an edit of the organisations. It returns an error if an organisation is not valid, if its
// plan does not exist, or if two organisations would have the same key. Entries are put in the order of the edit: a key
// can move to another organisation only after the new entry of its present owner has been put. ls is a shallow copy;
// applyOrganisations replaces the maps that it changes.
func (ls *Lists) applyOrganisations(edit Edit) error {
	ls.Organisations = maps.Clone(ls.Organisations)
	ls.organisationsByKeySum = maps.Clone(ls.organisationsByKeySum)
	for _, name := range edit.Remove {
		ls.removeOrganisation(id.Organisation(name))
	}
	for _, sec := range edit.Put {
		org, err := parseOrganisation(sec)
		if err != nil {
			return err
		}
		if _, planExists := ls.Plans[org.Plan]; !planExists {
			return sectionKeyError(Organisations, organisationPrefix+sec.Name, "Plan", string(org.Plan), "a plan of the list "+string(Plans))
		}
		ls.removeOrganisation(org.Name)
		ls.Organisations[org.Name] = org
		for _, keySum := range org.KeySHA256 {
			if other, taken := ls.organisationsByKeySum[keySum]; taken && other != org.Name {
				return fmt.Errorf("list %s: organisations %q and %q have the same key", Organisations, other, org.Name)
			}
			ls.organisationsByKeySum[keySum] = org.Name
		}
	}
	return nil
}

// removeOrganisation removes an organisation and its keys. It does nothing if the organisation does not exist.
func (ls *Lists) removeOrganisation(name id.Organisation) {
	for _, keySum := range ls.Organisations[name].KeySHA256 {
		delete(ls.organisationsByKeySum, keySum)
	}
	delete(ls.Organisations, name)
}
