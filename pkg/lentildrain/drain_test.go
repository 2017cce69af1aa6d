package lentildrain

import (
	"fmt"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// The routers of the users' platform, and a balancer's restart.
const (
	testProbeInterval = 500 * time.Millisecond
	testKillAfter     = 6 * time.Second
	testGrace         = 4 * time.Second
	testStartTime     = 800 * time.Millisecond
	// testOutBy is when a stopping balancer must be out of rotation.
	testOutBy = 4 * time.Second
)

// testBalancer is a balancer of a simulated failure domain, as routers see it.
type testBalancer struct {
	drain      Drain
	run        uint64
	stopAt     time.Duration
	up, inUse  bool
	returnsAt  time.Duration
	misses     int
	outAt      time.Duration
	probePhase time.Duration
}

// domainPlay simulates the balancers of a failure domain that are stopped and started again.
type domainPlay struct {
	clock     *lentilclock.Fake
	balancers []*testBalancer
	permits   Permits
	// permitsLost drops all requests for permits, and arbiterDiesAt replaces the agent that counts them.
	permitsLost   bool
	arbiterDiesAt time.Duration
	// leastInUse is the least number of balancers that were in rotation. deadTime is for how long routers sent packets to
	// balancers that had ended.
	leastInUse int
	deadTime   time.Duration
	lateOut    int
	ended      int
}

func (p *domainPlay) run(duration time.Duration) {
	const step = 10 * time.Millisecond
	p.leastInUse = len(p.balancers)
	p.permits.Clock = p.clock
	for at := time.Duration(0); at < duration; at += step {
		p.clock.Advance(step)
		if p.arbiterDiesAt > 0 && at == p.arbiterDiesAt {
			p.permits = Permits{Clock: p.clock}
		}
		inUse := 0
		for _, b := range p.balancers {
			p.step(at, b)
			if b.inUse {
				inUse++
			}
		}
		p.leastInUse = min(p.leastInUse, inUse)
		for _, b := range p.balancers {
			if !b.up && (b.inUse || 2*inUse < len(p.balancers)) {
				p.deadTime += step
			}
			if b.up && (b.inUse || 2*inUse < len(p.balancers)) {
				b.drain.RecordPacket()
			}
		}
	}
}

func (p *domainPlay) step(at time.Duration, b *testBalancer) {
	if !b.up && at >= b.returnsAt {
		b.up, b.run = true, b.run+1
		b.drain = Drain{Clock: p.clock}
		p.permits.Return(p.name(b), b.run)
	}
	if b.up && b.run == 1 && at >= b.stopAt && b.drain.Phase() == Serving {
		b.drain = Drain{Clock: p.clock, Grace: testGrace, KillAfter: testKillAfter}
		b.drain.Start()
	}
	if at%testProbeInterval == b.probePhase {
		ready := b.up && b.drain.Ready()
		if b.up && !ready {
			b.drain.RecordProbe()
		}
		if b.misses++; ready {
			b.misses = 0
		}
		if b.inUse && b.misses >= 2 {
			b.outAt = at
		}
		b.inUse = b.misses < 2
	}
	if b.up && b.drain.Phase() != Serving {
		p.advance(at, b)
	}
}

func (p *domainPlay) advance(at time.Duration, b *testBalancer) {
	if _, due := b.drain.NextRequest(); due && !p.permitsLost {
		var present []string
		for _, other := range p.balancers {
			if other.up {
				present = append(present, p.name(other))
			}
		}
		b.drain.RecordAnswer(p.permits.Request(p.name(b), "palermo", b.run, present))
	}
	if b.drain.Advance(); b.drain.Phase() != Ended {
		return
	}
	p.ended++
	b.up, b.returnsAt = false, at+testStartTime
	if b.outAt-b.stopAt > testOutBy || b.outAt < b.stopAt {
		p.lateOut++
	}
}

func (p *domainPlay) name(b *testBalancer) string {
	for i, other := range p.balancers {
		if other == b {
			return fmt.Sprint("entry-", i)
		}
	}
	return ""
}

func newDomainPlay(balancers int, stopAt func(number int) time.Duration) *domainPlay {
	p := &domainPlay{clock: &lentilclock.Fake{}}
	p.clock.Advance(time.Hour)
	for i := range balancers {
		p.balancers = append(p.balancers, &testBalancer{run: 1, up: true, inUse: true, drain: Drain{Clock: p.clock}, stopAt: stopAt(i),
			probePhase: (time.Duration(i) * 70 * time.Millisecond) % testProbeInterval})
	}
	return p
}

// TestRolls plays rolls of all balancers of a failure domain, which a balancer that stops for a fixed time doesn't bear:
// routers then send packets to balancers that have ended, since fewer than half are in rotation.
func TestRolls(t *testing.T) {
	for _, balancers := range []int{1, 2, 3, 5, 6, 7, 24} {
		for name, stopAt := range map[string]func(number int) time.Duration{
			"one a second":        func(n int) time.Duration { return time.Second * time.Duration(1+n) },
			"a third a second":    func(n int) time.Duration { return time.Second * time.Duration(1+3*n/balancers) },
			"half, then the rest": func(n int) time.Duration { return time.Second * time.Duration(1+2*n/balancers) },
		} {
			t.Run(fmt.Sprintf("%d balancers, %s", balancers, name), func(t *testing.T) {
				p := newDomainPlay(balancers, stopAt)
				p.run(45 * time.Second)
				if p.ended != balancers {
					t.Errorf("%d of %d balancers have stopped", p.ended, balancers)
				}
				if p.lateOut > 0 {
					t.Errorf("%d balancers weren't out of rotation after %s", p.lateOut, testOutBy)
				}
				if balancers > 3 && 2*p.leastInUse < balancers {
					t.Errorf("only %d of %d balancers were in rotation", p.leastInUse, balancers)
				}
				if balancers > 3 && p.deadTime > 0 {
					t.Errorf("routers sent packets to ended balancers for %s", p.deadTime)
				}
			})
		}
	}
}

// TestRollsUnderFailure plays stops at once, lost requests for permits and the end of the agent that counts them. None may
// keep a balancer in rotation for too long, or let it be killed.
func TestRollsUnderFailure(t *testing.T) {
	atOnce := func(int) time.Duration { return time.Second }
	for name, change := range map[string]func(p *domainPlay){
		"all at once":                     func(*domainPlay) {},
		"requests lost":                   func(p *domainPlay) { p.permitsLost = true },
		"the agent that counts them dies": func(p *domainPlay) { p.arbiterDiesAt = 2 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			p := newDomainPlay(6, atOnce)
			change(p)
			p.run(15 * time.Second)
			if p.ended != 6 || p.lateOut > 0 {
				t.Errorf("%d of 6 balancers have stopped, %d of them late", p.ended, p.lateOut)
			}
		})
	}
}

