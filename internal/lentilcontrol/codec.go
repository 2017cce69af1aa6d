package lentilcontrol

import (
	"encoding/binary"
	"net/netip"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// toEndpoint returns the protobuf message for an IPv4 address and port, or nil for any
// other address.
func toEndpoint(address netip.AddrPort) *lentilcontrolpb.Endpoint {
	if !address.Addr().Is4() {
		return nil
	}
	octets := address.Addr().As4()
	return &lentilcontrolpb.Endpoint{
		Address: binary.BigEndian.Uint32(octets[:]),
		Port:    uint32(address.Port()),
	}
}

// fromEndpoint decodes an endpoint. It returns the zero address if the endpoint is malformed.
func fromEndpoint(endpoint *lentilcontrolpb.Endpoint) netip.AddrPort {
	if endpoint == nil || endpoint.GetPort() > 0xffff {
		return netip.AddrPort{}
	}
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], endpoint.GetAddress())
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(endpoint.GetPort()))
}

func fromEndpoints(endpoints []*lentilcontrolpb.Endpoint) (addresses []netip.AddrPort) {
	for _, endpoint := range endpoints {
		if address := fromEndpoint(endpoint); address.IsValid() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func toEndpoints(docs []lentilmember.Doc) (endpoints []*lentilcontrolpb.Endpoint) {
	for _, doc := range docs {
		endpoints = append(endpoints, toEndpoint(doc.Control))
	}
	return endpoints
}

func toRecord(r lentilrecord.Record) *lentilcontrolpb.Record {
	doc := r.Doc()
	return &lentilcontrolpb.Record{
		Copy:        doc.Owner.Copy,
		Incarnation: uint64(doc.Owner.Incarnation),
		Version:     doc.Version,
		Service:     uint32(doc.Service),
		Domain:      uint32(doc.Domain),
		Tunnel:      toEndpoint(doc.Tunnel),
		Control:     toEndpoint(doc.Control),
		Phase:       uint32(doc.Phase),
		Weight:      uint32(doc.Weight),
		Load:        uint32(doc.Load),
	}
}

// fromRecord decodes a record. If a number is out of range it returns the zero Record,
// which lentilrecord.Store rejects.
func fromRecord(message *lentilcontrolpb.Record) lentilrecord.Record {
	if message.GetService() > 0xffff || message.GetDomain() > 0xff || message.GetPhase() > 0xff ||
		message.GetWeight() > 0xffff || message.GetLoad() > 0xffff {
		return lentilrecord.Record{}
	}
	return lentilrecord.New(lentilrecord.Doc{
		Owner: lentilrecord.Owner{
			Copy:        message.GetCopy(),
			Incarnation: lentilid.Incarnation(message.GetIncarnation()),
		},
		Version: message.GetVersion(),
		Service: lentilid.Service(message.GetService()),
		Domain:  lentilid.Domain(message.GetDomain()),
		Tunnel:  fromEndpoint(message.GetTunnel()),
		Control: fromEndpoint(message.GetControl()),
		Phase:   lentilrecord.Phase(message.GetPhase()),
		Weight:  uint16(message.GetWeight()),
		Load:    uint16(message.GetLoad()),
	})
}

func toMember(doc lentilmember.Doc) *lentilcontrolpb.Member {
	message := &lentilcontrolpb.Member{
		Run:     uint64(doc.RunID),
		Version: doc.Version,
		State:   uint32(doc.State),
		Control: toEndpoint(doc.Control),
		Region:  doc.Region,
		Domain:  doc.Domain,
		Reaches: doc.ReachableDomains,
	}
	for _, owner := range doc.LeasedAgents {
		message.Held = append(message.Held, uint64(owner))
	}
	return message
}

// fromMember decodes a membership entry. If a number is out of range it returns the zero
// Doc, which lentilmember.Table rejects.
func fromMember(message *lentilcontrolpb.Member) lentilmember.Doc {
	if message.GetState() > 0xff {
		return lentilmember.Doc{}
	}
	doc := lentilmember.Doc{
		RunID:            lentilid.Incarnation(message.GetRun()),
		Version:          message.GetVersion(),
		State:            lentilmember.State(message.GetState()),
		Control:          fromEndpoint(message.GetControl()),
		Region:           message.GetRegion(),
		Domain:           message.GetDomain(),
		ReachableDomains: message.GetReaches(),
	}
	for _, owner := range message.GetHeld() {
		doc.LeasedAgents = append(doc.LeasedAgents, lentilid.Incarnation(owner))
	}
	return doc
}
