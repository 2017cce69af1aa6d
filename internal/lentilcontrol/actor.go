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

// askTimeout bounds how long a question to the actor may wait.
const askTimeout = 2 * time.Second

// errStopped says that the actor has stopped.
var errStopped = errors.New("control has stopped")

// Messages that the actor of a node understands.
type (
	tickMessage struct{}
	// outcomeMessage carries what came of a call.
	outcomeMessage struct {
		call      Call
		exchanged *lentilcontrolpb.ExchangeResponse
		fetched   *lentilcontrolpb.FetchConfigurationResponse
	}
	offerMessage    struct{ document lentilconfig.Document }
	assembleMessage struct{ head lentilconfig.HeadDoc }
	leaveMessage    struct{}
)

// Answers of the actor that can fail.
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

// nodeActor owns a Node. All that happens to the node passes through its mailbox.
type nodeActor struct {
	node *Node
	// startCall begins a startCall without waiting for it.
	startCall func(Call)
	// onTick is told the node's state after each tick.
	onTick func(snapshot)
	// onConfiguration and recorded are the shell's callbacks.
	onConfiguration func(lentilconfig.Configuration)
	onRecords       func([]lentilrecord.Record, []lentilrecord.Owner)

	reportedVersion uint64
	// recordsReportedAt is when recorded was called last.
	recordsReportedAt time.Time
}

// snapshot is what a shell's queries may know of a node between ticks.
type snapshot struct {
	ready   bool
	reader  bool
	version uint64
}

// minRecordReportInterval is the least time between two reports of the live records.
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

// stepIfChanged carries out at once what a change has made due.
func (a *nodeActor) stepIfChanged() {
	if a.node.Changed() {
		a.step()
	}
}

// step carries out what is due and reports what changed.
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
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return quiet }))
	props := actor.PropsFromProducer(func() actor.Actor { return receiver })
	return mailbox{system: system, pid: system.Root.Spawn(props)}
}

func (m mailbox) send(message any) { m.system.Root.Send(m.pid, message) }

func (m mailbox) stop() {
	_ = m.system.Root.StopFuture(m.pid).Wait()
	m.system.Shutdown()
}

// ask returns the actor's answer to a message.
func ask[T any](m mailbox, message any) (answer T, err error) {
	result, err := m.system.Root.RequestFuture(m.pid, message, askTimeout).Result()
	if err != nil {
		return answer, errorx.Decorate(err, "ask control")
	}
	answer, ok := result.(T)
	if !ok {
		return answer, errStopped
	}
	return answer, nil
}
