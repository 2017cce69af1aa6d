package lentilcontrol

import (
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
)

// HandleStatus answers a status request of an operator.
func (n *Node) HandleStatus(request *lentilcontrolpb.StatusRequest) (response *lentilcontrolpb.StatusResponse) {
	response = &lentilcontrolpb.StatusResponse{
		Self:                 toMember(n.membership.Self()),
		ConfigurationVersion: n.configuration.Version(),
		ConfigurationNote:    n.configuration.Configuration().NoteID(),
		Ready:                n.Ready(),
		LiveRecords:          uint32(len(n.LiveRecords())),
		Reader:               n.IsReader(),
	}
	if !n.inForceSince.IsZero() {
		response.ConfigurationAgeMilliseconds = uint64(n.now().Sub(n.inForceSince).Milliseconds())
	}
	for _, lease := range n.records.Leases() {
		response.Agents = append(response.Agents, &lentilcontrolpb.AgentStatus{
			Record:               toRecord(lease.Record()),
			ConfigurationVersion: lease.ConfigurationVersion(),
			SilenceMilliseconds:  uint32(lease.HeartbeatAge().Milliseconds()),
		})
	}
	if request.GetMembers() {
		for _, doc := range n.membership.AliveMembers() {
			response.Members = append(response.Members, toMember(doc))
		}
	}
	return response
}
