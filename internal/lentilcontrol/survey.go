package lentilcontrol

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// surveyConcurrency is how many balancers a survey queries concurrently.
	surveyConcurrency = 32
	// surveyTimeout limits the call to one balancer.
	surveyTimeout = 2 * time.Second
)

// ErrNoBalancerAnswered is the error if no balancer could be queried, for example because
// there are no seeds.
var ErrNoBalancerAnswered = errorx.ExternalError.New("no balancer answered")

// Survey queries the status of all balancers for an operator.
type Survey struct {
	// Dialer creates the clients.
	Dialer *Dialer
	// Seeds are control addresses of the balancers that are asked for the members.
	Seeds []netip.AddrPort
}

// BalancerStatus is the status of a balancer as reported by itself.
type BalancerStatus struct {
	member      lentilmember.Doc
	version     uint64
	noteID      string
	age         time.Duration
	ready       bool
	reader      bool
	liveRecords int
	err         error
}

// Member returns the balancer's membership entry.
func (s BalancerStatus) Member() lentilmember.Doc { return s.member }

// Version returns the version of the configuration in force at the balancer.
func (s BalancerStatus) Version() uint64 { return s.version }

// NoteID returns the id of the release note that made that version.
func (s BalancerStatus) NoteID() string { return s.noteID }

// Age returns how long that version has been in force at the balancer.
func (s BalancerStatus) Age() time.Duration { return s.age }

// Ready reports whether the balancer may take packets.
func (s BalancerStatus) Ready() bool { return s.ready }

// IsReader reports whether the balancer is chosen to read the platform.
func (s BalancerStatus) IsReader() bool { return s.reader }

// LiveRecords returns how many live records the balancer holds.
func (s BalancerStatus) LiveRecords() int { return s.liveRecords }

// Err returns why the balancer did not answer, or nil.
func (s BalancerStatus) Err() error { return s.err }

// AgentStatus is the status of an agent as known to a holder of its lease.
type AgentStatus struct {
	record       lentilrecord.Record
	version      uint64
	heartbeatAge time.Duration
}

// Record returns the agent's record with its latest load.
func (s AgentStatus) Record() lentilrecord.Record { return s.record }

// Version returns the version of the configuration in force at the agent.
func (s AgentStatus) Version() uint64 { return s.version }

// HeartbeatAge returns the time since the agent's latest heartbeat.
func (s AgentStatus) HeartbeatAge() time.Duration { return s.heartbeatAge }

// SurveyResult holds the status of all balancers and agents.
type SurveyResult struct {
	balancers []BalancerStatus
	agents    []AgentStatus
}

// Balancers returns the status of every balancer, ordered by control address.
func (r SurveyResult) Balancers() []BalancerStatus { return r.balancers }

// Agents returns the status of every agent with a lease, as of its latest heartbeat,
// ordered by the name of its copy.
func (r SurveyResult) Agents() []AgentStatus { return r.agents }

// InForceEverywhere reports whether the given version or a newer one is in force at every
// balancer and agent.
func (r SurveyResult) InForceEverywhere(version uint64) bool {
	balancerBehind := func(s BalancerStatus) bool { return s.err != nil || s.version < version }
	agentBehind := func(s AgentStatus) bool { return s.version < version }
	return !slices.ContainsFunc(r.balancers, balancerBehind) && !slices.ContainsFunc(r.agents, agentBehind)
}

// Run asks the seeds in turn for the members until one answers, then queries the status of
// each member.
func (s *Survey) Run(ctx context.Context) (result SurveyResult, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "survey balancers")
		}
	}()
	members, err := s.listMembers(ctx)
	if err != nil {
		return SurveyResult{}, err
	}
	responses := make([]*lentilcontrolpb.StatusResponse, len(members))
	result.balancers = make([]BalancerStatus, len(members))
	var wait sync.WaitGroup
	indexes := make(chan int)
	for range min(surveyConcurrency, len(members)) {
		wait.Go(func() {
			for i := range indexes {
				responses[i], result.balancers[i] = s.queryStatus(ctx, members[i])
			}
		})
	}
	for i := range members {
		indexes <- i
	}
	close(indexes)
	wait.Wait()
	result.agents = mergeAgents(responses)
	return result, nil
}

// listMembers returns the members known to the first seed that answers, ordered by control
// address.
func (s *Survey) listMembers(ctx context.Context) (members []lentilmember.Doc, err error) {
	err = ErrNoBalancerAnswered
	for _, seed := range s.Seeds {
		response, callErr := s.callStatus(ctx, seed, true)
		if callErr != nil {
			err = callErr
			continue
		}
		for _, message := range response.GetMembers() {
			members = append(members, fromMember(message))
		}
		slices.SortFunc(members, func(a, b lentilmember.Doc) int { return a.Control.Compare(b.Control) })
		return members, nil
	}
	return nil, err
}

func (s *Survey) queryStatus(ctx context.Context, member lentilmember.Doc) (response *lentilcontrolpb.StatusResponse, status BalancerStatus) {
	response, err := s.callStatus(ctx, member.Control, false)
	if err != nil {
		return nil, BalancerStatus{member: member, err: err}
	}
	return response, BalancerStatus{
		member:      fromMember(response.GetSelf()),
		version:     response.GetConfigurationVersion(),
		noteID:      response.GetConfigurationNote(),
		age:         time.Duration(response.GetConfigurationAgeMilliseconds()) * time.Millisecond,
		ready:       response.GetReady(),
		reader:      response.GetReader(),
		liveRecords: int(response.GetLiveRecords()),
	}
}

func (s *Survey) callStatus(ctx context.Context, to netip.AddrPort, members bool) (response *lentilcontrolpb.StatusResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	answer, err := s.Dialer.Client(to).Status(ctx, connect.NewRequest(&lentilcontrolpb.StatusRequest{Members: members}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// mergeAgents merges the reports of several lease holders. For each agent it keeps the one
// with the latest heartbeat. The result is ordered by copy name.
func mergeAgents(responses []*lentilcontrolpb.StatusResponse) (agents []AgentStatus) {
	latest := map[lentilid.Incarnation]AgentStatus{}
	for _, response := range responses {
		for _, message := range response.GetAgents() {
			status := AgentStatus{
				record:       fromRecord(message.GetRecord()),
				version:      message.GetConfigurationVersion(),
				heartbeatAge: time.Duration(message.GetSilenceMilliseconds()) * time.Millisecond,
			}
			owner := status.record.Owner().Incarnation
			if known, ok := latest[owner]; !ok || status.heartbeatAge < known.heartbeatAge {
				latest[owner] = status
			}
		}
	}
	for _, status := range latest {
		agents = append(agents, status)
	}
	slices.SortFunc(agents, func(a, b AgentStatus) int {
		one, other := a.record.Owner(), b.record.Owner()
		return cmp.Or(cmp.Compare(one.Copy, other.Copy), cmp.Compare(one.Incarnation, other.Incarnation))
	})
	return agents
}
