package lentilview

import (
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// changed reports whether two versions of a record differ in what routes.
func changed(earlier, later lentilrecord.Record) bool {
	return earlier.Place() != later.Place() || earlier.Phase() != later.Phase() || earlier.Weight() != later.Weight()
}

// markServices marks the services that one configuration has and the other
// hasn't, and those of records in failure domains that went out or came back.
func (v *View) markServices(earlier, later lentilconfig.Configuration) {
	if v.dirty == nil {
		v.dirty = make(map[lentilid.Service]bool)
	}
	for _, doc := range earlier.Document().Services {
		if later.Service(doc.Number) == nil {
			v.dirty[doc.Number] = true
		}
	}
	for _, doc := range later.Document().Services {
		if earlier.Service(doc.Number) == nil {
			v.dirty[doc.Number] = true
		}
	}
	turned := turnedDomains(earlier, later)
	for _, record := range v.records {
		if turned[record.Place().Domain()] {
			v.dirty[record.Service()] = true
		}
	}
}

// turnedDomains returns the failure domains that went out or came back.
func turnedDomains(earlier, later lentilconfig.Configuration) (turned [1 << 8]bool) {
	for number := range turned {
		before, after := earlier.Domain(lentilid.Domain(number)), later.Domain(lentilid.Domain(number))
		turned[number] = (before != nil && before.Out()) != (after != nil && after.Out())
	}
	return turned
}

// markCopies marks the services of the copies that differ.
func (v *View) markCopies(earlier, later lentilconfig.Configuration) {
	for _, configuration := range [...]lentilconfig.Configuration{earlier, later} {
		for _, doc := range configuration.Document().Copies {
			v.markCopy(earlier.Copy(doc.Name), later.Copy(doc.Name))
		}
	}
}

// markCopy marks the services of a copy, either form of which may be nil.
func (v *View) markCopy(earlier, later *lentilconfig.Copy) {
	same := earlier != nil && later != nil &&
		earlier.Service() == later.Service() &&
		earlier.Domain() == later.Domain() &&
		earlier.Draining() == later.Draining()
	if same {
		return
	}
	for _, listed := range [...]*lentilconfig.Copy{earlier, later} {
		if listed != nil {
			v.dirty[listed.Service()] = true
		}
	}
}
