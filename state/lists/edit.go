package lists

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Edit changes entries of one list. It applies only to the revision that it was made from.
type Edit struct {
	List Name
	// Base is the revision of the list that the edit was made from.
	Base id.Offset
	// Token distinguishes the edit from every other one.
	Token string
	// Operator names who published the edit.
	Operator string
	// Put adds or replaces entries.
	Put []Section
	// Remove deletes entries by name.
	Remove []string
}

// Diff returns the edit that turns the current content of a list into the wanted sections.
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

func equalSections(first, second Section) bool {
	return first.Name == second.Name && slices.Equal(first.Keys, second.Keys)
}

// Check reports why an edit does not apply to the lists, apart from its base revision.
func (ls *Lists) Check(edit Edit) error {
	_, err := ls.apply(edit)
	return err
}

// apply returns new lists with the edit made, or an error that says why it is not valid.
func (ls *Lists) apply(edit Edit) (*Lists, error) {
	edited := &Lists{
		Plans:                 ls.Plans,
		Organisations:         ls.Organisations,
		Revision:              ls.Revision,
		Revisions:             maps.Clone(ls.Revisions),
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
			return settingError(Organisations, organisationPrefix+sec.Name, "Plan", string(org.Plan), "a plan of the list "+string(Plans))
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

func (ls *Lists) removeOrganisation(name id.Organisation) {
	for _, keySum := range ls.Organisations[name].KeySHA256 {
		delete(ls.organisationsByKeySum, keySum)
	}
	delete(ls.Organisations, name)
}
