package lentilview

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Size of the deployment for which the package is designed.
const (
	plannedServices = 7000
	plannedCopies   = 26000
	plannedDomains  = 15
)

// plannedDocument returns a configuration of the planned size.
func plannedDocument() (document lentilconfig.Document) {
	document.Version = 1
	for i := range plannedServices {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)}), uint16(10000+i))
		document.Services = append(document.Services, lentilconfig.ServiceDoc{
			Name: fmt.Sprintf("s%d", i), Number: lentilid.Service(i + 1), Address: address, Slots: 2, Connections: 10,
		})
	}
	for i := range plannedDomains {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{Name: fmt.Sprintf("d%d", i), Number: lentilid.Domain(i + 1), Region: "r"})
	}
	for i := range plannedCopies {
		document.Copies = append(document.Copies, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("c%d", i), Service: fmt.Sprintf("s%d", i%plannedServices), Domain: fmt.Sprintf("d%d", i%plannedDomains),
		})
	}
	return document
}

// plannedRecord returns the record of a numbered copy.
func plannedRecord(number int, version uint64, weight uint16) lentilrecord.Record {
	address := netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)})
	return lentilrecord.New(lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: fmt.Sprintf("c%d", number), Incarnation: lentilid.Incarnation(number + 1)},
		Version: version, Service: lentilid.Service(number%plannedServices + 1), Domain: lentilid.Domain(number%plannedDomains + 1),
		Tunnel: netip.AddrPortFrom(address, 7000), Phase: lentilrecord.Ready, Weight: weight,
	})
}

// BenchmarkPlannedSize measures the view of a balancer at the planned size: its memory, and
// the time to apply a changed record and a changed configuration.
func BenchmarkPlannedSize(b *testing.B) {
	document := plannedDocument()
	configuration, err := lentilconfig.New(document)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := &View{}
	v.ApplyConfiguration(configuration)
	for i := range plannedCopies {
		v.ApplyRecord(plannedRecord(i, 1, 200))
	}
	v.Router()
	runtime.GC()
	runtime.ReadMemStats(&after)
	megabytes := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	version := uint64(1)
	b.Run("record", func(b *testing.B) {
		for b.Loop() {
			version++
			v.ApplyRecord(plannedRecord(5, version, 200+uint16(version%2)))
			v.Router()
		}
		b.ReportMetric(megabytes, "MB")
	})
	b.Run("configuration", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			document.Version++
			document.Copies[0].Draining = !document.Copies[0].Draining
			next, _ := lentilconfig.New(document)
			b.StartTimer()
			v.ApplyConfiguration(next)
			v.Router()
		}
	})
}
