package lentilframe

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

var (
	drawEndpoint = rapid.Custom(func(t *rapid.T) lentilflow.Endpoint {
		return lentilflow.NewEndpoint([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")), rapid.Uint16().Draw(t, "port"))
	})
	drawKey = rapid.Custom(func(t *rapid.T) lentilflow.Key {
		return lentilflow.NewKey(drawEndpoint.Draw(t, "client"), drawEndpoint.Draw(t, "service"))
	})
	drawKeys = rapid.SliceOfN(drawKey, 1, lentilflow.MaxKeys)
	drawLoad = rapid.Custom(func(t *rapid.T) lentilflow.Load {
		return lentilflow.Load{Flows: rapid.Uint32().Draw(t, "flows"), InFlight: rapid.Uint16().Draw(t, "busy"), Slots: rapid.Uint16().Draw(t, "slots")}
	})
	drawLoadWithWait = rapid.Custom(func(t *rapid.T) lentilflow.Load {
		load := drawLoad.Draw(t, "load")
		if load.ServiceTime = rapid.Uint16().Draw(t, "service time"); load.ReportsWait() {
			load.Utilization, load.Waiting = rapid.Uint16().Draw(t, "utilization"), rapid.Uint16().Draw(t, "waiting")
		}
		return load
	})
	drawTerms = rapid.Custom(func(t *rapid.T) lentilflow.Terms {
		return lentilflow.Terms{Target: time.Duration(rapid.Uint32().Draw(t, "target")) * time.Millisecond,
			Priority: rapid.Uint8().Draw(t, "priority"), Repeatable: rapid.Bool().Draw(t, "repeatable")}
	})
	drawName       = rapid.StringN(0, 40, 120)
	drawPacket     = rapid.SliceOfN(rapid.Byte(), 1, 1300)
	drawStoreState = rapid.Custom(func(t *rapid.T) lentilflow.StoreState {
		state := lentilflow.StoreState{Era: rapid.Uint64().Draw(t, "era")}
		if state.Era > 0 {
			state.EraAge = time.Duration(rapid.Uint32().Draw(t, "era age")) * time.Millisecond
		}
		state.ConfigurationRevision, state.DomainsRevision = rapid.Uint64().Draw(t, "configuration"), rapid.Uint64().Draw(t, "domains")
		state.CheckedAgo = time.Duration(rapid.Uint32().Draw(t, "checked")) * time.Millisecond
		return state
	})
)

// checkRoundTrip appends and parses a message and compares the two. A truncated frame, or one with a trailing
// byte, must not parse unless the frame ends with a packet.
func checkRoundTrip[M any](t *rapid.T, m M, appendFrame func([]byte, M) []byte, parse func([]byte) (M, error), endsWithPacket bool) {
	data := appendFrame(nil, m)
	got, err := parse(data)
	if err != nil {
		t.Fatalf("%+v: %v", m, err)
	}
	allowUnexported := cmp.AllowUnexported(lentilflow.Endpoint{}, lentilflow.Key{})
	if diff := cmp.Diff(m, got, allowUnexported); diff != "" {
		t.Fatalf("-written +read:\n%s", diff)
	}
	for n := range len(data) {
		if _, err = parse(data[:n]); err == nil && !endsWithPacket {
			t.Fatalf("a frame truncated to %d of %d bytes parses without an error", n, len(data))
		}
	}
	if _, err = parse(append(bytes.Clone(data), 0)); err == nil && !endsWithPacket {
		t.Fatal("a frame with a trailing byte parses without an error")
	}
}

func TestFrameRoundTrip(t *testing.T) {
	for name, check := range map[string]func(t *rapid.T){
		"carry": func(t *rapid.T) {
			m := lentilflow.Carry{Purpose: lentilflow.Purpose(rapid.IntRange(0, 2).Draw(t, "purpose")), Service: drawName.Draw(t, "service"),
				Version: rapid.Uint64().Draw(t, "version"), ColdRate: float32(rapid.IntRange(0, 1000).Draw(t, "rate")), Packet: drawPacket.Draw(t, "packet"),
				Terms: drawTerms.Draw(t, "terms"), Age: time.Duration(rapid.Uint16().Draw(t, "age")) * time.Millisecond, MayWait: rapid.Bool().Draw(t, "wait"), MayQueue: rapid.Bool().Draw(t, "queue"), LastResort: rapid.Bool().Draw(t, "last")}
			checkRoundTrip(t, m, AppendCarry, ParseCarry, true)
		},
		"stop request": func(t *rapid.T) {
			m := lentilflow.StopRequest{Name: drawName.Draw(t, "name"), Domain: drawName.Draw(t, "domain"), RunID: rapid.Uint64().Draw(t, "run")}
			checkRoundTrip(t, m, AppendStopRequest, ParseStopRequest, false)
		},
		"stop answer": func(t *rapid.T) {
			m := lentilflow.StopAnswer{RunID: rapid.Uint64().Draw(t, "run"), Granted: rapid.Bool().Draw(t, "granted")}
			checkRoundTrip(t, m, AppendStopAnswer, ParseStopAnswer, false)
		},
		"ledger report": func(t *rapid.T) {
			m := lentilledger.Report{Group: drawName.Draw(t, "group"), Agent: drawName.Draw(t, "agent"), Full: rapid.Bool().Draw(t, "full"),
				Ledger: lentilledger.Ledger{Service: drawName.Draw(t, "service"), Address: drawEndpoint.Draw(t, "address"), Era: rapid.Uint64().Draw(t, "era"),
					UpstreamID: drawName.Draw(t, "upstream"), UpstreamIncarnation: rapid.Int64().Draw(t, "incarnation"), Run: rapid.Uint64().Draw(t, "run"),
					Sequence: rapid.Uint64().Draw(t, "sequence")}}
			for _, key := range rapid.SliceOfN(drawKey, 0, lentilledger.MaxReportFlows).Draw(t, "added") {
				m.Ledger.Flows = append(m.Ledger.Flows, lentilledger.Flow{Key: key, Acknowledged: rapid.Uint32().Draw(t, "acknowledged")})
			}
			if removed := rapid.SliceOfN(drawKey, 0, lentilledger.MaxReportFlows).Draw(t, "removed"); len(removed) > 0 {
				m.Removed = removed
			}
			checkRoundTrip(t, m, AppendLedgerReport, ParseLedgerReport, false)
		},
		"ledger ack": func(t *rapid.T) {
			m := lentilledger.Ack{Run: rapid.Uint64().Draw(t, "run"), Sequence: rapid.Uint64().Draw(t, "sequence"), Resend: rapid.Bool().Draw(t, "resend")}
			checkRoundTrip(t, m, AppendLedgerAck, ParseLedgerAck, false)
		},
		"taken": func(t *rapid.T) {
			m := lentilflow.Taken{Key: drawKey.Draw(t, "key"), Open: rapid.Bool().Draw(t, "open"), Load: drawLoadWithWait.Draw(t, "load")}
			checkRoundTrip(t, m, AppendTaken, ParseTaken, false)
		},
		"refused": func(t *rapid.T) {
			m := lentilflow.Refused{Reason: lentilflow.Refusal(rapid.IntRange(1, 10).Draw(t, "reason")), Load: drawLoadWithWait.Draw(t, "load"), Packet: drawPacket.Draw(t, "packet")}
			checkRoundTrip(t, m, AppendRefused, ParseRefused, true)
		},
		"denied": func(t *rapid.T) {
			checkRoundTrip(t, lentilflow.Denied{Keys: drawKeys.Draw(t, "keys"), Unsure: rapid.Bool().Draw(t, "unsure")}, AppendDenied, ParseDenied, false)
		},
		"ask": func(t *rapid.T) {
			checkRoundTrip(t, lentilflow.Ask{Keys: drawKeys.Draw(t, "keys")}, AppendAsk, ParseAsk, false)
		},
		"status": func(t *rapid.T) {
			m := lentilflow.Status{Name: drawName.Draw(t, "name"), Service: drawName.Draw(t, "service"), Domain: drawName.Draw(t, "domain"),
				RunID: rapid.Uint64().Draw(t, "run"), Sequence: rapid.Uint64().Draw(t, "number"), Phase: lentilflow.Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
				Cold: rapid.Bool().Draw(t, "cold"), Out: rapid.Bool().Draw(t, "out"), Stopping: rapid.Bool().Draw(t, "stopping"), UpstreamEnded: rapid.Bool().Draw(t, "ended"), UnderstandsTerms: rapid.Bool().Draw(t, "terms"),
				UnderstandsEra:     rapid.Bool().Draw(t, "understands era"),
				ConfiguredBalancer: lentilflow.NewEndpoint([4]byte{10, 0, 0, 1}, rapid.Uint16().Draw(t, "configured")), Load: drawLoadWithWait.Draw(t, "load"),
				Interval: time.Duration(rapid.Uint32().Draw(t, "interval")) * time.Millisecond, BalancerCount: rapid.Uint16().Draw(t, "balancers"), Store: drawStoreState.Draw(t, "knowledge")}
			checkRoundTrip(t, m, AppendStatus, ParseStatus, false)
		},
		"hello": func(t *rapid.T) {
			m := lentilflow.Hello{Name: drawName.Draw(t, "name"), Domain: drawName.Draw(t, "domain"), RunID: rapid.Uint64().Draw(t, "run"),
				Stopping: rapid.Bool().Draw(t, "stopping"), UnderstandsEra: rapid.Bool().Draw(t, "understands era"),
				Configured: rapid.Bool().Draw(t, "configured"), Relays: rapid.Bool().Draw(t, "relays"), UnderstandsWait: rapid.Bool().Draw(t, "understands wait"), Store: drawStoreState.Draw(t, "knowledge"),
				DomainState: lentilflow.DomainState{AsOf: rapid.Uint64Min(1).Draw(t, "as of"), Out: rapid.Bool().Draw(t, "out")}}
			checkRoundTrip(t, m, AppendHello, ParseHello, false)
		},
	} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, check) })
	}
}

