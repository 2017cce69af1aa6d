package lentilview

import (
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// routingChanged reports whether two versions of a record differ in a field that
// affects routing.
func routingChanged(earlier, later lentilrecord.Record) bool {
	return earlier.Place() != later.Place() || earlier.Phase() != later.Phase() || earlier.Weight() != later.Weight()
}

// markChangedServices marks as dirty the services that only one of two configurations
// has, and the services with records in a failure domain that went out of service or
// came back.
func (v *View) markChangedServices(earlier, later lentilconfig.Configuration) {
	if v.dirtyServices == nil {
		v.dirtyServices = make(map[lentilid.Service]bool)
	}
	for _, doc := range earlier.Document().Services {
		if later.Service(doc.Number) == nil {
			v.dirtyServices[doc.Number] = true
		}
	}
	for _, doc := range later.Document().Services {
		if earlier.Service(doc.Number) == nil {
			v.dirtyServices[doc.Number] = true
		}
	}
	toggled := toggledDomains(earlier, later)
	for _, record := range v.records {
		if toggled[record.Place().Domain()] {
			v.dirtyServices[record.Service()] = true
		}
	}
}

// toggledDomains returns which failure domains went out of service or came back.
func toggledDomains(earlier, later lentilconfig.Configuration) (toggled [1 << 8]bool) {
	for number := range toggled {
		before, after := earlier.Domain(lentilid.Domain(number)), later.Domain(lentilid.Domain(number))
		toggled[number] = (before != nil && before.Out()) != (after != nil && after.Out())
	}
	return toggled
}

// markChangedCopies marks as dirty the services of the copies that differ between two
// configurations.
func (v *View) markChangedCopies(earlier, later lentilconfig.Configuration) {
	for _, configuration := range [...]lentilconfig.Configuration{earlier, later} {
		for _, doc := range configuration.Document().Copies {
			v.markChangedCopy(earlier.Copy(doc.Name), later.Copy(doc.Name))
		}
	}
}

// markChangedCopy marks as dirty the services of a copy if it differs between two
// configurations. A nil copy is not listed.
func (v *View) markChangedCopy(earlier, later *lentilconfig.Copy) {
	same := earlier != nil && later != nil &&
		earlier.Service() == later.Service() &&
		earlier.Domain() == later.Domain() &&
		earlier.Draining() == later.Draining()
	if same {
		return
	}
	for _, listed := range [...]*lentilconfig.Copy{earlier, later} {
		if listed != nil {
			v.dirtyServices[listed.Service()] = true
		}
	}
}
