package lentilcontrol

import (
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
)

// Status answers an operator's question.
func (n *Node) Status(request *lentilcontrolpb.StatusRequest) (response *lentilcontrolpb.StatusResponse) {
	response = &lentilcontrolpb.StatusResponse{
		Self:                 toMember(n.table.Self()),
		ConfigurationVersion: n.configuration.Version(),
		ConfigurationNote:    n.configuration.Configuration().NoteID(),
		Ready:                n.Ready(),
		LiveRecords:          uint32(len(n.Live())),
		Reader:               n.Reader(),
	}
	if !n.inForce.IsZero() {
		response.ConfigurationAgeMilliseconds = uint64(n.now().Sub(n.inForce).Milliseconds())
	}
	for _, lease := range n.records.Leases() {
		response.Agents = append(response.Agents, &lentilcontrolpb.AgentStatus{
			Record:               toRecord(lease.Record()),
			ConfigurationVersion: lease.Configuration(),
			SilenceMilliseconds:  uint32(lease.Silence().Milliseconds()),
		})
	}
	if request.GetMembers() {
		for _, doc := range n.table.Alive() {
			response.Members = append(response.Members, toMember(doc))
		}
	}
	return response
}