// FuzzParse parses arbitrary data as every kind of frame. Parsing must not panic, and must fail if the data
// isn't a frame.
func FuzzParse(f *testing.F) {
	f.Add(AppendDenied(nil, lentilflow.Denied{}))
	f.Add(AppendStatus(nil, lentilflow.Status{Name: "a"}))
	f.Add(AppendCarry(nil, lentilflow.Carry{Packet: []byte{1}}))
	f.Add(AppendStopRequest(nil, lentilflow.StopRequest{Name: "a", Domain: "z1", RunID: 1}))
	f.Add(AppendStopAnswer(nil, lentilflow.StopAnswer{RunID: 1}))
	f.Add(AppendLedgerReport(nil, lentilledger.Report{Group: "g", Ledger: lentilledger.Ledger{Flows: []lentilledger.Flow{{Acknowledged: 7}}}}))
	f.Add(AppendLedgerAck(nil, lentilledger.Ack{Run: 1, Sequence: 2}))
	f.Add([]byte{magic})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, parse := range []func([]byte) error{
			func(d []byte) error { _, err := ParseCarry(d); return err },
			func(d []byte) error { _, err := ParseTaken(d); return err },
			func(d []byte) error { _, err := ParseRefused(d); return err },
			func(d []byte) error { _, err := ParseDenied(d); return err },
			func(d []byte) error { _, err := ParseAsk(d); return err },
			func(d []byte) error { _, err := ParseStatus(d); return err },
			func(d []byte) error { _, err := ParseHello(d); return err },
			func(d []byte) error { _, err := ParseRelay(d); return err },
			func(d []byte) error { _, err := ParseStopRequest(d); return err },
			func(d []byte) error { _, err := ParseStopAnswer(d); return err },
			func(d []byte) error { _, err := ParseLedgerReport(d); return err },
			func(d []byte) error { _, err := ParseLedgerAck(d); return err },
		} {
			if err := parse(data); err == nil && KindOf(data) == 0 {
				t.Error("data that isn't a frame parses without an error")
			}
		}
	})
}

