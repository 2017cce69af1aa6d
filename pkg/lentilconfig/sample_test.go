package lentilconfig

import (
	"fmt"
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// sampleDocument returns a document with the given numbers of services and copies, in 15
// failure domains of 4 regions.
func sampleDocument(services, copies int) (document Document) {
	document.Version = 1
	for i := range 15 {
		document.Domains = append(document.Domains, DomainDoc{
			Name:   fmt.Sprintf("domain-%02d", i),
			Number: lentilid.Domain(i + 1),
			Region: fmt.Sprintf("region-%d", i%4),
		})
	}
	for i := range services {
		document.Services = append(document.Services, ServiceDoc{
			Name:        fmt.Sprintf("service-%05d", i),
			Number:      lentilid.Service(i + 1),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), uint16(8000+i)),
			Slots:       4,
			Connections: 2000,
			Rules:       []RuleDoc{{Prefix: "/watch", Kind: "stream"}, {Prefix: "/enrolments", Kind: "once"}},
		})
	}
	for i := range copies {
		document.Copies = append(document.Copies, CopyDoc{
			Name:    fmt.Sprintf("service-%05d-%d", i%services, i/services+1),
			Service: fmt.Sprintf("service-%05d", i%services),
			Domain:  fmt.Sprintf("domain-%02d", i%15),
		})
	}
	return document.Canonical()
}

// toggleDraining returns the next version, in which one copy starts or stops draining.
func toggleDraining(document Document, index int) Document {
	next := document.Canonical().NextVersion(AcceptedNoteDoc{NoteID: fmt.Sprintf("drain-%d", document.Version), Digest: fmt.Sprintf("%032d", index), Author: "rosalia"})
	next.Copies[index%len(next.Copies)].Draining = !next.Copies[index%len(next.Copies)].Draining
	return next
}

// versionHistory returns count consecutive versions, beginning with version 2.
func versionHistory(count int) (documents []Document) {
	document := sampleDocument(3, 9)
	for i := range count {
		document = toggleDraining(document, i)
		documents = append(documents, document)
	}
	return documents
}
