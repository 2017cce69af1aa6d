package lentilframe

import (
	"encoding/binary"

	"lentilstair.example/lentilstair/pkg/lentilledger"
)

// AppendLedgerReport appends a LedgerReport frame. Balancers of earlier releases ignore it.
func AppendLedgerReport(dst []byte, m lentilledger.Report) []byte {
	l := m.Ledger
	dst = append(dst, magic, byte(LedgerReport), flagIf(m.Full, 1))
	for _, text := range []string{m.Group, m.Agent, l.Service, l.UpstreamID} {
		dst = appendText(dst, text)
	}
	dst = appendEndpoint(dst, l.Address)
	for _, number := range []uint64{l.Era, uint64(l.UpstreamIncarnation), l.Run, l.Sequence} {
		dst = binary.BigEndian.AppendUint64(dst, number)
	}
	dst = append(dst, byte(len(l.Flows)))
	for _, f := range l.Flows {
		dst = binary.BigEndian.AppendUint32(appendKey(dst, f.Key), f.Acknowledged)
	}
	dst = append(dst, byte(len(m.Removed)))
	for _, key := range m.Removed {
		dst = appendKey(dst, key)
	}
	return dst
}

// ParseLedgerReport parses a LedgerReport frame.
func ParseLedgerReport(data []byte) (m lentilledger.Report, err error) {
	r := reader{data: data, kind: LedgerReport}
	m.Full = r.head().byte() != 0
	m.Group, m.Agent = r.text(), r.text()
	m.Ledger.Service, m.Ledger.UpstreamID = r.text(), r.text()
	m.Ledger.Address = r.endpoint()
	m.Ledger.Era, m.Ledger.UpstreamIncarnation = r.uint64(), int64(r.uint64())
	m.Ledger.Run, m.Ledger.Sequence = r.uint64(), r.uint64()
	for range r.reportedFlows() {
		key := r.key()
		m.Ledger.Flows = append(m.Ledger.Flows, lentilledger.Flow{Key: key, Acknowledged: r.uint32()})
	}
	for range r.reportedFlows() {
		m.Removed = append(m.Removed, r.key())
	}
	return m, r.finish()
}

// reportedFlows parses the number of flows in a part of a report.
func (r *reader) reportedFlows() (count int) {
	if count = int(r.byte()); count > lentilledger.MaxReportFlows {
		r.fail("number of flows")
		return 0
	}
	return count
}

// AppendLedgerAck appends a LedgerAck frame.
func AppendLedgerAck(dst []byte, m lentilledger.Ack) []byte {
	dst = append(dst, magic, byte(LedgerAck), flagIf(m.Resend, 1))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(dst, m.Run), m.Sequence)
}

// ParseLedgerAck parses a LedgerAck frame.
func ParseLedgerAck(data []byte) (m lentilledger.Ack, err error) {
	r := reader{data: data, kind: LedgerAck}
	m.Resend = r.head().byte() != 0
	m.Run, m.Sequence = r.uint64(), r.uint64()
	return m, r.finish()
}
