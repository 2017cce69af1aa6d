package lentilcontrol

import (
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// askTimeout limits the wait for an answer from the actor.
const askTimeout = 2 * time.Second

// errStopped is returned if the actor has stopped.
var errStopped = errors.New("control actor has stopped")

// Messages that nodeActor handles in addition to the protobuf requests.
type (
	tickMessage struct{}
	// outcomeMessage carries the outcome of a call; both responses are nil after a failure.
	outcomeMessage struct {
		call      Call
		exchanged *lentilcontrolpb.ExchangeResponse
		fetched   *lentilcontrolpb.FetchConfigurationResponse
	}
	offerMessage    struct{ document lentilconfig.Document }
	assembleMessage struct{ head lentilconfig.HeadDoc }
	leaveMessage    struct{}
)

// Answers of nodeActor that may hold an error.
type (
	announceResult struct {
		response *lentilcontrolpb.AnnounceResponse
		err      error
	}
	fetchResult struct {
		response *lentilcontrolpb.FetchConfigurationResponse
		err      error
	}
	offerResult    struct{ err error }
	assembleResult struct {
		assembly *lentilconfig.Assembly
		err      error
	}
)

// nodeActor owns a Node. All access to the node goes through the actor's mailbox, which
// serializes it.
type nodeActor struct {
	node *Node
	// startCall starts a call and returns without waiting for its outcome.
	startCall func(Call)
	// onTick is called with the node's state after each tick.
	onTick func(snapshot)
	// onConfiguration is called with each newer configuration.
	onConfiguration func(lentilconfig.Configuration)
	// onRecords is called with changed live records and with owners whose records are no longer live.
	onRecords func([]lentilrecord.Record, []lentilrecord.Owner)

	// reportedVersion is the configuration version of the latest call of onConfiguration.
	reportedVersion uint64
	// recordsReportedAt is when onRecords was called last.
	recordsReportedAt time.Time
}

// snapshot is the state of a node after a tick, for queries that don't go through the actor.
type snapshot struct {
	ready   bool
	reader  bool
	version uint64
}

// minRecordReportInterval is the minimum time between two calls of onRecords.
const minRecordReportInterval = 100 * time.Millisecond

// Receive handles one message.
func (a *nodeActor) Receive(ctx actor.Context) {
	switch message := ctx.Message().(type) {
	case *lentilcontrolpb.ExchangeRequest:
		ctx.Respond(a.node.HandleExchange(message))
		a.stepIfChanged()
	case *lentilcontrolpb.AnnounceRequest:
		response, err := a.node.HandleAnnounce(message)
		ctx.Respond(announceResult{response: response, err: err})
		a.stepIfChanged()
	case *lentilcontrolpb.FetchConfigurationRequest:
		response, err := a.node.HandleFetchConfiguration(message)
		ctx.Respond(fetchResult{response: response, err: err})
	case *lentilcontrolpb.StatusRequest:
		ctx.Respond(a.node.HandleStatus(message))
	case outcomeMessage:
		a.node.HandleOutcome(message.call, message.exchanged, message.fetched)
		a.step()
	case offerMessage:
		ctx.Respond(offerResult{err: a.node.Offer(message.document)})
		a.step()
	case assembleMessage:
		assembly, err := a.node.Assemble(message.head)
		ctx.Respond(assembleResult{assembly: assembly, err: err})
	case leaveMessage:
		a.node.Leave()
		a.step()
	case tickMessage:
		a.step()
	}
}

// stepIfChanged runs a step at once if the node's entries have changed.
func (a *nodeActor) stepIfChanged() {
	if a.node.Changed() {
		a.step()
	}
}

// step ticks the node, starts the calls that are due and reports changes.
func (a *nodeActor) step() {
	for _, call := range a.node.Tick() {
		a.startCall(call)
	}
	configuration := a.node.Configuration()
	if configuration.Version() > a.reportedVersion {
		a.reportedVersion = configuration.Version()
		a.onConfiguration(configuration)
	}
	now := a.node.now()
	if now.Sub(a.recordsReportedAt) >= minRecordReportInterval {
		a.reportRecords(now)
	}
	a.onTick(snapshot{ready: a.node.Ready(), reader: a.node.IsReader(), version: a.reportedVersion})
}

func (a *nodeActor) reportRecords(now time.Time) {
	observed, forgotten := a.node.TakeLiveChanges()
	if len(observed)+len(forgotten) > 0 {
		a.recordsReportedAt = now
		a.onRecords(observed, forgotten)
	}
}

// mailbox sends messages to the actor of a node.
type mailbox struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

func newMailbox(receiver actor.Actor) mailbox {
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return discard }))
	props := actor.PropsFromProducer(func() actor.Actor { return receiver })
	return mailbox{system: system, pid: system.Root.Spawn(props)}
}

func (m mailbox) send(message any) { m.system.Root.Send(m.pid, message) }

func (m mailbox) stop() {
	_ = m.system.Root.StopFuture(m.pid).Wait()
	m.system.Shutdown()
}

// ask sends a message to the actor and waits for the answer.
func ask[T any](m mailbox, message any) (answer T, err error) {
	result, err := m.system.Root.RequestFuture(m.pid, message, askTimeout).Result()
	if err != nil {
		return answer, errorx.Decorate(err, "ask control actor")
	}
	answer, ok := result.(T)
	if !ok {
		return answer, errStopped
	}
	return answer, nil
}