// TestFramesOfEarlierReleases checks that frames without an era, as processes of earlier releases send them, are
// parsed as of era 0, and that frames to them carry none.
func TestFramesOfEarlierReleases(t *testing.T) {
	state := lentilflow.StoreState{ConfigurationRevision: 4, DomainsRevision: 5}
	hello, err := ParseHello(AppendHello(nil, lentilflow.Hello{Name: "b", Store: state}))
	if err != nil || hello.Store != state || hello.UnderstandsEra {
		t.Errorf("Hello: %+v, %v", hello, err)
	}
	status, err := ParseStatus(AppendStatus(nil, lentilflow.Status{Name: "a", Store: state}))
	if err != nil || status.Store != state || status.UnderstandsEra {
		t.Errorf("Status: %+v, %v", status, err)
	}
	const eraSize = 12
	with, without := state, state
	with.Era = 6
	if got := len(AppendHello(nil, lentilflow.Hello{Store: with})) - len(AppendHello(nil, lentilflow.Hello{Store: without})); got != eraSize {
		t.Errorf("the era takes %d bytes, want %d", got, eraSize)
	}
}

// TestLoadsOfEarlierReleases checks that loads without the fields for expected waits, as processes of earlier releases send
// and accept them, take the same bytes as there: the kind's own byte has no further flag, and nothing follows the load.
func TestLoadsOfEarlierReleases(t *testing.T) {
	load := lentilflow.Load{Flows: 1, InFlight: 2, Slots: 3}
	loadBytes := []byte{0, 0, 0, 1, 0, 2, 0, 3}
	key := make([]byte, 12)
	for name, c := range map[string]struct{ got, want []byte }{
		"taken":   {AppendTaken(nil, lentilflow.Taken{Open: true, Load: load}), append(append([]byte{magic, byte(Taken)}, key...), append([]byte{1}, loadBytes...)...)},
		"refused": {AppendRefused(nil, lentilflow.Refused{Reason: lentilflow.UpstreamBusy, Load: load, Packet: []byte{9}}), append(append([]byte{magic, byte(Refused), byte(lentilflow.UpstreamBusy)}, loadBytes...), 9)},
	} {
		if !bytes.Equal(c.got, c.want) {
			t.Errorf("%s: got % x, want % x", name, c.got, c.want)
		}
	}
	const waitSize = 6
	with := load
	with.ServiceTime = 300
	without := AppendStatus(nil, lentilflow.Status{Phase: lentilflow.Ready, Load: load})
	if got := len(AppendStatus(nil, lentilflow.Status{Phase: lentilflow.Ready, Load: with})) - len(without); got != waitSize {
		t.Errorf("the fields take %d bytes in a status, want %d", got, waitSize)
	}
	if status, err := ParseStatus(without); err != nil || status.Load != load || status.Load.ReportsWait() {
		t.Errorf("Status: %+v, %v", status, err)
	}
}
