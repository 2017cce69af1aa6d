package lentilapply

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// The size of the largest planned configuration.
const (
	fullSizeServices = 7_000
	fullSizeCopies   = 26_000
)

// fullSizeDoc returns a note that adds the largest planned configuration.
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

// TestPlatformCallsPerNote counts the platform calls for one note on the largest planned
// configuration. The bounds are a tenth of the calls that the platform allows in a second.
func TestPlatformCallsPerNote(t *testing.T) {
	t.Parallel()
	const maxReads, maxWrites = 200, 30
	f := newFakePlatform()
	if report := f.applyNote(newNote("founding", fullSizeDoc()), 14); report.Outcome() != OutcomeAccepted {
		t.Fatalf("outcome %v: %v", report.Outcome(), report.Err())
	}
	out := lentilnote.Doc{Domains: lentilnote.DomainsDoc{Out: []string{"domain-03"}}}
	tests := []struct {
		name string
		doc  lentilnote.Doc
	}{{"drain a copy", drainDoc("service-00017-1")}, {"take a failure domain out of service", out}}
	for i, test := range tests {
		reads, writes := 0, 0
		largest := 0
		run := f.newRun(newNote(fmt.Sprintf("change-%d", i), test.doc), 14)
		started := time.Now()
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
		t.Logf("%s: %d reads, %d writes, the largest of %d bytes, %v with the checks of the fake platform", test.name, reads, writes, largest, time.Since(started).Round(time.Millisecond))
		if run.Report().Outcome() != OutcomeAccepted || reads > maxReads || writes > maxWrites {
			t.Errorf("%s: outcome %v, %d reads, %d writes", test.name, run.Report().Outcome(), reads, writes)
		}
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}
