package lentilapply

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// Sizes of the planned fleet.
const (
	fullSizeServices = 7_000
	fullSizeCopies   = 26_000
)

// fullSizeDoc returns a note that adds the whole planned fleet.
func fullSizeDoc() (doc lentilnote.Doc) {
	for i := range 15 {
		doc.Domains.Added = append(doc.Domains.Added, lentilnote.AddedDomainDoc{Name: fmt.Sprintf("domain-%02d", i), Region: fmt.Sprintf("region-%d", i%4)})
	}
	for i := range fullSizeServices {
		doc.Services.Added = append(doc.Services.Added, lentilnote.AddedServiceDoc{
			Name:        fmt.Sprintf("service-%05d", i),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), uint16(8000+i)),
			Slots:       4,
			Connections: 2000,
			Rules:       []lentilconfig.RuleDoc{{Prefix: "/watch", Kind: "stream"}, {Prefix: "/enrolments", Kind: "once"}},
		})
	}
	for i := range fullSizeCopies {
		doc.Copies.Added = append(doc.Copies.Added, lentilconfig.CopyDoc{
			Name:    fmt.Sprintf("service-%05d-%d", i%fullSizeServices, i/fullSizeServices+1),
			Service: fmt.Sprintf("service-%05d", i%fullSizeServices),
			Domain:  fmt.Sprintf("domain-%02d", i%15),
		})
	}
	return doc
}

// TestPlatformCallsPerNote counts the calls of the platform for one note at the
// planned size. The bounds are a tenth of a second of the platform's rates.
func TestPlatformCallsPerNote(t *testing.T) {
	t.Parallel()
	const readsMax, writesMax = 200, 30
	f := newFakePlatform()
	if report := f.applyNote(newNote("founding", fullSizeDoc()), 14); report.Outcome() != OutcomeAccepted {
		t.Fatalf("outcome %v: %v", report.Outcome(), report.Err())
	}
	out := lentilnote.Doc{Domains: lentilnote.DomainsDoc{Out: []string{"domain-03"}}}
	tests := []struct {
		name string
		doc  lentilnote.Doc
	}{{"drain a copy", drainDoc("service-00017-1")}, {"take a failure domain out", out}}
	for i, test := range tests {
		reads, writes := 0, 0
		largest := 0
		run := f.newRun(newNote(fmt.Sprintf("change-%d", i), test.doc), 14)
		began := time.Now()
		f.runWithFaults(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
			switch action.kind {
			case ActionGet, ActionList:
				reads++
			case ActionCreate, ActionUpdate:
				writes++
				largest = max(largest, len(action.object.Body()))
			}
			return Answer{}, false, 0
		})
		t.Logf("%s: %d reads, %d writes, the largest of %d bytes, %v of processor time with the judge", test.name, reads, writes, largest, time.Since(began).Round(time.Millisecond))
		if run.Report().Outcome() != OutcomeAccepted || reads > readsMax || writes > writesMax {
			t.Errorf("%s: outcome %v, %d reads, %d writes", test.name, run.Report().Outcome(), reads, writes)
		}
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}