// TestDrainEnds checks the end of a stop: not while packets arrive, at the end of the grace period at the latest, and in
// time before the process is killed.
func TestDrainEnds(t *testing.T) {
	for _, c := range []struct {
		name            string
		killAfter       time.Duration
		probes, packets bool
		answers, permit bool
		least, most     time.Duration
		wantCause       Cause
	}{
		{"out of rotation", 0, true, false, false, false, 700 * time.Millisecond, time.Second, OutOfRotation},
		{"packets still arrive", 0, true, true, false, false, testGrace, testGrace + 50*time.Millisecond, GraceExpired},
		{"no probes arrive", 0, false, false, false, false, testGrace, testGrace + 50*time.Millisecond, GraceExpired},
		{"no agent answers", testKillAfter, true, false, false, false, time.Second, 1500 * time.Millisecond, OutOfRotation},
		{"permitted at once", testKillAfter, true, false, true, true, 700 * time.Millisecond, 2*testProbeInterval + quietPeriod, OutOfRotation},
		{"never permitted", testKillAfter, true, false, true, false, 3200 * time.Millisecond, 3600 * time.Millisecond, OutOfRotation},
		{"never permitted, packets arrive", testKillAfter, true, true, true, false, 5 * time.Second, testKillAfter - 250*time.Millisecond, Deadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := &lentilclock.Fake{}
			clock.Advance(time.Hour)
			d := Drain{Clock: clock, Grace: testGrace, KillAfter: c.killAfter}
			if d.Start(); d.Ready() != (c.killAfter > 0) {
				t.Errorf("ready %t after the stop request", d.Ready())
			}
			took := time.Duration(0)
			for ; d.Phase() != Ended && took < testKillAfter; took += 10 * time.Millisecond {
				if c.probes && took%testProbeInterval == 0 && !d.Ready() {
					d.RecordProbe()
				}
				if c.packets {
					d.RecordPacket()
				}
				if _, due := d.NextRequest(); due && c.answers {
					d.RecordAnswer(c.permit)
				}
				clock.Advance(10 * time.Millisecond)
				d.Advance()
			}
			if took < c.least || took > c.most || d.Cause() != c.wantCause {
				t.Errorf("the stop took %s and ended with %s, want %s to %s and %s", took, d.Cause(), c.least, c.most, c.wantCause)
			}
		})
	}
}

// TestRequestsToOtherAgents guards against a balancer that keeps asking an agent of an earlier release, or one that has ended.
func TestRequestsToOtherAgents(t *testing.T) {
	clock := &lentilclock.Fake{}
	clock.Advance(time.Hour)
	d := Drain{Clock: clock, Grace: testGrace, KillAfter: testKillAfter}
	d.Start()
	var asked []int
	for range 60 {
		if agent, due := d.NextRequest(); due {
			asked = append(asked, agent)
			if agent == 2 {
				d.RecordAnswer(false)
			}
		}
		clock.Advance(5 * time.Millisecond)
	}
	if got, want := fmt.Sprint(asked), "[0 1 2]"; got != want {
		t.Errorf("agents %s are asked, want %s", got, want)
	}
	clock.Advance(100 * time.Millisecond)
	if agent, due := d.NextRequest(); !due || agent != 2 {
		t.Errorf("after the answer of agent 2: agent %d, due %t", agent, due)
	}
}
